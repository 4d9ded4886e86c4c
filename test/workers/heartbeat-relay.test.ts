import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { SimulatedClock } from '@pumicehinge/runtime/simulated-clock';
import {
  RELAY_RESPONSE_VALIDITY_MS,
  RELAY_REVIEW_INTERVAL_MS,
  RELAY_TIMEOUT_MS,
} from '../../src/constants.js';
import type { HttpResponse } from '../../src/http/message.js';
import type { PeerMessage } from '../../src/peers/peer-messages.js';
import { HeartbeatRelay } from '../../src/workers/heartbeat-relay.js';

const MAX_PENDING = 3;
const MAX_PENDING_BYTES = 1_000;

/** Creates a relay that has received one heartbeat. */
function setUp(random: () => number = () => 0) {
  const clock = new SimulatedClock();
  const cluster = {
    leader: 'c1' as string | undefined,
    refusingLeader: undefined as string | undefined,
    isProxyActive: false,
    dropsMessages: false,
  };
  const forwarded: { member: string; id: number }[] = [];
  let deliverPeerMessage: (member: string, message: PeerMessage) => void = () => undefined;
  const relay = new HeartbeatRelay({
    clock,
    log: pino({ level: 'silent' }),
    random,
    peerTransport: {
      send: (member, message) => {
        if (cluster.dropsMessages) return false;
        if (message.kind === 'relay') forwarded.push({ member, id: message.id });
        return true;
      },
      onMessage: (listener) => (deliverPeerMessage = listener),
    },
    maxPending: MAX_PENDING,
    maxPendingBytes: MAX_PENDING_BYTES,
    getReachableLeader: () => cluster.leader,
    getRefusingLeader: () => cluster.refusingLeader,
    handleLocally: (_body, respond) => {
      if (cluster.isProxyActive) respond({ status: 200, body: 'proxy' });
      return cluster.isProxyActive;
    },
  });
  const responses: HttpResponse[] = [];
  const relayResponse = (id: number, body: string): void =>
    deliverPeerMessage('c1', { kind: 'relayed', id, status: 200, body });
  const sendHeartbeat = (body = '{}'): void =>
    relay.send({ kind: 'heartbeat', body, respond: (response) => responses.push(response) });
  sendHeartbeat();
  return { clock, cluster, forwarded, responses, relayResponse, sendHeartbeat };
}

test('a relayed heartbeat gets exactly one response, and never a response of the leader that is too old', async () => {
  type Setup = ReturnType<typeof setUp>;
  const cases: [
    name: string,
    actions: [atMs: number, action: (setup: Setup) => void][],
    responses: [status: number, body: string][],
  ][] = [
    ['the response arrives in time', [[100, (s) => s.relayResponse(s.forwarded[0]!.id, 'a')]], [[200, 'a']]],
    [
      'the response arrives twice',
      [
        [100, (s) => s.relayResponse(s.forwarded[0]!.id, 'a')],
        [200, (s) => s.relayResponse(s.forwarded[0]!.id, 'b')],
      ],
      [[200, 'a']],
    ],
    [
      'the response arrives too late',
      [[RELAY_RESPONSE_VALIDITY_MS + 1, (s) => s.relayResponse(s.forwarded[0]!.id, 'a')]],
      [[503, '{}']],
    ],
    ['no response arrives', [[RELAY_TIMEOUT_MS + 500, () => undefined]], [[503, '{}']]],
    [
      'the leader changes, and the response of the former leader is not passed on',
      [
        [500, (s) => (s.cluster.leader = 'c2')],
        [900, (s) => s.relayResponse(s.forwarded[0]!.id, 'former')],
        [1000, (s) => s.relayResponse(s.forwarded[1]!.id, 'new')],
      ],
      [[200, 'new']],
    ],
    [
      'the leader can no longer be reached, and the lease renewal proxy responds',
      [
        [300, (s) => Object.assign(s.cluster, { leader: undefined, isProxyActive: true })],
        [RELAY_RESPONSE_VALIDITY_MS + 500, () => undefined],
      ],
      [[200, 'proxy']],
    ],
    [
      'the leader refuses connections',
      [
        [300, (s) => (s.cluster.refusingLeader = 'c1')],
        [800, () => undefined],
      ],
      [[421, '{"steward":"c1"}']],
    ],
  ];
  for (const [name, actions, expected] of cases) {
    const setup = setUp();
    for (const [atMs, action] of actions) {
      await setup.clock.runUntil(atMs);
      action(setup);
    }
    await setup.clock.runUntil(RELAY_TIMEOUT_MS + 2_000);
    assert.deepEqual(
      setup.responses.map(({ status, body }): [number, string] => [status, body]),
      expected,
      name,
    );
  }
});

test('a response to a request of a former relay process is not passed on to any worker', async () => {
  const formerProcess = setUp(() => 0.25);
  const restartedProcess = setUp(() => 0.75);
  await formerProcess.clock.runUntil(10);
  await restartedProcess.clock.runUntil(10);
  restartedProcess.relayResponse(formerProcess.forwarded[0]!.id, 'meant for another worker');
  await restartedProcess.clock.runUntil(100);
  assert.deepEqual(restartedProcess.responses, []);
  restartedProcess.relayResponse(restartedProcess.forwarded[0]!.id, 'meant for this one');
  await restartedProcess.clock.runUntil(200);
  assert.deepEqual(
    restartedProcess.responses.map(({ body }) => body),
    ['meant for this one'],
  );
});

// Each pending heartbeat holds a socket, and thousands arrive at once if all workers turn to one controller.
test('heartbeats beyond the limit are rejected at once, and accepted again after others have been answered', () => {
  const { forwarded, responses, relayResponse, sendHeartbeat } = setUp();
  for (let i = 1; i < MAX_PENDING + 2; i++) sendHeartbeat();
  assert.deepEqual(
    responses.map(({ status }) => status),
    [503, 503],
  );
  relayResponse(forwarded[0]!.id, 'a');
  sendHeartbeat();
  assert.equal(forwarded.length, MAX_PENDING + 1);
  assert.equal(responses.length, 3);
});

// The size of a heartbeat grows with the tasks of its node.
test('heartbeats beyond the limit of their total size are rejected until others have been answered', () => {
  const { forwarded, responses, relayResponse, sendHeartbeat } = setUp();
  const largeBody = ' '.repeat(MAX_PENDING_BYTES - 2);
  sendHeartbeat(largeBody);
  sendHeartbeat();
  assert.deepEqual(
    responses.map(({ status }) => status),
    [503],
  );
  relayResponse(forwarded[1]!.id, 'a');
  sendHeartbeat(largeBody);
  assert.equal(forwarded.length, 3);
  assert.equal(responses.length, 2);
});

test('a heartbeat whose message to the leader was dropped is forwarded at the next review', async () => {
  const { clock, cluster, forwarded, responses, relayResponse, sendHeartbeat } = setUp();
  cluster.dropsMessages = true;
  sendHeartbeat();
  assert.equal(forwarded.length, 1);
  cluster.dropsMessages = false;
  await clock.runUntil(RELAY_REVIEW_INTERVAL_MS + 1);
  assert.equal(forwarded.length, 2);
  relayResponse(forwarded[1]!.id, 'a');
  assert.equal(responses.at(-1)!.status, 200);
});
