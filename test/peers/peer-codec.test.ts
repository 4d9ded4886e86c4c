import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pack, unpack } from 'msgpackr';
import { decodePeerMessage, encodePeerMessage } from '../../src/peers/peer-codec.js';
import type { PeerMessage } from '../../src/peers/peer-messages.js';

test('decoding an encoded message returns the same message, for each kind', () => {
  const messages: PeerMessage[] = [
    { kind: 'heartbeat' },
    { kind: 'counts', running: { 'job-1': 3 } },
    { kind: 'status', isEligible: true, relayTarget: 'c1' },
    { kind: 'relay', id: 2 ** 52 + 7, body: '{}' },
    { kind: 'relayed', id: 1, status: 200, body: '{}' },
    { kind: 'leaseVoteRequest', round: 1, term: 2, sinceRevision: 5, offset: { logId: 3, sequence: 4 } },
    { kind: 'leaseVoteRequest', round: 1, term: 2, sinceRevision: undefined, offset: undefined },
    { kind: 'cancellations', round: 1, term: 2, cancelledJobs: [{ key: 'k', value: {}, modRevision: 5 }] },
    {
      kind: 'leaseVote',
      round: 1,
      term: 2,
      isGranted: true,
      transfer: { messageCount: 0, endOffset: { logId: 3, sequence: 4 } },
    },
    { kind: 'leaseVote', round: 1, term: 2, isGranted: false, transfer: undefined },
  ];
  for (const message of messages)
    assert.deepEqual(decodePeerMessage(unpack(pack(encodePeerMessage(message)))), message);
});

test('messages that are malformed, incomplete or of an unknown kind are ignored', () => {
  const malformed: unknown[] = [
    ...[
      undefined,
      null,
      'beat',
      [],
      {},
      { kind: 'gossip' },
      { kind: 'counts' },
      { kind: 'able', able: 'yes' },
    ],
    ...[
      { kind: 'relay', id: 1 },
      { kind: 'relay', id: -1, body: '' },
      { kind: 'relayed', id: 1, body: '' },
    ],
    ...[
      { kind: 'ask', id: 1 },
      { kind: 'ask', id: 'x', term: 1 },
      { kind: 'promise', id: 1, term: 1 },
    ],
    ...[{ kind: 'cancellations', id: 1, term: 1, rows: [{ key: 'k', stamp: -1 }] }],
  ];
  for (const message of malformed)
    assert.equal(decodePeerMessage(message), undefined, JSON.stringify(message));
});

test('a vote with a missing or malformed transfer is decoded without a transfer', () => {
  for (const informs of [undefined, 1, {}, { parts: 1 }, { parts: -1, at: { log: 1, seq: 1 } }, { at: {} }])
    assert.deepEqual(decodePeerMessage({ kind: 'promise', id: 1, term: 2, given: true, informs }), {
      kind: 'leaseVote',
      round: 1,
      term: 2,
      isGranted: true,
      transfer: undefined,
    });
});
