import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { ClusterState, type Attempt } from '../../src/cluster/cluster-state.js';
import { STOP_RESEND_INTERVAL_MS } from '../../src/constants.js';
import { LeadershipAuthority } from '../../src/election/leadership-authority.js';
import { HttpCallError, type HttpResponse } from '../../src/http/message.js';
import { Job } from '../../src/pipeline/job.js';
import { CommandDispatcher } from '../../src/workers/command-dispatcher.js';
import { createJobSpec } from '../fixtures.js';

const TERM_MS = 600_000;

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

/** Creates a dispatcher and a node with one planned attempt, the attempt 7 of the task 0. `respond` simulates the worker of the node. */
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
    log: pino({ level: 'silent' }),
    mayStart: () => true,
    deliverCallResult: (result) => dispatcher.handleCallResult(result),
    handleResponse: ({ status }) => responses.push(status.nodeName),
  });
  const sendPendingStops = async (nowMs: number): Promise<void> => {
    dispatcher.sendPendingStops(nowMs);
    await new Promise(setImmediate);
  };
  /** Plans another attempt, whose start is on its way, and requests that it stop. */
  const addStoppingAttempt = (): Attempt => {
    const stopping = clusterState.planAttempt({ job, taskIndex: 1, number: 8, node }, 0);
    stopping.markStartSent(1, 0);
    dispatcher.requestStop(stopping, { gracePeriodS: 0, reason: 'preempted' });
    return stopping;
  };
  return {
    clusterState,
    job,
    node,
    attempt,
    dispatcher,
    bodies,
    responses,
    sendPendingStops,
    addStoppingAttempt,
  };
}

const respondWith = (status: number) => () => Promise.resolve({ status, body: HEARTBEAT });
const failWith = (error: Error) => () => Promise.reject(error);

/** How a direct call can end, and whether its response holds the status of the worker. */
const CALL_OUTCOMES: [name: string, respond: () => Promise<HttpResponse>, hasStatus: boolean][] = [
  ['executed', respondWith(200), true],
  ['fenced', respondWith(409), true],
  ['malformed', respondWith(400), false],
  ['another status', respondWith(500), false],
  ['not sent', failWith(new HttpCallError('unsent', 'refused')), false],
  ['no response', failWith(new HttpCallError('unclear', 'timeout')), false],
  ['another error', failWith(new TypeError('unexpected')), false],
];

// Guards against tasks that run twice (rule `ran_twice`): a direct call may arrive again after its attempt was acknowledged,
// or reach a new worker on the machine.
test('a direct call carries no start, whatever the worker has to be told and however the call before it ended', async () => {
  for (const [name, respond, hasStatus] of CALL_OUTCOMES) {
    const { attempt, dispatcher, bodies, responses, sendPendingStops, addStoppingAttempt } = setUp(respond);
    await sendPendingStops(10);
    assert.deepEqual(bodies, [], name);
    addStoppingAttempt();
    await sendPendingStops(20);
    await sendPendingStops(20 + STOP_RESEND_INTERVAL_MS);
    assert.equal(bodies.length, 2, name);
    for (const body of bodies)
      assert.deepEqual(
        (JSON.parse(body) as { orders: { verb: string; try: number }[] }).orders.map(({ verb }) => verb),
        ['stop'],
        name,
      );
    assert.equal(attempt.state, 'planned', name);
    const refusedCalls = name === 'fenced' ? 2 : 0;
    assert.deepEqual(
      dispatcher.commandCounts,
      { startsSent: 0, directCalls: 2, directCallsRefused: refusedCalls },
      name,
    );
    assert.deepEqual(responses, hasStatus ? ['vm-1', 'vm-1'] : [], name);
  }
});

test('no direct call extends the lease of a node, as it starts nothing', async () => {
  for (const [name, respond] of CALL_OUTCOMES) {
    const { node, bodies, sendPendingStops, addStoppingAttempt } = setUp(respond);
    node.recordStatus({ incarnation: 3, sequence: 1, address: 'a:1', interruptionNoticeS: null }, 0);
    node.extendLease(7);
    addStoppingAttempt();
    await sendPendingStops(10);
    assert.equal(bodies.length, 1, name);
    assert.equal(node.leaseExpiryMs, 7, name);
  }
});

test('a start is sent in the response to a heartbeat, and again only after one that shows it was not executed', () => {
  const { attempt, dispatcher, node } = setUp(() => assert.fail('nothing is called'));
  const listKinds = (sequence: number): string[] =>
    dispatcher.prepareCommandsForHeartbeat(node, sequence, 10).map(({ kind }) => kind);
  assert.deepEqual(listKinds(3), ['start']);
  assert.equal(attempt.startSentSequence, 3);
  assert.deepEqual(listKinds(4), []);
  attempt.returnToPlanned();
  assert.deepEqual(listKinds(5), ['start']);
  assert.equal(attempt.startSentSequence, 5);
  dispatcher.sendPendingStops(20);
});

test('a stop command is repeated by direct calls at intervals, and at once if its grace period is shortened', async () => {
  const { attempt, dispatcher, bodies, sendPendingStops } = setUp(respondWith(200));
  attempt.markStartSent(1, 0);
  const formatStopBody = (gracePeriodS: number): string =>
    `{"baton":3,"tenure":0,"orders":[{"verb":"stop","piece":"job-000001/0","try":7,"leewayS":${gracePeriodS}}]}`;
  dispatcher.requestStop(attempt, { gracePeriodS: 30, reason: 'preempted' });
  const steps: [name: string, atMs: number, gracePeriodS: number, expected: string[]][] = [
    ['first', 10, 30, [formatStopBody(30)]],
    ['too early', 9 + STOP_RESEND_INTERVAL_MS, 30, []],
    ['repeated', 10 + STOP_RESEND_INTERVAL_MS, 30, [formatStopBody(30)]],
    ['a longer grace period changes nothing', 11 + STOP_RESEND_INTERVAL_MS, 60, []],
    ['a shorter one is sent at once', 12 + STOP_RESEND_INTERVAL_MS, 0, [formatStopBody(0)]],
  ];
  for (const [name, atMs, gracePeriodS, expected] of steps) {
    bodies.length = 0;
    dispatcher.requestStop(attempt, { gracePeriodS, reason: 'preempted' });
    await sendPendingStops(atMs);
    assert.deepEqual(bodies, expected, name);
  }
});

test('an attempt whose start was never sent is withdrawn when it is stopped', () => {
  const { attempt, node, dispatcher } = setUp(() => assert.fail('nothing is sent'));
  dispatcher.requestStop(attempt, { gracePeriodS: 30, reason: 'preempted' });
  assert.equal(node.attempts.size, 0);
});
