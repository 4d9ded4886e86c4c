/** A cluster with one node and one job for the tests of `src/cluster`. */
import { pino } from 'pino';
import { ClusterState, type Attempt, type Node } from '../../src/cluster/cluster-state.js';
import { HeartbeatReconciler } from '../../src/cluster/heartbeat-reconciler.js';
import { NodeHealth, type NodeHealthDependencies } from '../../src/cluster/node-health.js';
import { generatePendingCommands } from '../../src/cluster/pending-commands.js';
import type { Heartbeat, TaskStatus } from '../../src/cluster/worker-messages.js';
import { Job } from '../../src/pipeline/job.js';
import type { JobSpec } from '../../src/state/records.js';
import { createJobSpec } from '../fixtures.js';

/** Duration of the workers' lease in these tests, in seconds. */
export const LEASE_S = 10;

const JOB_UID = 'job-000001';
const NODE_NAME = 'vm-1';
const NODE_DESCRIPTION = { address: 'a:1', type: 'small', zone: 'a', spot: false };

/** Creates an open job of which no task has started. */
export function createJob(fields: Partial<JobSpec>): Job<Attempt> {
  const spec = createJobSpec(fields);
  const record = {
    phase: 'open' as const,
    taskCount: spec.tasks,
    spec,
    acceptedMs: 0,
    memberStates: 'E',
    isSuccessorRunning: false,
    firstCompletionSegment: '',
  };
  return new Job<Attempt>({ uid: spec.uid, record, spec, modRevision: 1, deadlineObjectives: [] });
}

/**
 * Creates a cluster state with one node, `vm-1`, and a job of four tasks, unless the fields of its specification say
 * otherwise. `exits` and `released` collect the events of the
 * cluster state.
 */
export function createClusterWithNode(fields: Partial<JobSpec> = {}) {
  const job = createJob(fields);
  const released: Attempt[] = [];
  const exits: string[] = [];
  const nodesWithFreedSlot: Node[] = [];
  const logLines: string[] = [];
  const clusterState = new ClusterState({
    onExited: (attempt, cause) => exits.push(`${attempt.taskIndex} ${cause}`),
    onReleased: (attempt) => released.push(attempt),
    onTaskSlotFreed: (freed) => nodesWithFreedSlot.push(freed),
  });
  const reconciler = new HeartbeatReconciler({
    clusterState,
    leaseS: LEASE_S,
    findJob: (uid) => (uid === job.uid ? job : undefined),
    log: pino({ level: 'info' }, { write: (line) => logLines.push(line) }),
  });
  const node = clusterState.addNode(
    { name: NODE_NAME, ...NODE_DESCRIPTION, capacity: { cpus: 8, accelerators: 0, memGb: 64 } },
    0,
  );
  return { job, clusterState, reconciler, node, released, exits, nodesWithFreedSlot, logLines };
}

/** Creates a heartbeat of the node `vm-1`. */
export function createHeartbeat(
  incarnation: number,
  sequence: number,
  tasks: readonly TaskStatus[] = [],
): Heartbeat {
  return {
    ...NODE_DESCRIPTION,
    nodeName: NODE_NAME,
    incarnation,
    sequence,
    fencingToken: 1,
    interruptionNoticeS: null,
    tasks,
  };
}

/** Creates a running task of the job, as its worker lists it. */
export const createRunningTask = (index: number, attempt: number): TaskStatus => ({
  jobUid: JOB_UID,
  taskIndex: index,
  attemptNumber: attempt,
  state: 'running',
});

/** Lists all pending commands for the node, with every start allowed. */
export const listCommands = (node: Node) =>
  [...generatePendingCommands(node, () => true)].map(({ command }) => command);

/** Creates the node health of a term that begins at 0 ms, without partitions or delegated leases. */
export function createNodeHealth(
  clusterState: ClusterState,
  options: Pick<NodeHealthDependencies, 'heartbeatIntervalS' | 'findJob'>,
): NodeHealth {
  return new NodeHealth({
    clusterState,
    ...options,
    termStartMs: 0,
    findInstanceType: () => undefined,
    isLeaseDelegated: () => false,
    isZoneUnreachable: () => false,
  });
}
