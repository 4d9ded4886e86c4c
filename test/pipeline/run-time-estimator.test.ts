import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RunTimeEstimator } from '../../src/pipeline/run-time-estimator.js';

test('the margin over estimated run times is wide at first, and then follows the observations of the job class', () => {
  const estimator = new RunTimeEstimator();
  assert.equal(estimator.estimateMargin('batch').toFixed(3), '1.600');
  for (let i = 0; i < 60; i++) estimator.record('batch', `job-${i}`, 20, 40);
  const margin = estimator.estimateMargin('batch');
  assert.ok(margin > 0.625 && margin < 0.75, `${margin}`);
  // A job counts once, with its latest mean. Other classes and jobs without an estimate do not count.
  for (let i = 0; i < 60; i++) estimator.record('batch', 'job-59', 20, 40);
  estimator.record('batch', 'job-60', 20, 0);
  assert.equal(estimator.estimateMargin('batch').toFixed(3), margin.toFixed(3));
  assert.equal(estimator.estimateMargin('other').toFixed(3), '1.600');
});
