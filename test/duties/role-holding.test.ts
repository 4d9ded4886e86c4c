import assert from 'node:assert/strict';
import test from 'node:test';
import { fencingTokenKey, ROLES } from '@pumicehinge/duties';
import {
  advance,
  FIVE_CONTROLLERS,
  requireHolder,
  createSettledCluster,
  THREE_CONTROLLERS,
} from './settled-cluster.js';

test('roles spread over five controllers, and a single controller holds all of them', async () => {
  const fiveControllerCluster = await createSettledCluster(FIVE_CONTROLLERS);
  assert.equal(new Set(fiveControllerCluster.log.getHolders()).size, ROLES.length);
  const singleControllerCluster = await createSettledCluster(['c0']);
  assert.deepEqual(new Set(singleControllerCluster.log.getHolders()), new Set(['c0']));
});

test('a failed actor is replaced, and the work of the roles continues', async () => {
  const cluster = await createSettledCluster(THREE_CONTROLLERS);
  const failingMember = requireHolder(cluster, 'rent');
  let failureCount = 0;
  cluster.onLeaderRead = (member) => {
    if (member !== failingMember || failureCount >= 3) return;
    failureCount++;
    throw new Error('simulated bug');
  };
  cluster.targetNodes = 3;
  await advance(cluster, 25_000);
  assert.equal(failureCount, 3);
  assert.deepEqual(cluster.listViolations(), []);
  assert.deepEqual(cluster.listUnfinished(), []);
});

test('two processes of one controller do not take roles from each other in turn', async () => {
  const cluster = await createSettledCluster(THREE_CONTROLLERS);
  cluster.startProcess('c1');
  await advance(cluster, 10_000);
  const tokens = (): unknown[] => ROLES.map((role) => cluster.state.getValue(fencingTokenKey(role)));
  const before = tokens();
  await advance(cluster, 60_000);
  assert.deepEqual(tokens(), before);
});

test('a role is never taken from a healthy holder', async () => {
  const cluster = await createSettledCluster(THREE_CONTROLLERS);
  const tokens = (): unknown[] => ROLES.map((role) => cluster.state.getValue(fencingTokenKey(role)));
  const before = tokens();
  await advance(cluster, 120_000);
  assert.deepEqual(tokens(), before);
});
