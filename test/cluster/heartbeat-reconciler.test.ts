import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { HeartbeatSource } from '../../src/cluster/lease-rules.js';
import type { TaskStatus } from '../../src/cluster/worker-messages.js';
import {
  createClusterWithNode,
  createHeartbeat,
  LEASE_S,
  createRunningTask,
} from '../support/cluster-fixture.js';

// Guards against tasks that run twice (rule `ran_twice`): the worker starts its own lease with a new incarnation, even if
// the leader does not answer the heartbeat.
test('a new incarnation starts with a lease of its own, whether or not its heartbeat is answered', () => {
  const { reconciler, node } = createClusterWithNode();
  reconciler.apply(node, createHeartbeat(1, 1), 'heartbeat', 0);
  reconciler.recordResponse(node, 0);
  reconciler.apply(node, createHeartbeat(2, 2), 'heartbeat', 10_500);
  assert.ok(node.leaseExpiryMs > 10_500 + LEASE_S * 1000);
});

test('old heartbeats change nothing, new incarnations end earlier attempts, and fenced incarnations stay ended', () => {
  const { job, clusterState, reconciler, node, released } = createClusterWithNode();
  reconciler.apply(
    node,
    createHeartbeat(1, 5, [createRunningTask(0, 7), createRunningTask(1, 8)]),
    'heartbeat',
    0,
  );
  assert.deepEqual([...job.attemptByTask.keys()], [0, 1]);
  assert.deepEqual(clusterState.getTeamUsage('red'), { cpus: 4, accelerators: 0, memGb: 8 });
  assert.equal(reconciler.apply(node, createHeartbeat(1, 4), 'heartbeat', 10), false);
  assert.equal(job.attemptByTask.size, 2);
  assert.equal(
    reconciler.apply(node, createHeartbeat(2, 1, [createRunningTask(2, 9)]), 'heartbeat', 20),
    true,
  );
  assert.deepEqual([...job.attemptByTask.keys()], [2]);
  assert.equal(released.length, 2);
  clusterState.fenceIncarnation(node);
  assert.equal(job.attemptByTask.size, 0);
  assert.equal(
    reconciler.apply(node, createHeartbeat(2, 9, [createRunningTask(2, 9)]), 'heartbeat', 30),
    false,
  );
  assert.equal(clusterState.getTeamUsage('red').cpus, 0);
});

test('a response to a command does not count as a heartbeat, because the worker may reach no controller', () => {
  const { reconciler, node } = createClusterWithNode();
  reconciler.apply(node, createHeartbeat(1, 1), 'heartbeat', 1_000);
  assert.equal(node.lastHeartbeatMs, 1_000);
  assert.ok(reconciler.apply(node, createHeartbeat(1, 2), 'commandResponse', 4_000));
  assert.equal(node.sequence, 2);
  assert.equal(node.lastHeartbeatMs, 1_000);
});

// Guards against tasks that run twice (rule `ran_twice`): after a restart, late heartbeats of the former worker and those of
// the new one look like messages of one worker. A list that lacks a task freed it, while the new worker ran it.
test('a heartbeat that lacks a task of its incarnation shows that the worker was replaced, and frees nothing', () => {
  const exitedTask: TaskStatus = { ...createRunningTask(0, 7), state: 'exited', exitCause: 'stopped' };
  // Each case has the incarnation, the source and the tasks of a message that follows (1, 1), whether it is applied, and
  // the number of attempts that are left on the node.
  const cases: [
    name: string,
    known: TaskStatus,
    next: [incarnation: number, source: HeartbeatSource, tasks: TaskStatus[]],
    isApplied: boolean,
    attemptCount: number,
  ][] = [
    ['the task is missing', createRunningTask(0, 7), [1, 'heartbeat', []], false, 1],
    ['another attempt', createRunningTask(0, 7), [1, 'heartbeat', [createRunningTask(0, 8)]], false, 1],
    ['the task is listed', createRunningTask(0, 7), [1, 'heartbeat', [createRunningTask(0, 7)]], true, 1],
    ['the task had exited', exitedTask, [1, 'heartbeat', []], true, 0],
    ['a new incarnation', createRunningTask(0, 7), [2, 'heartbeat', []], true, 0],
    ['a response to a call', createRunningTask(0, 7), [1, 'commandResponse', []], true, 0],
  ];
  for (const [name, known, [incarnation, source, tasks], isApplied, attemptCount] of cases) {
    const { reconciler, node } = createClusterWithNode();
    reconciler.apply(node, createHeartbeat(1, 1, [known]), 'heartbeat', 0);
    const message = createHeartbeat(incarnation, 2, tasks);
    assert.equal(reconciler.apply(node, message, source, 10_500), isApplied, name);
    assert.equal(node.isWorkerReplaced, !isApplied, name);
    assert.equal(node.attempts.size, attemptCount, name);
    if (!isApplied) assert.ok(node.leaseExpiryMs > 10_500 + LEASE_S * 1000, name);
  }
});

test('the response of a new worker frees what ended with the former one, and later messages free nothing', () => {
  const { job, clusterState, reconciler, node, released } = createClusterWithNode();
  reconciler.apply(
    node,
    createHeartbeat(1, 9, [createRunningTask(0, 7), createRunningTask(1, 8)]),
    'heartbeat',
    0,
  );
  const executed = clusterState.planAttempt({ job, taskIndex: 2, number: 9, node }, 0);
  executed.markStartSent(9, 0);
  const inFlight = clusterState.planAttempt({ job, taskIndex: 3, number: 10, node }, 0);
  inFlight.markStartSent(9, 0);
  reconciler.applyReplacement(node, createHeartbeat(1, 1, [createRunningTask(2, 9)]), 10_500);
  assert.deepEqual(
    released.map(({ taskIndex }) => taskIndex),
    [0, 1],
  );
  // The start in flight may still be executed, so it stays allocated until the machine is deleted or the lease expires.
  assert.deepEqual([...node.attempts.values()], [executed, inFlight]);
  assert.ok(node.leaseExpiryMs > 10_500 + LEASE_S * 1000);
  for (const heartbeat of [createHeartbeat(1, 10), createHeartbeat(2, 1)])
    assert.equal(reconciler.apply(node, heartbeat, 'heartbeat', 10_600), false);
  assert.equal(node.attempts.size, 2);
});
