import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { computeLeaseExpiryMs } from '../../src/cluster/lease-rules.js';
import type { NodeRecords } from '../../src/cluster/node-records.js';
import { COMMAND_CALL_TIMEOUT_MS } from '../../src/constants.js';
import { TermReconciliation, type LeaseCheckResult } from '../../src/leader/term-reconciliation.js';
import { DELEGATED_LEASES_PREFIX, encodeDelegatedLeases } from '../../src/state/records.js';
import type { StateReplica } from '../../src/state/state-replica.js';
import { createClusterWithNode, LEASE_S } from '../support/cluster-fixture.js';

const TERM_START_MS = 1_000;

/** Creates the reconciliation of a term that begins with one node, which an earlier term used. */
function setUp() {
  const { job, clusterState, node } = createClusterWithNode();
  const checks: LeaseCheckResult[] = [];
  const replica: Pick<StateReplica, 'listPrefix' | 'linearizableRead'> = {
    listPrefix: () => [],
    linearizableRead: () => Promise.resolve(),
  };
  const reconciliation = new TermReconciliation({
    fencingToken: 3,
    leaseS: LEASE_S,
    clusterState,
    replica: replica as StateReplica,
    commit: () => assert.fail('nothing is written'),
    nowMs: () => TERM_START_MS,
    log: pino({ level: 'silent' }),
    onLeaseCheckEnded: (result) => checks.push(result),
    requestSchedulingCycle: () => undefined,
  });
  const nodeRecords: Pick<NodeRecords, 'load'> = { load: () => new Map([[node, true]]) };
  reconciliation.load(nodeRecords as NodeRecords, () => ({ cpus: 8, accelerators: 0, memGb: 64 }));
  return { job, clusterState, node, reconciliation, checks };
}

// Guards against tasks that run twice (rule `ran_twice`) after a change of leader: a machine restarts while a direct call of
// the former leader waits for its connection, and the new worker, whose lease starts then, executes it.
test('a new leader counts leases from when the direct calls of the former leader have ended', () => {
  const { node } = setUp();
  assert.ok(node.leaseExpiryMs >= computeLeaseExpiryMs(TERM_START_MS + COMMAND_CALL_TIMEOUT_MS, LEASE_S));
});

// Guards against tasks that run twice (rule `ran_twice`): a proxy may renew the lease until its record is removed.
test('no lease expires while a proxy renews it, nor within a lease after that', async () => {
  const { job, clusterState, node, reconciliation, checks } = setUp();
  clusterState.planAttempt({ job, taskIndex: 0, number: 7, node }, 0);
  const key = `${DELEGATED_LEASES_PREFIX}c1/3-1`;
  const delegate = (nodeNames: readonly string[]): void =>
    reconciliation.handleDelegatedLease({
      key,
      modRevision: 9,
      value: nodeNames.length > 0 ? encodeDelegatedLeases({ term: 3, nodeNames: [...nodeNames] }) : undefined,
    });
  const checkLease = async (nowMs: number): Promise<number> => {
    checks.length = 0;
    reconciliation.confirmLeaseExpiry(node, nowMs);
    await new Promise(setImmediate);
    return checks.length;
  };
  const firstExpiryMs = node.leaseExpiryMs;
  delegate([node.name]);
  assert.equal(await checkLease(firstExpiryMs + 1), 0);
  delegate([]);
  assert.ok(node.leaseExpiryMs >= computeLeaseExpiryMs(TERM_START_MS, LEASE_S));
  assert.equal(await checkLease(node.leaseExpiryMs + 1), 1);
  // A record that is read while the expiry is confirmed holds the lease as well.
  delegate([node.name]);
  for (const check of checks) reconciliation.handleLeaseCheckResult(check);
  assert.equal(node.attempts.size, 1);
  delegate([]);
  assert.equal(await checkLease(node.leaseExpiryMs + 1), 1);
  for (const check of checks) reconciliation.handleLeaseCheckResult(check);
  assert.equal(node.attempts.size, 0);
});
