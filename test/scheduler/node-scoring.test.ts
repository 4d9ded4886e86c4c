import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ClusterState } from '../../src/cluster/cluster-state.js';
import { scoreNodes } from '../../src/scheduler/node-scoring.js';
import { createJobSpec } from '../fixtures.js';

test('a job that allows spot nodes gets them first, unless it avoids them and gets on-demand nodes first', () => {
  const clusterState = new ClusterState({
    onExited: () => undefined,
    onReleased: () => undefined,
    onTaskSlotFreed: () => undefined,
  });
  const createNodeCapacity = (name: string, spot: boolean) => {
    const capacity = { cpus: 4, accelerators: 0, memGb: 16 };
    const node = clusterState.addNode({ name, address: '', type: 'small', zone: 'a', spot, capacity }, 0);
    return { node, free: clusterState.computeFreeCapacity(node) };
  };
  const candidates = [createNodeCapacity('spot', true), createNodeCapacity('on demand', false)];
  for (const [avoidsSpot, expectedFirstName] of [
    [true, 'on demand'],
    [false, 'spot'],
  ] as const) {
    const request = {
      spec: createJobSpec({ spot: true }),
      allocationsPerZone: new Map<string, number>(),
      avoidsSpot,
      avoidedNodeNames: new Set<string>(),
    };
    assert.equal(scoreNodes(request, candidates, () => 0)[0]!.node.name, expectedFirstName);
  }
});
