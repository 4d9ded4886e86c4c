import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  createQueueComparator,
  findJobsWithinGuarantee,
  type QueuedJob,
} from '../../src/scheduler/queue-order.js';
import type { JobSpec } from '../../src/state/records.js';
import { createJobSpec } from '../fixtures.js';
import { BLUE_TEAM_QUOTA, RED_TEAM_QUOTA } from '../support/scheduling-fixtures.js';

interface NamedJob extends QueuedJob {
  name: string;
  dueMs: number;
}

function createWaitingJob(
  name: string,
  acceptedMs: number,
  dueMs: number,
  fields: Partial<JobSpec> = {},
): NamedJob {
  const spec = createJobSpec({ cpus: 2, tasks: 2, ...fields });
  const earliestDeadlineMs = spec.deadlineS === null ? Infinity : acceptedMs + spec.deadlineS * 1000;
  return {
    name,
    spec,
    rank: spec.rank,
    queuedSinceMs: acceptedMs,
    earliestDeadlineMs,
    dueMs,
    unfinishedTaskCount: spec.tasks,
  };
}

test('jobs are ordered by rank, guarantee, earliest deadline and age, and no team can starve another', () => {
  const jobs = [
    createWaitingJob('red 1', 1, 900),
    createWaitingJob('red 2', 2, 800),
    createWaitingJob('red 3 beyond guarantee', 3, 100),
    createWaitingJob('red past its deadlines', 0, Infinity, { cpus: 0, deadlineS: 5 }),
    createWaitingJob('blue no deadline', 9, Infinity, { team: 'blue' }),
    createWaitingJob('blue prod', 10, Infinity, { team: 'blue', rank: 'prod' }),
    createWaitingJob('red idle', 0, 50, { rank: 'idle', tasks: 100 }),
  ];
  const quotas = new Map([RED_TEAM_QUOTA, BLUE_TEAM_QUOTA].map((quota) => [quota.name, quota]));
  const jobsExceptIdle = jobs.slice(0, 6);
  const withinGuarantee = findJobsWithinGuarantee(jobsExceptIdle, quotas);
  assert.deepEqual([...withinGuarantee].map((job) => job.name).sort(), [
    'blue no deadline',
    'blue prod',
    'red 1',
    'red 2',
    'red past its deadlines',
  ]);
  const sortNames = (jobsToSort: NamedJob[], starvingNames: string[] = []): string[] =>
    [...jobsToSort]
      .sort(
        createQueueComparator(
          withinGuarantee,
          (job) => starvingNames.includes(job.name),
          (job) => job.dueMs,
        ),
      )
      .map((job) => job.name);
  assert.deepEqual(sortNames(jobs), [
    'blue prod',
    'red 2',
    'red 1',
    'blue no deadline',
    'red 3 beyond guarantee',
    'red past its deadlines',
    'red idle',
  ]);
  // A starving job is ordered among the jobs within their team's guarantee.
  assert.deepEqual(sortNames(jobs.slice(0, 4), ['red past its deadlines'])[2], 'red past its deadlines');
  assert.deepEqual(sortNames(jobs.slice(0, 4), ['red past its deadlines'])[3], 'red 3 beyond guarantee');
});

test('a stream of newer jobs cannot delay a job past its deadline or without one forever', () => {
  const lateJob = createWaitingJob('late', 0, Infinity, { deadlineS: 60 });
  const jobWithoutDeadline = createWaitingJob('no deadline', 0, Infinity);
  // A newer job arrives every 10 s, and is due 60 s after its arrival.
  const newerJobs = Array.from({ length: 30 }, (_, i) =>
    createWaitingJob(`${i}`, i * 10_000, i * 10_000 + 60_000, { deadlineS: 60 }),
  );
  const sortedJobs = [lateJob, jobWithoutDeadline, ...newerJobs].sort(
    createQueueComparator(
      new Set<NamedJob>(),
      () => false,
      (job) => job.dueMs,
    ),
  );
  const getPosition = (job: NamedJob): number => sortedJobs.indexOf(job);
  assert.ok(
    getPosition(lateJob) > 5 && getPosition(lateJob) < 12,
    `late job at position ${getPosition(lateJob)}`,
  );
  assert.ok(
    getPosition(jobWithoutDeadline) > 5 && getPosition(jobWithoutDeadline) < 15,
    `job without a deadline at position ${getPosition(jobWithoutDeadline)}`,
  );
});
