import assert from 'node:assert/strict';
import { test } from 'node:test';
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
