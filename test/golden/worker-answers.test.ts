/** Golden forms of the responses to heartbeats, and of the frames and transactions that a follower sends. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  LEASE_PROXY_ACTIVATION_MS,
  LEASE_PROXY_READ_VALIDITY_MS,
  PEER_HEARTBEAT_INTERVAL_MS,
} from '../../src/constants.js';
import { LEADER_KEY, TERM_KEY } from '../../src/state/records.js';
import { ControllerHarness } from './controller-harness.js';
import { JOB_UIDS, startFollower } from './follower-fixture.js';
import { GoldenForms } from './golden-forms.js';
import { findMessagesTo } from './peer-frame-hex.js';

const forms = new GoldenForms('worker-answers');

const HEARTBEAT_BODY =
  '{"hearth":"vm-000001","address":"10.1.0.1:9000","build":"m4","yard":"east","loaner":false,"tenure":1,"tick":4,' +
  '"baton":3,"warningS":null,"pieces":[]}';

const createHeartbeatInZone = (zone: string): string =>
  HEARTBEAT_BODY.replace('"yard":"east"', `"yard":"${zone}"`);

test('a malformed heartbeat is rejected', async () => {
  const harness = await startFollower();
  harness.logLevels.length = 0;
  for (const [name, body] of [
    ['no JSON', '{'],
    ['no object', '[]'],
    ['lacks a field', HEARTBEAT_BODY.replace('"tick":4,', '')],
    ['a list of tasks that is none', HEARTBEAT_BODY.replace('"pieces":[]', '"pieces":7')],
  ] as const)
    forms.check(`no report: ${name}`, await harness.sendRequest('POST', '/v1/report', body));
  assert.deepEqual(harness.logLevels, []);
});

test('no leader is known: the worker is told to try another controller', async () => {
  const harness = new ControllerHarness();
  harness.stateStore.refusedCallers.add('*');
  harness.start();
  await harness.advance(500);
  forms.check('no leader', await harness.sendRequest('POST', '/v1/report', HEARTBEAT_BODY));
});

test('a worker is redirected to a leader in its zone, or to a leader that refuses connections from this controller', async () => {
  const harness = await startFollower();
  forms.check(
    'sent to the leader in its zone',
    await harness.sendRequest('POST', '/v1/report', createHeartbeatInZone('west')),
  );
  harness.peersRefusingConnections.add('hearth-1');
  forms.check(
    'sent to a leader that refuses us',
    await harness.sendRequest('POST', '/v1/report', HEARTBEAT_BODY),
  );
});

test('a heartbeat is relayed to the leader, and the response of the leader is returned', async () => {
  for (const [name, status, body] of [
    ['served', 200, '{"baton":3,"orders":[]}'],
    ['refused', 503, '{}'],
  ] as const) {
    const harness = await startFollower();
    const firstFrameIndex = harness.sentFrames.length;
    const pendingResponse = harness.startRequest('POST', '/v1/report', HEARTBEAT_BODY);
    await harness.advance(5);
    const relayMessage = findMessagesTo(harness, 'hearth-1', firstFrameIndex).find(
      (message) => message.kind === 'relay',
    );
    assert.ok(relayMessage);
    assert.equal(relayMessage.body, HEARTBEAT_BODY);
    if (name === 'served') forms.check('frame that relays a report', harness.sentFrames[firstFrameIndex]!);
    harness.receiveFromPeer('hearth-1', { kind: 'relayed', id: relayMessage.id, status, body });
    await harness.advance(1);
    forms.check(`relayed, ${name}`, pendingResponse.text!);
  }
});

test('the leader does not respond to a relayed heartbeat in time', async () => {
  const harness = await startFollower();
  // The leader keeps sending heartbeats, so that no other controller is elected.
  const sendLeaderHeartbeats = (): void => {
    harness.receiveFromPeer('hearth-1', { kind: 'heartbeat' });
    harness.clock.setTimer(PEER_HEARTBEAT_INTERVAL_MS, sendLeaderHeartbeats);
  };
  sendLeaderHeartbeats();
  forms.check('relayed, no answer', await harness.sendRequest('POST', '/v1/report', HEARTBEAT_BODY));
});

test('a heartbeat that is relayed to a controller that does not lead is rejected', async () => {
  const harness = await startFollower();
  const firstFrameIndex = harness.sentFrames.length;
  harness.receiveFromPeer('hearth-3', { kind: 'relay', id: 9, body: HEARTBEAT_BODY });
  await harness.advance(1);
  forms.check('relayed to a controller that does not lead', harness.sentFrames.slice(firstFrameIndex)[0]!);
});

test('the leader is partitioned: the leases of its nodes are renewed, and tasks of cancelled jobs are stopped', async () => {
  const harness = await startFollower();
  await harness.advance(LEASE_PROXY_ACTIVATION_MS + 1_000);
  const callCountBefore = harness.calls.length;
  const taskList =
    `[{"piece":"${JOB_UIDS.cancelled}/0","try":7,"phase":"running"},{"piece":"${JOB_UIDS.pending}/1","try":8,"phase":"running"},` +
    `{"piece":"${JOB_UIDS.done}/2","try":9,"phase":"saving"},{"piece":"${JOB_UIDS.cancelled}/3","try":10,"phase":"exited"}]`;
  const busyHeartbeat = HEARTBEAT_BODY.replace('"pieces":[]', `"pieces":${taskList}`);
  forms.check('cut off: idle machine', await harness.sendRequest('POST', '/v1/report', HEARTBEAT_BODY));
  forms.check('cut off: busy machine', await harness.sendRequest('POST', '/v1/report', busyHeartbeat));
  const unknownNodeHeartbeat = HEARTBEAT_BODY.replace('vm-000001', 'vm-9');
  forms.check(
    'cut off: machine without record',
    await harness.sendRequest('POST', '/v1/report', unknownNodeHeartbeat),
  );
  const laterTermHeartbeat = HEARTBEAT_BODY.replace('"baton":3', '"baton":4');
  forms.check(
    'cut off: machine of a later term',
    await harness.sendRequest('POST', '/v1/report', laterTermHeartbeat),
  );
  harness.receiveFromPeer('hearth-1', { kind: 'heartbeat' });
  for (
    let elapsedMs = 0;
    elapsedMs < LEASE_PROXY_READ_VALIDITY_MS * 3;
    elapsedMs += PEER_HEARTBEAT_INTERVAL_MS
  ) {
    harness.receiveFromPeer('hearth-1', { kind: 'heartbeat' });
    await harness.advance(PEER_HEARTBEAT_INTERVAL_MS);
  }
  const writes = harness.calls.slice(callCountBefore).filter((call) => call.includes('/multi'));
  writes.forEach((call, index) => forms.check(`cut off: write ${index + 1}`, call));
  assert.equal(writes.length, 2);
});

test('the state store serves no controller: a follower answers vote requests with cancellations and lease votes', async () => {
  const harness = await startFollower();
  harness.stateStore.refusedCallers.add('*');
  await harness.advance(4_000);
  const firstFrameIndex = harness.sentFrames.length;
  harness.receiveFromPeer('hearth-1', {
    kind: 'leaseVoteRequest',
    round: 5,
    term: 3,
    sinceRevision: 0,
    offset: undefined,
  });
  harness.receiveFromPeer('hearth-1', {
    kind: 'leaseVoteRequest',
    round: 6,
    term: 2,
    sinceRevision: 0,
    offset: undefined,
  });
  harness.receiveFromPeer('hearth-1', { kind: 'leaseVoteRequest', round: 7, term: 3 });
  await harness.advance(1);
  const sentFrames = harness.sentFrames.slice(firstFrameIndex).filter((line) => line.startsWith('hearth-1 '));
  sentFrames.forEach((line, index) => forms.check(`answer to a leader that asks, ${index + 1}`, line));
  const kinds = findMessagesTo(harness, 'hearth-1', firstFrameIndex).map(({ kind }) => kind);
  assert.deepEqual(kinds, ['cancellations', 'leaseVote', 'leaseVote', 'leaseVote']);
});

test('a controller sends its status to its peers', async () => {
  const harness = await startFollower();
  await harness.advance(PEER_HEARTBEAT_INTERVAL_MS);
  forms.check('able, relays for the leader', harness.sentFrames.at(-1)!);
  const harnessWithoutLeader = await startFollower({ [LEADER_KEY]: undefined, [TERM_KEY]: undefined });
  forms.check('able, first word', harnessWithoutLeader.sentFrames[0]!);
});

forms.addCompletenessTest();
