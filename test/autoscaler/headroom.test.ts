import assert from 'node:assert/strict';
import { test } from 'node:test';
import { planHeadroom } from '../../src/autoscaler/headroom.js';
import { jobSpec } from '../fixtures.js';
import { SMALL } from '../support/scheduling-fixtures.js';

test('headroom is what is expected while a node boots, for classes that must start sooner', () => {
  const service = (tasks: number, acceptedMs: number, jobClass = 'live') => ({
    spec: jobSpec({ kind: 'service', jobClass, tasks }),
    acceptedMs,
  });
  const now = 1_000_000;
  const objectives = [{ jobClass: 'live', withinS: 3 }];
  const cases: [recentJobs: ReturnType<typeof service>[], withinS: number, count: number | undefined][] = [
    [[], 3, undefined],
    [[service(8, 0, 'other')], 3, undefined],
    // At least for one average job; what came long ago only counts for the average.
    [[service(4, 0), service(8, 0)], 3, 6],
    // 30 tasks in the last 3 minutes, a node takes 15 s to boot and 8 s more: 30 * 23 / 180 * 1.5.
    [[service(5, 0), service(30, now - 1000), service(1, 0), service(1, 0), service(1, 0)], 3, 8],
    // A first wave does not come again: three average jobs at the most.
    [Array.from({ length: 60 }, () => service(4, now - 1000)), 3, 12],
    // Time enough to boot a node.
    [[service(4, 0)], 60, undefined],
  ];
  for (const [recentJobs, withinS, count] of cases) {
    const wanted = objectives.map((each) => ({ ...each, withinS }));
    assert.equal(planHeadroom(wanted, recentJobs, [SMALL], now)[0]?.taskCount, count);
  }
});
