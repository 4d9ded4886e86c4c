import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SpotInterruptionRate } from '../../src/autoscaler/spot-interruption-rate.js';

test('the interruption rate starts at the prior, follows the observations, and is continued by the next leader', () => {
  const hourMs = 3_600_000;
  const rate = new SpotInterruptionRate(undefined, 0);
  assert.equal(rate.computeInterruptionsPerHour(), 2);
  rate.recordUsage(100, hourMs / 100);
  for (let i = 0; i < 7; i++) rate.recordInterruption(i * 20_000);
  assert.equal(rate.computeInterruptionsPerHour(), 6);
  const nextRate = new SpotInterruptionRate(rate.toRecord(), 5 * hourMs);
  assert.equal(nextRate.computeInterruptionsPerHour(), 6);
  nextRate.recordUsage(100, 5 * hourMs + hourMs / 10);
  assert.ok(nextRate.computeInterruptionsPerHour() < 1);
  assert.equal(new SpotInterruptionRate('nonsense', 0).computeInterruptionsPerHour(), 2);
  // A burst that interrupts half of the nodes counts as a few interruptions.
  const rateAfterBurst = new SpotInterruptionRate(undefined, 0);
  rateAfterBurst.recordUsage(100, hourMs / 100);
  for (let i = 0; i < 50; i++) rateAfterBurst.recordInterruption(hourMs / 100);
  assert.ok(
    rateAfterBurst.computeInterruptionsPerHour() < 4,
    `${rateAfterBurst.computeInterruptionsPerHour()} an hour`,
  );
});
