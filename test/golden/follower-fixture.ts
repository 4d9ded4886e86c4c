/** A follower with stored jobs, for golden tests. */
import type { InstanceType } from '../../src/autoscaler/cloud-codec.js';
import type { Settings } from '../../src/settings.js';
import {
  CATALOG_KEY,
  completionSegmentKey,
  encodeNodeGroup,
  encodeJob,
  encodeLeader,
  nodeGroupKey,
  jobKey,
  LEADER_KEY,
  TERM_KEY,
  type JobRecord,
} from '../../src/state/records.js';
import { createJobSpec } from '../fixtures.js';
import { ControllerHarness } from './controller-harness.js';

/** Simulated time within which a controller has loaded its records from the state store. */
const INITIAL_LOAD_MS = 1_000;

const INSTANCE_TYPES: InstanceType[] = [
  {
    name: 'm4',
    cpus: 4,
    accelerators: 0,
    memGb: 16,
    cacheGb: 40,
    pullGbPerS: 1,
    price: 0.2,
    spotPrice: 0.1,
    bootS: 8,
    zones: ['east', 'west'],
  },
];

/** The default fields of the stored jobs. */
const OPEN_JOB: JobRecord = {
  phase: 'open',
  taskCount: 4,
  spec: undefined,
  acceptedMs: 1_700_000_000_000,
  memberStates: 'N',
  isSuccessorRunning: false,
  firstCompletionSegment: '',
};

const createOpenJob = (uid: string, fields: Parameters<typeof createJobSpec>[0] = {}): JobRecord => ({
  ...OPEN_JOB,
  taskCount: fields.tasks ?? OPEN_JOB.taskCount,
  spec: createJobSpec({ uid, ...fields }),
});

/** The uids of the stored jobs, by the property for which tests use them. */
export const JOB_UIDS = {
  pending: 'job-000001',
  running: 'job-000002',
  done: 'job-000003',
  cancelled: 'job-000004',
  cancelledWithFinishedTasks: 'job-000005',
  dependsOnCancelled: 'job-000006',
  service: 'job-000007',
  large: 'job-000008',
  unreadable: 'job-000009',
} as const;

const CANCELLED_JOB: JobRecord = { ...OPEN_JOB, phase: 'cancelled', memberStates: 'F' };

/** The stored value of a job that is done. */
export const DONE_JOB_VALUE = encodeJob({
  ...OPEN_JOB,
  phase: 'done',
  memberStates: 'S',
  finishedMs: 1_700_000_000_100,
});

const STORED_VALUES: Record<string, unknown> = {
  [LEADER_KEY]: encodeLeader({ member: 'hearth-1', term: 3, delegatesCloudCalls: false }),
  [TERM_KEY]: { term: 3 },
  [CATALOG_KEY]: INSTANCE_TYPES,
  [nodeGroupKey('3-1')]: encodeNodeGroup({
    type: 'm4',
    zone: 'east',
    spot: false,
    nodeAddresses: new Map([['vm-000001', '10.1.0.1:9000']]),
  }),
  [jobKey(JOB_UIDS.pending)]: encodeJob(createOpenJob(JOB_UIDS.pending)),
  [jobKey(JOB_UIDS.running)]: encodeJob({
    ...createOpenJob(JOB_UIDS.running),
    memberStates: 'E',
    firstCompletionSegment: 'Aw==',
  }),
  [jobKey(JOB_UIDS.done)]: DONE_JOB_VALUE,
  [jobKey(JOB_UIDS.cancelled)]: encodeJob(CANCELLED_JOB),
  [jobKey(JOB_UIDS.cancelledWithFinishedTasks)]: encodeJob({
    ...createOpenJob(JOB_UIDS.cancelledWithFinishedTasks),
    phase: 'cancelled',
    firstCompletionSegment: 'BQ==',
  }),
  [jobKey(JOB_UIDS.dependsOnCancelled)]: encodeJob(
    createOpenJob(JOB_UIDS.dependsOnCancelled, { dependencies: [JOB_UIDS.cancelled] }),
  ),
  [jobKey(JOB_UIDS.service)]: encodeJob(createOpenJob(JOB_UIDS.service, { kind: 'service', rank: 'prod' })),
  [jobKey(JOB_UIDS.large)]: encodeJob({
    ...createOpenJob(JOB_UIDS.large, { tasks: 20_000 }),
    firstCompletionSegment: '/w==',
  }),
  [completionSegmentKey(JOB_UIDS.large, 1)]: 'Dw==',
  [jobKey(JOB_UIDS.unreadable)]: { p: 'z' },
};

/**
 * Starts a controller that follows the leader hearth-1 and has just received messages from it. `valueOverrides` replaces
 * stored values by key. A key whose value is undefined is not stored.
 */
export async function startFollower(
  valueOverrides: Readonly<Record<string, unknown>> = {},
  settings: Partial<Settings> = {},
): Promise<ControllerHarness> {
  const harness = new ControllerHarness(undefined, settings);
  const entries = Object.entries({ ...STORED_VALUES, ...valueOverrides }).filter(
    ([, value]) => value !== undefined,
  );
  for (const [key, value] of entries) await harness.writeKeys({ [key]: value });
  harness.start();
  await harness.advance(INITIAL_LOAD_MS);
  harness.receiveFromPeer('hearth-1', { kind: 'status', isEligible: true, relayTarget: 'hearth-1' });
  harness.receiveFromPeer('hearth-1', { kind: 'counts', running: { [JOB_UIDS.running]: 2 } });
  await harness.advance(1);
  return harness;
}
