/** Determines the order in which waiting jobs are scheduled. */
import { RESOURCE_TOLERANCE, LATE_JOB_DUE_DELAY_MS, NO_DEADLINE_JOB_DUE_DELAY_MS } from '../constants.js';
import { RANKS, type JobSpec, type Rank } from '../state/records.js';
import type { TeamQuota } from './team-quota.js';

/** The properties of a job that determine its position in the queue. */
export interface QueuedJob {
  readonly spec: JobSpec;
  /** The job's own rank, or a higher one that it inherited from a job that depends on it. */
  readonly rank: Rank;
  /** Wall time, in milliseconds, since which the job may run. */
  readonly queuedSinceMs: number;
  /**
   * Wall time, in milliseconds, of the earliest among the job's own deadline and those that it inherited from jobs that
   * depend on it. Infinity if there are none.
   */
  readonly earliestDeadlineMs: number;
  readonly unfinishedTaskCount: number;
}

/**
 * Returns the jobs within their team's guarantee. These are the jobs that fit into the guarantee together with the
 * team's earlier unfinished jobs.
 */
export function findJobsWithinGuarantee<T extends QueuedJob>(
  jobs: Iterable<T>,
  quotas: ReadonlyMap<string, TeamQuota>,
): Set<T> {
  const remainingPerTeam = new Map(
    [...quotas.values()].map(({ name, guaranteedCpus, guaranteedAccelerators }) => [
      name,
      { cpus: guaranteedCpus, accelerators: guaranteedAccelerators },
    ]),
  );
  const withinGuarantee = new Set<T>();
  for (const job of [...jobs].sort((a, b) => a.queuedSinceMs - b.queuedSinceMs)) {
    const remaining = remainingPerTeam.get(job.spec.team);
    if (!remaining) continue;
    remaining.cpus -= job.unfinishedTaskCount * job.spec.cpus;
    remaining.accelerators -= job.unfinishedTaskCount * job.spec.accelerators;
    if (remaining.cpus >= -RESOURCE_TOLERANCE && remaining.accelerators >= -RESOURCE_TOLERANCE)
      withinGuarantee.add(job);
  }
  return withinGuarantee;
}

/**
 * Returns a function that compares jobs by the order in which they are scheduled. Jobs are ordered by rank. Within a
 * rank, two kinds of jobs come first: starving jobs, and jobs within their team's guarantee that have no deadline or
 * can still meet one. After that, jobs are ordered by their effective due time and then by their time in the queue.
 *
 * @param withinGuarantee - the jobs within their team's guarantee
 * @param isStarving - whether a job has waited too long without an allocated task
 * @param getDueMs - wall time in ms of the earliest deadline that a job can still meet, or Infinity if there is none
 */
export function createQueueComparator<T extends QueuedJob>(
  withinGuarantee: ReadonlySet<T>,
  isStarving: (job: T) => boolean,
  getDueMs: (job: T) => number,
): (a: T, b: T) => number {
  const isLate = (job: T): boolean => job.earliestDeadlineMs < Infinity && getDueMs(job) === Infinity;
  const isPreferred = (job: T): boolean => (withinGuarantee.has(job) && !isLate(job)) || isStarving(job);
  return (a, b) =>
    RANKS.indexOf(a.rank) - RANKS.indexOf(b.rank) ||
    Number(isPreferred(b)) - Number(isPreferred(a)) ||
    getEffectiveDueMs(a, getDueMs(a)) - getEffectiveDueMs(b, getDueMs(b)) ||
    a.queuedSinceMs - b.queuedSinceMs;
}

/**
 * Returns the wall time, in milliseconds, by which a job is ordered. This is its earliest deadline that can still be
 * met. A job that can no longer meet any of its deadlines is ordered as if it were due some time after the earliest of
 * them, and a job without a deadline as if it were due some time after it was queued. Such a job comes after the jobs
 * with deadlines before that time, and before all jobs with later deadlines. Each job therefore waits for a bounded
 * amount of other work only.
 */
function getEffectiveDueMs(job: QueuedJob, dueMs: number): number {
  if (dueMs < Infinity) return dueMs;
  return job.earliestDeadlineMs < Infinity
    ? job.earliestDeadlineMs + LATE_JOB_DUE_DELAY_MS
    : job.queuedSinceMs + NO_DEADLINE_JOB_DUE_DELAY_MS;
}
