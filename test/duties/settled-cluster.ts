/** A model cluster without faults, which tests use as their initial state. */
import assert from 'node:assert/strict';
import test from 'node:test';
import type { IntentState, Role } from '@pumicehinge/duties';
import type { RoleAction } from '../../src/simulation/role-action-log.js';
import { ModelCluster, PROMPT_DELIVERY } from './model-cluster.js';

export const THREE_CONTROLLERS = ['c0', 'c1', 'c2'];
export const FIVE_CONTROLLERS = ['c0', 'c1', 'c2', 'c3', 'c4'];

/** Creates a cluster in which c0 leads and every role has a holder. */
export async function createSettledCluster(members: string[]): Promise<ModelCluster> {
  let state = 1;
  const random = (): number => (state = (state * 48_271) % 2_147_483_647) / 2_147_483_647;
  const cluster = new ModelCluster(members, random, PROMPT_DELIVERY);
  cluster.targetNodes = 0;
  cluster.clock.setTimer(100, () => void cluster.elect('c0'));
  await cluster.clock.runUntil(9_000);
  assert.ok(!cluster.log.getHolders().includes(undefined), 'a role has no holder');
  return cluster;
}

/** Advances the simulated time. */
export async function advance(cluster: ModelCluster, ms: number): Promise<void> {
  await cluster.clock.runUntil(cluster.clock.steadyMs() + ms);
}

/** Returns the holder of a role, which must have one. */
export const requireHolder = (cluster: ModelCluster, role: Role): string => {
  const holder = cluster.log.getHolder(role);
  assert.ok(holder, `nobody holds ${role}`);
  return holder;
};

/** Advances the simulated time until an intent of the role is in this state. */
export async function advanceUntilIntent(
  cluster: ModelCluster,
  role: Role,
  state: IntentState,
): Promise<void> {
  for (let i = 0; i < 20_000; i++) {
    if (cluster.listIntents().some((intent) => intent.role === role && intent.state === state)) return;
    await advance(cluster, 1);
  }
  assert.fail(`no intent of ${role} reached the state ${state}`);
}

/** Lists the calls to the cloud. */
export const listCloudCalls = (cluster: ModelCluster): RoleAction[] =>
  cluster.log.actions.filter(({ result }) => result !== 'record');

/** Lists the calls to the cloud by one member. */
export const listCloudCallsFrom = (cluster: ModelCluster, member: string): RoleAction[] =>
  listCloudCalls(cluster).filter(({ sender }) => sender === member);

/** A failure in a settled cluster. At its end no rule may be broken, and nothing may be unfinished. */
export interface FailureCase {
  name: string;
  members?: string[];
  run: (cluster: ModelCluster) => Promise<void>;
}

/** Registers one test for each case. */
export function testFailureCases(cases: readonly FailureCase[]): void {
  for (const { name, members, run } of cases)
    test(name, async () => {
      const cluster = await createSettledCluster(members ?? THREE_CONTROLLERS);
      await run(cluster);
      await advance(cluster, 12_000);
      assert.deepEqual(cluster.listViolations(), []);
      assert.deepEqual(cluster.listUnfinished(), []);
    });
}
