import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  classifyHeartbeat,
  classifyUnlistedAttempt,
  hasExpiredDespiteResponse,
  isNewerHeartbeat,
  provesWorkerReplacement,
  computeLeaseExpiryMs,
  type HeartbeatFreshness,
  type KnownNode,
  type UnlistedAttempt,
  type UnlistedVerdict,
} from '../../src/cluster/lease-rules.js';
import type { WireInt } from '../../src/wire/json.js';

test('a lease has certainly expired only after its duration, the clock drift and a margin', () => {
  assert.ok(computeLeaseExpiryMs(1000, 10) > 1000 + 10_000 * 1.0005);
});

test('the message with the larger incarnation, then with the larger sequence number, is the newer one', () => {
  const largeSequence = 2n ** 63n;
  const cases: [
    message: [number | bigint, number | bigint],
    seen: [number | bigint, number | bigint],
    isNewer: boolean,
  ][] = [
    [[1, 5], [1, 4], true],
    [[1, 4], [1, 4], false],
    [[1, 3], [1, 4], false],
    [[2, 1], [1, 900], true],
    [[1, 900], [2, 1], false],
    [[1, largeSequence], [1, 5], true],
    [[1, largeSequence], [1, largeSequence + 1n], false],
  ];
  for (const [message, seen, isNewer] of cases)
    assert.equal(
      isNewerHeartbeat(
        { incarnation: message[0], sequence: message[1] },
        { incarnation: seen[0], sequence: seen[1] },
      ),
      isNewer,
    );
});

test('what a missing attempt proves depends on its state, its start command and the source of the list', () => {
  const baseAttempt: UnlistedAttempt = {
    state: 'sent',
    startSentSequence: 7,
    source: 'heartbeat',
    listSequence: 8,
  };
  const cases: [change: Partial<UnlistedAttempt>, verdict: UnlistedVerdict][] = [
    [{}, 'notExecuted'],
    [{ listSequence: 7 }, 'unknown'],
    [{ state: 'planned' }, 'unknown'],
    [{ state: 'listed' }, 'gone'],
    // The response to a direct command can overtake the response to a heartbeat. Tasks ran twice (rule `ran_twice`) when
    // such a response counted as a proof.
    [{ source: 'commandResponse' }, 'unknown'],
    [{ source: 'commandResponse', state: 'listed' }, 'gone'],
    [{ source: 'commandResponse', state: 'planned' }, 'unknown'],
  ];
  for (const [change, verdict] of cases)
    assert.equal(classifyUnlistedAttempt({ ...baseAttempt, ...change }), verdict);
});

test('only a heartbeat that shows the fencing token of the term proves that a response arrived', () => {
  const reconciled: KnownNode = { isDeleted: false, isReconciled: true, isWorkerReplaced: false };
  const unreconciled: KnownNode = { ...reconciled, isReconciled: false };
  const deleted: KnownNode = { ...unreconciled, isDeleted: true };
  const replaced: KnownNode = { ...reconciled, isWorkerReplaced: true };
  const cases: [fencingToken: WireInt, node: KnownNode, freshness: HeartbeatFreshness][] = [
    [7, reconciled, 'current'],
    [7, unreconciled, 'current'],
    // A copy of a heartbeat from an earlier term, or a heartbeat of a new worker, proves nothing. The worker is only
    // shown the token.
    [6, unreconciled, 'firstContact'],
    [0, unreconciled, 'firstContact'],
    // A node that has already shown the token cannot lose it. This is a late copy, or the worker was restarted.
    [6, reconciled, 'stale'],
    // A deleted node stays deleted, whatever copies of its heartbeats show.
    [7, deleted, 'stale'],
    [6, deleted, 'stale'],
    // Once a new worker has replaced the known one, it is unknown which of them sent a heartbeat.
    [7, replaced, 'stale'],
    [0, replaced, 'stale'],
    // The worker obeys a later term. It would ignore the response, while its lease would count as extended here.
    [8, reconciled, 'stale'],
    [8n, unreconciled, 'stale'],
  ];
  for (const [fencingToken, node, freshness] of cases)
    assert.equal(classifyHeartbeat(fencingToken, 7, node), freshness);
});

// Guards against a new worker that is taken for the former one: a restart resets the counters of the worker and the
// fencing token that it has seen.
test('a response to a direct call that the known worker cannot have sent proves that a new worker replaced it', () => {
  const termFencingToken = 7;
  const cases: [
    response: [incarnation: number, sequence: number, fencingToken: number],
    known: [incarnation: number, sequence: number],
    isReplaced: boolean,
  ][] = [
    [[1, 25, 7], [1, 24], false],
    [[2, 1, 7], [1, 24], false],
    [[1, 24, 7], [1, 24], true],
    [[1, 1, 7], [1, 24], true],
    [[1, 30, 7], [2, 24], true],
    // The new worker has not seen the token, because the call was meant for another incarnation.
    [[1, 25, 6], [1, 24], true],
    [[3, 1, 0], [1, 24], true],
  ];
  for (const [response, known, isReplaced] of cases) {
    const [incarnation, sequence, fencingToken] = response;
    const knownAtCall = { incarnation: known[0], sequence: known[1] };
    assert.equal(
      provesWorkerReplacement({ incarnation, sequence, fencingToken }, knownAtCall, termFencingToken),
      isReplaced,
      `${response.join()} after ${known.join()}`,
    );
  }
});

test('an incarnation that ended soon after a response to it shows that responses do not reach the worker', () => {
  const lastKnown = { incarnation: 1, sequence: 9 };
  const cases: [incarnation: number, lastResponseMs: number, nowMs: number, hasExpired: boolean][] = [
    [2, 9_000, 10_000, true],
    // The worker was not answered for a long time, because it hung or was partitioned.
    [2, 0, 10_000, false],
    [1, 9_000, 10_000, false],
  ];
  for (const [incarnation, lastResponseMs, nowMs, hasExpired] of cases) {
    const heartbeat = { incarnation, sequence: 10 };
    assert.equal(
      hasExpiredDespiteResponse({ heartbeat, lastKnown, lastResponseMs, nowMs, leaseS: 10 }),
      hasExpired,
    );
  }
});
