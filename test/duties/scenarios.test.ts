import assert from 'node:assert/strict';
import { test } from 'node:test';
import { roleHolderKey, INTENT_KEY_PREFIX, type Role } from '@pumicehinge/duties';
import { HttpCloudProvider } from '../../src/duties/http-cloud-provider.js';
import { findObsoleteRecords } from '../../src/duties/obsolete-records.js';
import { SimulatedDeployment, type DeploymentOptions } from '../../src/simulation/simulated-deployment.js';
import type { SimulatedJob } from '../../src/simulation/rule-checker.js';
import type { StateReplica } from '../../src/state/state-replica.js';
import {
  decodeLeader,
  dependencyListKey,
  completionSegmentKey,
  encodeJob,
  encodeLeader,
  jobKey,
  type JobRecord,
} from '../../src/state/records.js';
import { formatJson } from '../../src/wire/json.js';
import { createJobSpec } from '../fixtures.js';
import { STORED_VALUES } from '../production-version.js';

const SCENARIO_S = 230;
const OFFERING = { type: 'm', zone: 'z', spot: false };
const ALL_CONTROLLERS = ['c0', 'c1', 'c2'];

/** Submits jobs, and returns those that must be over at the end. */
function submitJobs(deployment: SimulatedDeployment): SimulatedJob[] {
  const jobsThatMustEnd: SimulatedJob[] = [];
  deployment.at(2, () => deployment.submit({ kind: 'service', team: 'red', tasks: 3, zoneSpread: true }));
  for (let i = 0; i < 12; i++)
    deployment.at(5 + i * 11, () =>
      jobsThatMustEnd.push(deployment.submit({ tasks: 1 + ((i * 5) % 13), runS: 8 + i, spot: i % 2 === 0 })),
    );
  deployment.at(20, () => deployment.submit({ team: 'red', tasks: 6, runS: 60 }, 15));
  return jobsThatMustEnd;
}

const readHolder = (deployment: SimulatedDeployment, role: Role): string | undefined =>
  (deployment.state.getValue(roleHolderKey(role)) as { member: string } | undefined)?.member;

/**
 * The faults of each scenario, with the second at which they are injected. Every rule must hold, and every array must
 * end.
 */
const SCENARIOS: {
  name: string;
  options?: Partial<DeploymentOptions>;
  injectFaults: (deployment: SimulatedDeployment) => void;
}[] = [
  { name: 'no fault', injectFaults: () => undefined },
  {
    name: 'the holder of the scale-out role is paused for longer than its lease several times',
    injectFaults: (deployment) =>
      [25, 45, 65, 85].forEach((s) =>
        deployment.at(s, () => deployment.pauseController(readHolder(deployment, 'rent') ?? 'c0', 9000)),
      ),
  },
  {
    name: 'leader and role holders crash together',
    injectFaults: (deployment) =>
      [30, 60, 90].forEach((s) =>
        deployment.at(s, () => {
          const members = new Set([
            deployment.leader,
            readHolder(deployment, 'rent'),
            readHolder(deployment, 'return'),
          ]);
          for (const member of members) if (member) deployment.crashController(member, 3000);
        }),
      ),
  },
  {
    name: 'all controllers crash, and again during the election',
    injectFaults: (deployment) =>
      [40, 46.5].forEach((s) =>
        deployment.at(s, () => ALL_CONTROLLERS.forEach((c) => deployment.crashController(c, 300))),
      ),
  },
  {
    name: 'the state service is down for longer than a lease, and then the cloud',
    injectFaults: (deployment) => {
      deployment.at(40, () => deployment.state.refusedCallers.add('*'));
      deployment.at(58, () => deployment.state.endOutage());
      deployment.at(70, () => (deployment.cloud.isDown = true));
      deployment.at(95, () => (deployment.cloud.isDown = false));
    },
  },
  {
    name: 'transactions are executed late',
    injectFaults: (deployment) => {
      deployment.at(20, () => (deployment.state.delayedTransactionShare = 0.3));
      deployment.at(90, () => (deployment.state.delayedTransactionShare = 0));
    },
  },
  {
    name: 'a controller without leased roles leads for a while',
    options: { roleMembers: ['c0', 'c1'] },
    injectFaults: (deployment) => {
      // Only c2 can lead now, while launches and terminations are in progress.
      deployment.at(14, () => ['c0', 'c1'].forEach((c) => deployment.crashController(c, 9000)));
      deployment.at(70, () => deployment.crashController('c2', 5000));
      deployment.at(100, () => ['c0', 'c1'].forEach((c) => deployment.crashController(c, 9000)));
      deployment.at(150, () => deployment.crashController('c2', 12_000));
    },
  },
];

for (const [i, { name, options, injectFaults }] of SCENARIOS.entries())
  test(`leased roles on: ${name}`, async () => {
    const deployment = new SimulatedDeployment(61 + i, {
      controllers: 3,
      machineCapacity: 24,
      cpuLimitScale: 1,
      roleMembers: ALL_CONTROLLERS,
      ...options,
    });
    const mustEnd = submitJobs(deployment);
    injectFaults(deployment);
    deployment.faultsEndMs = 120_000;
    await deployment.clock.runUntil(SCENARIO_S * 1000);
    assert.deepEqual(deployment.rules.violations, []);
    assert.deepEqual(
      mustEnd.filter((job) => !deployment.isFinished(job)).map((job) => job.uid),
      [],
    );
    assert.ok(deployment.cloud.rentedCount > 0 && readHolder(deployment, 'rent') !== undefined);
  });

test('a node causes few writes over its lifetime, and its intents are deleted', async () => {
  const deployment = new SimulatedDeployment(77, {
    controllers: 3,
    machineCapacity: 24,
    cpuLimitScale: 4,
    roleMembers: ALL_CONTROLLERS,
  });
  for (let i = 0; i < 4; i++) deployment.at(3 + i * 60, () => deployment.submit({ tasks: 30, runS: 10 }));
  await deployment.clock.runUntil(480_000);
  assert.ok(deployment.cloud.rentedCount >= 20, `only ${deployment.cloud.rentedCount} nodes were launched`);
  const intents = deployment.state.listKeys(INTENT_KEY_PREFIX);
  assert.ok(intents.length <= 12, `${intents.length} intents left`);
  // Each intent is requested, committed, completed and deleted, and most intents concern several nodes.
  assert.ok(deployment.state.countChanges(INTENT_KEY_PREFIX) <= 4 * deployment.cloud.rentedCount);
});

test('with leased roles off, the leader record is the same as that of the version in production', () => {
  assert.equal(
    formatJson(encodeLeader({ member: 'hearth-2', term: 12, delegatesCloudCalls: false })),
    STORED_VALUES.leader,
  );
  assert.equal(decodeLeader(JSON.parse(STORED_VALUES.leader))?.delegatesCloudCalls, false);
  assert.equal(
    decodeLeader(encodeLeader({ member: 'a', term: 3, delegatesCloudCalls: true }))?.delegatesCloudCalls,
    true,
  );
});

test('detail records are obsolete once their job no longer needs them', () => {
  const encodeJobRecord = (phase: JobRecord['phase'], spec?: JobRecord['spec']): unknown =>
    encodeJob({
      phase,
      taskCount: 4,
      spec,
      acceptedMs: 5,
      memberStates: 'S',
      isSuccessorRunning: false,
      firstCompletionSegment: '',
    });
  const dependencyKey = (uid: string): string => dependencyListKey(uid, { id: 'k1', parts: 1 }, 0);
  const values: [key: string, value: unknown, isObsolete: boolean][] = [
    [jobKey('done'), encodeJobRecord('done'), false],
    [completionSegmentKey('done', 1), 'AA==', true],
    [dependencyKey('done'), ['job-000001'], true],
    [jobKey('open'), encodeJobRecord('open', createJobSpec()), false],
    [completionSegmentKey('open', 1), 'AA==', false],
    [dependencyKey('open'), ['job-000001'], false],
    [jobKey('cancelled'), encodeJobRecord('cancelled'), false],
    // Users can still see how many tasks of a cancelled job were done.
    [completionSegmentKey('cancelled', 1), 'AA==', false],
    [dependencyKey('cancelled'), ['job-000001'], true],
    [jobKey('stopping'), encodeJobRecord('cancelled', createJobSpec()), false],
    [dependencyKey('stopping'), ['job-000001'], false],
    // The submission of the job may be in progress.
    [dependencyKey('unknown'), ['job-000001'], false],
    [jobKey('odd'), 'rubbish', false],
    [completionSegmentKey('odd', 1), 'AA==', false],
  ];
  const keyValues = new Map(values.map(([key, value], i) => [key, { key, value, modRevision: i + 1 }]));
  const replica = {
    get: (key: string) => keyValues.get(key),
    listPrefix: (prefix: string) => [...keyValues.values()].filter(({ key }) => key.startsWith(prefix)),
  } as unknown as StateReplica;
  const expected = values.filter(([, , isObsolete]) => isObsolete).map(([key]) => key);
  assert.deepEqual(
    findObsoleteRecords(replica, 100)
      .map(({ key }) => key)
      .sort(),
    expected.sort(),
  );
  assert.equal(findObsoleteRecords(replica, 1).length, 1);
  for (const { conditions } of findObsoleteRecords(replica, 100)) assert.equal(conditions.length, 1);
});

test('an answer of the cloud that does not match its request counts as a refusal, and an inconclusive or missing one as unknown', async () => {
  const cases: [status: number, body: string, kind: string][] = [
    [200, '{"hearths":["vm-1","vm-2"]}', 'launched'],
    [200, '{"hearths":[]}', 'launched'],
    [200, '{"hearths":["vm-1","vm-2","vm-3"]}', 'refused'],
    [200, '{"hearths":["vm-1","vm-1"]}', 'refused'],
    [200, '[', 'refused'],
    [200, '7', 'refused'],
    [503, '{"error":"no capacity"}', 'refused'],
    [429, '', 'unknown'],
    [500, '', 'unknown'],
  ];
  for (const [status, body, kind] of cases) {
    const provider = new HttpCloudProvider({ call: () => Promise.resolve({ status, body }) }, 'cloud:1');
    const result = await provider.launch({ requestName: 'r-1-1', offering: OFFERING, nodeCount: 2 });
    assert.equal(result.kind, kind, `${status} ${body}`);
  }
  const unreachableProvider = new HttpCloudProvider(
    { call: () => Promise.reject(new Error('lost')) },
    'cloud:1',
  );
  assert.deepEqual(await unreachableProvider.terminate(['vm-1']), { kind: 'unknown', isAnswered: false });
});
