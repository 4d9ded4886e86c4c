import assert from 'node:assert/strict';
import { test } from 'node:test';
import { planHeadroom } from '../../src/autoscaler/headroom.js';
import { createJobSpec } from '../fixtures.js';
import { SMALL_INSTANCE_TYPE } from '../support/scheduling-fixtures.js';

test('headroom covers the tasks that are expected while a node boots, for job classes that must start sooner', () => {
  const createService = (tasks: number, acceptedMs: number, jobClass = 'live') => ({
    spec: createJobSpec({ kind: 'service', jobClass, tasks }),
    acceptedMs,
  });
  const nowMs = 1_000_000;
  const objectives = [{ jobClass: 'live', withinS: 3 }];
  const cases: [
    recentJobs: ReturnType<typeof createService>[],
    withinS: number,
    count: number | undefined,
  ][] = [
    [[], 3, undefined],
    [[createService(8, 0, 'other')], 3, undefined],
    // The headroom is enough for one average job at least. Old jobs count only for the average.
    [[createService(4, 0), createService(8, 0)], 3, 6],
    // 30 tasks arrived in the last 3 minutes, and a node takes 15 s to boot and 8 s more: 30 * 23 / 180 * 1.5 = 5.75.
    // That is less than the 38 / 5 = 7.6 tasks of the average job.
    [
      [
        createService(5, 0),
        createService(30, nowMs - 1000),
        createService(1, 0),
        createService(1, 0),
        createService(1, 0),
      ],
      3,
      8,
    ],
    // The first wave of arrivals does not repeat, so the headroom is at most three average jobs.
    [Array.from({ length: 60 }, () => createService(4, nowMs - 1000)), 3, 12],
    // There is enough time to boot a node.
    [[createService(4, 0)], 60, undefined],
  ];
  for (const [recentJobs, withinS, count] of cases) {
    const adjustedObjectives = objectives.map((objective) => ({ ...objective, withinS }));
    assert.equal(
      planHeadroom(adjustedObjectives, recentJobs, [SMALL_INSTANCE_TYPE], nowMs)[0]?.taskCount,
      count,
    );
  }
});
