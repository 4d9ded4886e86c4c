import assert from 'node:assert/strict';
import { test } from 'node:test';
import { computeLeaseExpiryMs } from '../../src/cluster/lease-rules.js';
import {
  MAX_CLOCK_DRIFT_RATIO,
  LEASE_VOTE_DURATION_MS,
  RELAY_RESPONSE_VALIDITY_MS,
  MAX_START_CANCELLATION_LAG_MS,
} from '../../src/constants.js';
import {
  CancellationWatermark,
  computeMaxCancellationLagMs,
} from '../../src/election/cancellation-watermark.js';

test('the maximum cancellation lag is short enough for the tasks of a cancelled job to end in time', () => {
  const cases: [cancelS: number, leaseS: number][] = [
    [39, 14],
    [35, 10],
    [40.25, 15.25],
    [20, 10],
    [10, 10],
  ];
  for (const [cancelS, leaseS] of cases) {
    const maxLagMs = computeMaxCancellationLagMs(cancelS, leaseS);
    // Worst case: an answer without the cancellation is sent at the last moment and delayed by a relay. The worker then runs
    // its tasks for a whole lease on a slow clock.
    const tasksEndedMs =
      computeLeaseExpiryMs(maxLagMs + RELAY_RESPONSE_VALIDITY_MS, leaseS) * (1 + MAX_CLOCK_DRIFT_RATIO);
    assert.ok(tasksEndedMs < cancelS * 1000, `${cancelS} ${leaseS}: ${tasksEndedMs}`);
    // If the settings leave no time, the maximum lag is not positive, and no heartbeat is answered.
    assert.equal(maxLagMs > 0, cancelS > leaseS + 4, `${cancelS} ${leaseS}`);
  }
});

test('heartbeats are answered and tasks are started only while the watermark is recent enough', () => {
  const cases: [
    advancesMs: number[],
    nowMs: number,
    mayAnswer: boolean,
    mayStart: [fromStateStore: boolean, fromPeers: boolean],
  ][] = [
    [[], 0, false, [false, false]],
    [[1_000], 1_500, true, [true, true]],
    // Recording an earlier time does not move the watermark back.
    [[5_000, 1_000], 5_100, true, [true, true]],
    [[1_000], 1_000 + LEASE_VOTE_DURATION_MS, true, [true, false]],
    [[1_000], 1_000 + MAX_START_CANCELLATION_LAG_MS, true, [false, false]],
    [[1_000], 20_999, true, [false, false]],
    [[1_000], 21_000, false, [false, false]],
  ];
  for (const [advancesMs, nowMs, mayAnswer, [fromStateStore, fromPeers]] of cases) {
    const watermark = new CancellationWatermark(20_000);
    for (const advanceMs of advancesMs) watermark.advance(advanceMs);
    const label = `${advancesMs.join()} at ${nowMs}`;
    assert.equal(watermark.mayAnswerHeartbeats(nowMs), mayAnswer, label);
    assert.equal(watermark.mayStartTasks(nowMs, 'stateStore'), fromStateStore, label);
    assert.equal(watermark.mayStartTasks(nowMs, 'peers'), fromPeers, label);
  }
});
