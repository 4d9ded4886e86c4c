/** Golden forms of the frames between controllers. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { PeerMessage } from '../../src/peers/peer-messages.js';
import { encodeJob, jobKey } from '../../src/state/records.js';
import { createJobSpec } from '../fixtures.js';
import { GoldenForms } from './golden-forms.js';
import { encodeRawFrameHex, encodeFrameHex, decodeFramesHex } from './peer-frame-hex.js';

const forms = new GoldenForms('peer-frames');

const LARGE_INTEGER = 2n ** 63n + 1n;

const CANCELLED_JOB_VALUE = encodeJob({
  phase: 'cancelled',
  taskCount: 4,
  spec: createJobSpec(),
  acceptedMs: 1_790_000_002_622,
  memberStates: 'E',
  isSuccessorRunning: false,
  firstCompletionSegment: 'Aw==',
});

/** Messages of every kind, with and without each optional field. */
const MESSAGES: Record<string, PeerMessage> = {
  beat: { kind: 'heartbeat' },
  'counts, none': { kind: 'counts', running: {} },
  'counts, two jobs': { kind: 'counts', running: { 'job-000001': 3, 'job-000412': 70_000 } },
  'able, relays for nobody': { kind: 'status', isEligible: true, relayTarget: null },
  'able, relays': { kind: 'status', isEligible: true, relayTarget: 'hearth-1' },
  'not able': { kind: 'status', isEligible: false, relayTarget: 'hearth-1' },
  relay: { kind: 'relay', id: 4_503_599_627_370_497, body: '{"hearth":"vm-ü"}' },
  'relay, long body': { kind: 'relay', id: 1, body: 'x'.repeat(300) },
  'relayed, served': { kind: 'relayed', id: 7, status: 200, body: '{"baton":12,"orders":[]}' },
  'relayed, refused': { kind: 'relayed', id: 7, status: 503, body: '{}' },
  'ask, first': { kind: 'leaseVoteRequest', round: 1, term: 12, sinceRevision: 400, offset: undefined },
  ask: {
    kind: 'leaseVoteRequest',
    round: 2,
    term: 12,
    sinceRevision: 400,
    offset: { logId: 77, sequence: 3 },
  },
  'ask, large numbers': {
    kind: 'leaseVoteRequest',
    round: 3,
    term: 12,
    sinceRevision: LARGE_INTEGER,
    offset: { logId: 2 ** 47 + 1, sequence: 300 },
  },
  'cancellations, two jobs': {
    kind: 'cancellations',
    round: 2,
    term: 12,
    cancelledJobs: [
      { key: jobKey('job-000001'), value: CANCELLED_JOB_VALUE, modRevision: 401 },
      { key: jobKey('job-000002'), value: CANCELLED_JOB_VALUE, modRevision: LARGE_INTEGER },
    ],
  },
  'cancellations, none': { kind: 'cancellations', round: 2, term: 12, cancelledJobs: [] },
  'promise, informs of nothing': {
    kind: 'leaseVote',
    round: 2,
    term: 12,
    isGranted: true,
    transfer: { messageCount: 0, endOffset: { logId: 77, sequence: 3 } },
  },
  'promise, informs': {
    kind: 'leaseVote',
    round: 2,
    term: 12,
    isGranted: true,
    transfer: { messageCount: 2, endOffset: { logId: 2 ** 47 + 1, sequence: 400 } },
  },
  'promise, does not inform': { kind: 'leaseVote', round: 2, term: 12, isGranted: true, transfer: undefined },
};

/** Messages whose sender omits fields, and the messages that the receiver decodes. */
const OMITTED_FIELD_CASES: Record<string, [sent: PeerMessage, expected: PeerMessage]> = {
  'ask, neither since nor read': [
    { kind: 'leaseVoteRequest', round: 1, term: 12 },
    { kind: 'leaseVoteRequest', round: 1, term: 12, sinceRevision: undefined, offset: undefined },
  ],
  'ask, no read': [
    { kind: 'leaseVoteRequest', round: 1, term: 12, sinceRevision: 5 },
    { kind: 'leaseVoteRequest', round: 1, term: 12, sinceRevision: 5, offset: undefined },
  ],
  'promise, not given': [
    { kind: 'leaseVote', round: 2, term: 12, isGranted: false },
    { kind: 'leaseVote', round: 2, term: 12, isGranted: false, transfer: undefined },
  ],
};

/** Decodes the frame of a single message. Returns undefined if the controller ignores the message. */
function decodeSingleMessage(hex: string): PeerMessage | undefined {
  const messages = decodeFramesHex(hex);
  assert.equal(messages.length, 1);
  return messages[0];
}

for (const [name, message] of Object.entries(MESSAGES))
  test(`frame: ${name}`, () => {
    forms.check(name, encodeFrameHex(message));
    assert.deepEqual(decodeSingleMessage(forms.getText(name)), message);
  });

for (const [name, [sent, expected]] of Object.entries(OMITTED_FIELD_CASES))
  test(`frame: ${name}`, () => {
    forms.check(name, encodeFrameHex(sent));
    assert.deepEqual(decodeSingleMessage(forms.getText(name)), expected);
  });

/** Frames of other versions in the wire format, and the decoded message, which is undefined if the frame is ignored. */
const FOREIGN_FRAMES: Record<string, [frame: Record<string, unknown>, expected: PeerMessage | undefined]> = {
  'beat, later field': [{ kind: 'beat', later: 1 }, MESSAGES.beat],
  'counts, odd counts': [
    { kind: 'counts', running: { a: 1, b: -1, c: 'x', d: 1.5, e: null }, later: 1 },
    { kind: 'counts', running: { a: 1 } },
  ],
  'counts, lacking': [{ kind: 'counts' }, undefined],
  'counts, a list': [{ kind: 'counts', running: [1] }, undefined],
  'able, relays lacking': [
    { kind: 'able', able: true },
    { kind: 'status', isEligible: true, relayTarget: null },
  ],
  'able, odd relays': [
    { kind: 'able', able: true, relays: 7 },
    { kind: 'status', isEligible: true, relayTarget: null },
  ],
  'able, later field': [{ kind: 'able', able: false, relays: 'hearth-1', later: {} }, MESSAGES['not able']],
  'able, lacking': [{ kind: 'able', relays: 'hearth-1' }, undefined],
  'relay, later field': [
    { kind: 'relay', id: 1, body: '{}', later: 1 },
    { kind: 'relay', id: 1, body: '{}' },
  ],
  'relay, no id': [{ kind: 'relay', body: '{}' }, undefined],
  'relay, odd id': [{ kind: 'relay', id: -1, body: '{}' }, undefined],
  'relay, no body': [{ kind: 'relay', id: 1 }, undefined],
  'relayed, later field': [
    { kind: 'relayed', id: 7, status: 503, body: '{}', later: 1 },
    MESSAGES['relayed, refused'],
  ],
  'relayed, no status': [{ kind: 'relayed', id: 7, body: '{}' }, undefined],
  'relayed, no body': [{ kind: 'relayed', id: 7, status: 200 }, undefined],
  'ask, later field': [
    { kind: 'ask', id: 2, term: 12, since: 400, read: { log: 77, seq: 3, later: 1 }, later: 1 },
    MESSAGES.ask,
  ],
  'ask, odd since and read': [
    { kind: 'ask', id: 1, term: 12, since: 'x', read: { log: 1 } },
    { kind: 'leaseVoteRequest', round: 1, term: 12, sinceRevision: undefined, offset: undefined },
  ],
  'ask, no term': [{ kind: 'ask', id: 1 }, undefined],
  'ask, no id': [{ kind: 'ask', term: 1 }, undefined],
  'cancellations, later fields': [
    { kind: 'cancellations', id: 2, term: 12, rows: [{ key: 'k', value: {}, stamp: 5, later: 1 }], later: 1 },
    { kind: 'cancellations', round: 2, term: 12, cancelledJobs: [{ key: 'k', value: {}, modRevision: 5 }] },
  ],
  'cancellations, a row without stamp': [
    { kind: 'cancellations', id: 2, term: 12, rows: [{ key: 'k', value: {} }] },
    undefined,
  ],
  'cancellations, lacking': [{ kind: 'cancellations', id: 2, term: 12 }, undefined],
  'promise, later fields': [
    {
      kind: 'promise',
      id: 2,
      term: 12,
      given: true,
      informs: { parts: 0, at: { log: 77, seq: 3 }, later: 1 },
    },
    MESSAGES['promise, informs of nothing'],
  ],
  'promise, informs without parts': [
    { kind: 'promise', id: 2, term: 12, given: true, informs: { at: { log: 77, seq: 3 } } },
    MESSAGES['promise, does not inform'],
  ],
  'promise, informs without position': [
    { kind: 'promise', id: 2, term: 12, given: true, informs: { parts: 1, at: { log: 77 } } },
    MESSAGES['promise, does not inform'],
  ],
  'promise, lacking': [{ kind: 'promise', id: 2, term: 12 }, undefined],
  'unknown kind': [{ kind: 'gossip', id: 1, term: 1 }, undefined],
  'no kind': [{ id: 1, term: 1 }, undefined],
};

for (const [name, [frame, expected]] of Object.entries(FOREIGN_FRAMES))
  test(`frame of another version: ${name}`, () => {
    forms.check(`foreign: ${name}`, encodeRawFrameHex(frame));
    assert.deepEqual(decodeSingleMessage(forms.getText(`foreign: ${name}`)), expected);
  });

test('a frame whose content is not a map is ignored', () => {
  for (const value of [7, 'beat', null, ['beat']])
    assert.equal(decodeSingleMessage(encodeRawFrameHex(value)), undefined);
});

forms.addCompletenessTest();
