/** Tests that preemption and scaling out count the task slots of a node like its resources. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { IncomingCapacityFinder } from '../../src/autoscaler/incoming-capacity.js';
import type { ClusterState } from '../../src/cluster/cluster-state.js';
import type { ExitCause, TaskStatus } from '../../src/cluster/worker-messages.js';
import { ACKNOWLEDGEMENT_DELAY_S, MAX_TASKS_PER_NODE } from '../../src/constants.js';
import { rankPreemptions } from '../../src/scheduler/preemption.js';
import {
  createClusterWithNode,
  createHeartbeat,
  createJob,
  createRunningTask,
} from '../support/cluster-fixture.js';

const NODE_CPUS = 8;
const SMALL_TASK = { cpus: 0.01, memGb: 0.01 };
const SERVICE = createJob({ uid: 'job-000002', kind: 'service', tasks: 1, cpus: 2, memGb: 1 });

/** Creates a node without a free task slot. Its worker lists running tasks of a job, and exited ones. */
function createFullNode(runningCount: number) {
  const cluster = createClusterWithNode({ ...SMALL_TASK, tasks: MAX_TASKS_PER_NODE });
  const tasks = Array.from({ length: MAX_TASKS_PER_NODE }, (_, index): TaskStatus => {
    const running = createRunningTask(index, 7);
    return index < runningCount ? running : { ...running, state: 'exited', exitCause: 'stopped' };
  });
  cluster.reconciler.apply(cluster.node, createHeartbeat(1, 1, tasks), 'heartbeat', 0);
  return cluster;
}

function createCapacityFinder(clusterState: ClusterState): IncomingCapacityFinder {
  return new IncomingCapacityFinder({
    clusterState,
    nodeHealth: { isBootOverdue: () => false, isBooting: () => false, isSchedulable: () => true } as never,
    instanceTypes: () => new Map(),
    getNodeCapacity: () => ({ cpus: NODE_CPUS, accelerators: 0, memGb: 64 }),
  });
}

test('a task slot is preempted only if no exited task is about to free one', () => {
  const cases: [name: string, runningCount: number, victimCount: number][] = [
    ['all tasks run', MAX_TASKS_PER_NODE, 1],
    ['the last task has exited', MAX_TASKS_PER_NODE - 1, 0],
    ['all but two tasks have exited', 2, 0],
  ];
  for (const [name, runningCount, victimCount] of cases) {
    const { clusterState, node } = createFullNode(runningCount);
    const nodeCapacity = { node, free: clusterState.computeFreeCapacity(node) };
    const preemptions = rankPreemptions(SERVICE, [nodeCapacity], {
      estimateImagePullS: () => 0,
      mayPreempt: () => true,
      computeStopCostS: () => 1,
    });
    assert.deepEqual(
      preemptions.map(({ victims }) => victims.length),
      [victimCount],
      name,
    );
  }
});

test('an exited task is about to free its slot, however it ended', () => {
  const causes: readonly ExitCause[] = [
    'completed',
    'stopped',
    'failed',
    'insufficientResources',
    'conflictingAttempt',
    'unknownTask',
    'unknown',
  ];
  for (const cause of causes) {
    const { clusterState, node } = createFullNode(MAX_TASKS_PER_NODE);
    clusterState.exitAttempt([...node.attempts.values()][0]!, cause);
    const [preemption] = rankPreemptions(SERVICE, [{ node, free: clusterState.computeFreeCapacity(node) }], {
      estimateImagePullS: () => 0,
      mayPreempt: () => true,
      computeStopCostS: () => 1,
    });
    assert.equal(preemption?.victims.length, 0, cause);
    const incoming = createCapacityFinder(clusterState).findIncoming([], 0);
    assert.ok(
      incoming.some(({ isOccupied }) => !isOccupied),
      cause,
    );
  }
});

test('a task that is already being stopped frees its slot, so no other is preempted', () => {
  const { clusterState, node } = createFullNode(MAX_TASKS_PER_NODE);
  [...node.attempts.values()][1]!.requestStop({ gracePeriodS: 0, reason: 'preempted' });
  const preemptions = rankPreemptions(SERVICE, [{ node, free: clusterState.computeFreeCapacity(node) }], {
    estimateImagePullS: () => 0,
    mayPreempt: () => true,
    computeStopCostS: () => 1,
  });
  assert.deepEqual(
    preemptions.map(({ victims }) => victims.length),
    [0],
  );
});

test('the free resources of a node without a free task slot can be used once a slot is free', () => {
  const cases: [name: string, runningCount: number, expectedRoom: [cpus: string, taskSlots: number][]][] = [
    [
      'exited tasks are about to free their slots',
      2,
      [
        ['0.01', 1],
        ['0.01', 1],
        ['7.98', MAX_TASKS_PER_NODE - 2],
      ],
    ],
    [
      'the first running task to complete frees its slot',
      MAX_TASKS_PER_NODE,
      [
        [(NODE_CPUS - (MAX_TASKS_PER_NODE - 1) * SMALL_TASK.cpus).toFixed(2), 1],
        ...Array.from({ length: MAX_TASKS_PER_NODE - 1 }, (): [string, number] => ['0.01', 1]),
      ],
    ],
  ];
  for (const [name, runningCount, expectedRoom] of cases) {
    const incoming = createCapacityFinder(createFullNode(runningCount).clusterState).findIncoming([], 0);
    assert.deepEqual(
      incoming.map(({ free }) => [free.cpus.toFixed(2), free.taskSlots]),
      expectedRoom,
      name,
    );
    const ready = incoming.filter(({ isOccupied }) => !isOccupied).map(({ readyInS }) => readyInS);
    assert.deepEqual(ready, runningCount < MAX_TASKS_PER_NODE ? [ACKNOWLEDGEMENT_DELAY_S] : [], name);
  }
});

test('the capacity that a service can use at once includes the slots of the tasks that it may preempt', () => {
  for (const runningCount of [0, 5, MAX_TASKS_PER_NODE]) {
    const { clusterState, node } = createFullNode(runningCount);
    node.markPersistedAsUsed();
    const [immediate] = createCapacityFinder(clusterState).findImmediate(0);
    assert.equal(immediate?.free.taskSlots, MAX_TASKS_PER_NODE, `${runningCount} running tasks`);
    assert.equal(immediate?.free.cpus.toFixed(2), NODE_CPUS.toFixed(2));
  }
});
