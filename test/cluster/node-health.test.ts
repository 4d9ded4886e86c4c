import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { TaskStatus } from '../../src/cluster/worker-messages.js';
import {
  createClusterWithNode,
  createNodeHealth,
  createHeartbeat,
  createRunningTask,
} from '../support/cluster-fixture.js';

test('a node is unreachable after two responses without an effect, because responses do not reach it', () => {
  const { job, clusterState, reconciler, node } = createClusterWithNode();
  const health = createNodeHealth(clusterState, { heartbeatIntervalS: 1, findJob: () => job });
  node.markReconciled();
  // Each step has the tasks that the heartbeat lists, and tells whether the node is schedulable after it.
  const steps: [tasks: TaskStatus[], isSchedulable: boolean][] = [
    [[], true],
    [[], true],
    [[{ ...createRunningTask(0, 7), state: 'exited', exitCause: 'stopped' }], true],
    [[], true],
    [[], true],
    [[], true],
    [[], false],
  ];
  steps.forEach(([tasks, isSchedulable], step) => {
    if (node.attempts.size === 0) clusterState.planAttempt({ job, taskIndex: 0, number: 7, node }, step);
    reconciler.apply(node, createHeartbeat(1, step + 1, tasks), 'heartbeat', step);
    assert.equal(health.isSchedulable(node, step), isSchedulable, `step ${step}`);
    assert.equal(health.isUnreachable(node, step), !isSchedulable, `step ${step}`);
    for (const attempt of node.attempts.values()) {
      if (attempt.state !== 'planned') continue;
      attempt.markStartSent(step + 1, step);
    }
  });
});

test('a silent node does not count as lost while its worker may be switching to another controller', () => {
  const heartbeatIntervalS = 2;
  // Each case has the nodes by the controller that relayed their heartbeats, how many of these nodes fell silent, and
  // after how many seconds one of them counts as lost. The empty controller name stands for nodes that sent no heartbeat
  // in this term.
  const cases: [
    name: string,
    groups: Record<string, [total: number, silent: number]>,
    relayedBy: string,
    lostS: number,
  ][] = [
    ['one of many nodes', { a: [40, 1], b: [40, 0] }, 'a', 6],
    ['many nodes of one controller together', { a: [40, 30], b: [400, 0] }, 'a', 8.5],
    [
      'a node of another controller while those of the first are silent',
      { a: [40, 30], b: [400, 1] },
      'b',
      6,
    ],
    ['the last nodes that a new leader waits for', { a: [100, 0], '': [3, 3] }, '', 4.5],
    ['many nodes that a new leader waits for', { a: [100, 0], '': [20, 20] }, '', 8.5],
  ];
  for (const [name, nodesByController, relayedBy, expectedLostS] of cases) {
    const { clusterState, node: otherNode } = createClusterWithNode();
    clusterState.removeNode(otherNode);
    const health = createNodeHealth(clusterState, { heartbeatIntervalS, findJob: () => undefined });
    const description = {
      address: '',
      type: 't',
      zone: 'z',
      spot: false,
      capacity: { cpus: 4, accelerators: 0, memGb: 4 },
    };
    for (const [controller, [total, silent]] of Object.entries(nodesByController))
      for (let i = 0; i < total; i++) {
        const node = clusterState.addNode({ name: `${controller}-${i}`, ...description }, 0);
        node.recordRelay(controller);
        node.markPersistedAsUsed();
        if (controller !== '') node.recordHeartbeat(i < silent ? 0 : Infinity);
      }
    const node = clusterState.nodes.get(`${relayedBy}-0`)!;
    let lostMs = 0;
    for (let nowMs = 0; lostMs === 0 && nowMs < 20_000; nowMs += 100) {
      health.evaluateNodes(nowMs);
      if (health.isUnreachable(node, nowMs)) lostMs = nowMs;
    }
    assert.equal(lostMs / 1000, expectedLostS + 0.1, name);
  }
});
