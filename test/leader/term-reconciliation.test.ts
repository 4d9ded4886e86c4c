import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { computeLeaseExpiryMs } from '../../src/cluster/lease-rules.js';
import type { NodeRecords } from '../../src/cluster/node-records.js';
import { COMMAND_CALL_TIMEOUT_MS } from '../../src/constants.js';
import { TermReconciliation, type LeaseCheckResult } from '../../src/leader/term-reconciliation.js';
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

// Guards against tasks that run twice (rule `ran_twice`): the lease of a new worker on the machine may start when it accepts
// the call, so it is not known before the call has ended.
test('no lease expires while a direct start is pending', async () => {
  const { job, clusterState, node, reconciliation, checks } = setUp();
  const attempt = clusterState.planAttempt({ job, taskIndex: 0, number: 7, node }, 0);
  const nowMs = node.leaseExpiryMs + 1;
  const checkLease = async (): Promise<number> => {
    checks.length = 0;
    reconciliation.confirmLeaseExpiry(node, nowMs);
    await new Promise(setImmediate);
    return checks.length;
  };
  attempt.beginDirectStart();
  assert.equal(await checkLease(), 0);
  attempt.endDirectStart('none');
  assert.equal(await checkLease(), 1);
  // A call that begins while the state store is read holds the lease as well.
  attempt.beginDirectStart();
  for (const check of checks) reconciliation.handleLeaseCheckResult(check);
  assert.equal(node.attempts.size, 1);
  attempt.endDirectStart('none');
  for (const check of checks) reconciliation.handleLeaseCheckResult(check);
  assert.equal(node.attempts.size, 0);
});
