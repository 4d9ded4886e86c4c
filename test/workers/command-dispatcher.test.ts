import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { ClusterState, type Attempt } from '../../src/cluster/cluster-state.js';
import { computeLeaseExpiryMs } from '../../src/cluster/lease-rules.js';
import { LOST_START_FENCING_DELAY_MS, STOP_RESEND_INTERVAL_MS } from '../../src/constants.js';
import { LeadershipAuthority } from '../../src/election/leadership-authority.js';
import { HttpCallError, type HttpResponse } from '../../src/http/message.js';
import { Job } from '../../src/pipeline/job.js';
import { CommandDispatcher } from '../../src/workers/command-dispatcher.js';
import { createJobSpec } from '../fixtures.js';

const TERM_MS = 600_000;
const LEASE_S = 10;
/** Steady time at which each direct call ends. */
const CALL_END_MS = 5_000;

const HEARTBEAT =
  '{"hearth":"vm-1","address":"a:1","build":"small","yard":"a","loaner":false,"tenure":1,"tick":2,"baton":3,' +
  '"warningS":null,"pieces":[]}';

function createJob(): Job<Attempt> {
  const spec = createJobSpec();
  const record = {
    phase: 'open' as const,
    taskCount: 4,
    spec,
    acceptedMs: 0,
    memberStates: 'E',
    isSuccessorRunning: false,
    firstCompletionSegment: '',
  };
  return new Job<Attempt>({ uid: 'job-000001', record, spec, modRevision: 1, deadlineObjectives: [] });
}

/** Creates a dispatcher and a node with one planned attempt. `respond` simulates the worker of the node. */
function setUp(respond: () => Promise<HttpResponse>) {
  const clusterState = new ClusterState({
    onExited: () => undefined,
    onReleased: () => undefined,
    onTaskSlotFreed: () => undefined,
  });
  const description = { name: 'vm-1', address: 'a:1', type: 'small', zone: 'a', spot: false };
  const node = clusterState.addNode({ ...description, capacity: { cpus: 8, accelerators: 0, memGb: 64 } }, 0);
  node.markReconciled();
  const job = createJob();
  const attempt = clusterState.planAttempt({ job, taskIndex: 0, number: 7, node }, 0);
  const authority = new LeadershipAuthority();
  authority.renew(0, TERM_MS);
  const bodies: string[] = [];
  const responses: string[] = [];
  const dispatcher: CommandDispatcher = new CommandDispatcher({
    term: { fencingToken: 3, leaderKeyRevision: 1, authority },
    clusterState,
    httpClient: {
      call: (_address, _method, _target, body = '') => {
        bodies.push(body);
        return respond();
      },
    },
    leaseS: LEASE_S,
    nowMs: () => CALL_END_MS,
    log: pino({ level: 'silent' }),
    mayStart: () => true,
    deliverCallResult: (result) => dispatcher.handleCallResult(result),
    handleResponse: ({ status }) => responses.push(status.nodeName),
  });
  const sendPending = async (nowMs: number): Promise<void> => {
    dispatcher.sendPending(nowMs);
    await new Promise(setImmediate);
  };
  return { clusterState, job, node, attempt, dispatcher, bodies, responses, sendPending };
}

test('the outcome of a direct call decides whether its start command counts as executed', async () => {
  const respondWith = (status: number) => () => Promise.resolve({ status, body: HEARTBEAT });
  const failWith = (error: Error) => () => Promise.reject(error);
  const cases: [
    name: string,
    respond: () => Promise<HttpResponse>,
    state: Attempt['state'],
    directStart: Attempt['directStart'],
    responses: string[],
  ][] = [
    ['executed', respondWith(200), 'sent', 'none', ['vm-1']],
    ['fenced', respondWith(409), 'planned', 'none', ['vm-1']],
    ['malformed', respondWith(400), 'planned', 'none', []],
    ['another status', respondWith(500), 'sent', 'lost', []],
    ['not sent', failWith(new HttpCallError('unsent', 'refused')), 'planned', 'none', []],
    ['no response', failWith(new HttpCallError('unclear', 'timeout')), 'sent', 'lost', []],
    ['another error', failWith(new TypeError('unexpected')), 'sent', 'lost', []],
  ];
  for (const [name, respond, state, directStart, responses] of cases) {
    const setup = setUp(respond);
    await setup.sendPending(10);
    assert.equal(setup.bodies.length, 1, name);
    assert.equal(setup.attempt.state, state, name);
    assert.equal(setup.attempt.directStart, directStart, name);
    assert.deepEqual(setup.responses, responses, name);
  }
});

// Guards against tasks that run twice (rule `ran_twice`) after a machine restarts: the leader counted the lease from its
// last response to the former worker, while the lease of the new worker, which executed a direct start, began later.
test('the lease of a node lasts at least a whole lease after a direct call that may have started a task', async () => {
  const respondWith = (status: number) => () => Promise.resolve({ status, body: HEARTBEAT });
  const timeOut = () => Promise.reject(new HttpCallError('unclear', 'timeout'));
  const refuse = () => Promise.reject(new HttpCallError('unsent', 'refused'));
  // Each case has the worker's response to the call, its incarnation, and the leases that may follow the call.
  const cases: [name: string, respond: () => Promise<HttpResponse>, incarnation: number, leases: number][] = [
    ['executed', respondWith(200), 1, 1],
    ['executed in a later incarnation', respondWith(200), 3, 1],
    ['lost', timeOut, 1, 1],
    ['lost in a later incarnation, which a new worker reaches after two leases', timeOut, 3, 3],
    ['unclear', respondWith(500), 1, 1],
    ['fenced', respondWith(409), 1, 0],
    ['refused', refuse, 1, 0],
  ];
  for (const [name, respond, incarnation, leases] of cases) {
    const { node, sendPending } = setUp(respond);
    node.recordStatus({ incarnation, sequence: 1, address: 'a:1', interruptionNoticeS: null }, 0);
    await sendPending(10);
    const expectedMs = leases === 0 ? -Infinity : computeLeaseExpiryMs(CALL_END_MS, leases * LEASE_S);
    assert.equal(node.leaseExpiryMs, expectedMs, name);
  }
});

test('a lost start is not repeated by a direct call, and is fenced by a new term once its job has ended', async () => {
  const { clusterState, job, attempt, node, dispatcher, bodies, sendPending } = setUp(() =>
    Promise.reject(new HttpCallError('unclear', 'timeout')),
  );
  await sendPending(10);
  // A heartbeat did not list the attempt, so its start has to be sent again, but not by a direct call.
  attempt.returnToPlanned();
  clusterState.markAwaitingCommands(node);
  await sendPending(20);
  assert.equal(bodies.length, 1);
  const repeatedCommands = dispatcher.prepareCommandsForHeartbeat(node, 3, 10);
  assert.deepEqual(
    repeatedCommands.map(({ kind }) => kind),
    ['start'],
  );
  const fencingDueMs = 10 + LOST_START_FENCING_DELAY_MS;
  assert.equal(dispatcher.needsNewTerm(fencingDueMs), false, 'the job is still open');
  job.cancel();
  assert.equal(dispatcher.needsNewTerm(fencingDueMs - 1), false, 'the start may still be acknowledged');
  assert.equal(dispatcher.needsNewTerm(fencingDueMs), true);
  attempt.recordExit('stopped');
  assert.equal(dispatcher.needsNewTerm(fencingDueMs), false, 'the attempt has exited');
  assert.equal(node.attempts.size, 1);
});

test('a stop command is repeated by direct calls at intervals, and at once if its grace period is shortened', async () => {
  const { attempt, dispatcher, bodies, sendPending } = setUp(() =>
    Promise.resolve({ status: 200, body: HEARTBEAT }),
  );
  await sendPending(0);
  bodies.length = 0;
  const formatStopBody = (gracePeriodS: number): string =>
    `{"baton":3,"tenure":0,"orders":[{"verb":"stop","piece":"job-000001/0","try":7,"leewayS":${gracePeriodS}}]}`;
  dispatcher.requestStop(attempt, 30);
  const steps: [name: string, atMs: number, gracePeriodS: number, expected: string[]][] = [
    ['first', 10, 30, [formatStopBody(30)]],
    ['too early', 9 + STOP_RESEND_INTERVAL_MS, 30, []],
    ['repeated', 10 + STOP_RESEND_INTERVAL_MS, 30, [formatStopBody(30)]],
    ['a longer grace period changes nothing', 11 + STOP_RESEND_INTERVAL_MS, 60, []],
    ['a shorter one is sent at once', 12 + STOP_RESEND_INTERVAL_MS, 0, [formatStopBody(0)]],
  ];
  for (const [name, atMs, gracePeriodS, expected] of steps) {
    bodies.length = 0;
    dispatcher.requestStop(attempt, gracePeriodS);
    await sendPending(atMs);
    assert.deepEqual(bodies, expected, name);
  }
});

test('an attempt whose start was never sent is withdrawn when it is stopped', () => {
  const { attempt, node, dispatcher } = setUp(() => assert.fail('nothing is sent'));
  dispatcher.requestStop(attempt, 30);
  assert.equal(node.attempts.size, 0);
});
