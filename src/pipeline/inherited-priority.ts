/**
 * Priority inheritance: a job is as urgent as the most urgent job that depends on it, directly or indirectly. It
 * inherits the deadlines of its dependents, minus the expected durations of these dependents.
 */
import { RANKS, type Rank } from '../state/records.js';

/** How urgent a job is. */
export interface Priority {
  /** The priority class that a user chose for the job or, if it is inherited, for one of the job's dependents. */
  readonly rank: Rank;
  /**
   * Deadlines in milliseconds of wall time, earliest first. If two lists of different lengths are compared, the last
   * deadline of the shorter list is repeated.
   */
  readonly deadlinesMs: readonly number[];
}

/** The properties of a job that priority inheritance depends on. */
export interface PrioritizedJob {
  /** Identifies the job. */
  readonly uid: string;
  /** Uids of the jobs that must be done before this one. */
  readonly dependencies: readonly string[];
  /** Its priority as it was submitted. */
  readonly ownPriority: Priority;
  /** The highest priority inherited from its dependents. Undefined if it has not inherited any. */
  readonly inheritedPriority: Priority | undefined;
  /** Expected duration, in milliseconds, from the end of its last dependency to its own end. */
  readonly expectedDurationMs: number;
  /** Replaces the inherited priority with a higher one. */
  inheritPriority(priority: Priority): void;
}

/** Finds an open job by its uid. */
type FindJob = (uid: string) => PrioritizedJob | undefined;

/** Returns the higher of two ranks. */
export function higherRank(first: Rank, second: Rank): Rank {
  return RANKS.indexOf(second) < RANKS.indexOf(first) ? second : first;
}

/** Returns a list with the earlier of the two deadlines at each position. */
export function minDeadlines(first: readonly number[], second: readonly number[]): readonly number[] {
  const length = Math.max(first.length, second.length);
  return Array.from({ length }, (_, index) =>
    Math.min(getDeadlineAt(first, index), getDeadlineAt(second, index)),
  );
}

/**
 * Combines two priorities into one with the higher rank and the earlier deadline at each position. The deadlines are
 * combined because all members of a pipeline share its one expiry time t0.
 */
export function combinePriorities(first: Priority, second: Priority | undefined): Priority {
  if (!second) return first;
  return {
    rank: higherRank(first.rank, second.rank),
    deadlinesMs: minDeadlines(first.deadlinesMs, second.deadlinesMs),
  };
}

/**
 * Passes the priority of a new job on to its direct and indirect dependencies. Each edge among them is visited once,
 * dependents before dependencies. If no direct dependency gains priority, the indirect ones are not visited.
 */
export function propagatePriority(newJob: PrioritizedJob, findJob: FindJob): void {
  const priorityFromNewJob = computePassedOnPriority(newJob);
  const directDependencies = newJob.dependencies.map(findJob).filter((job) => job !== undefined);
  const raisedJobs = new Set(directDependencies.filter((job) => raisePriority(job, priorityFromNewJob)));
  if (raisedJobs.size === 0) return;
  for (const job of sortDependentsFirst([...raisedJobs], findJob)) {
    if (!raisedJobs.has(job)) continue;
    const passedOnPriority = computePassedOnPriority(job);
    for (const uid of job.dependencies) {
      const dependency = findJob(uid);
      if (dependency && raisePriority(dependency, passedOnPriority)) raisedJobs.add(dependency);
    }
  }
}

function getDeadlineAt(deadlinesMs: readonly number[], index: number): number {
  return deadlinesMs[index] ?? deadlinesMs.at(-1) ?? Infinity;
}

function isSamePriority(first: Priority, second: Priority): boolean {
  return (
    first.rank === second.rank &&
    first.deadlinesMs.length === second.deadlinesMs.length &&
    first.deadlinesMs.every((deadlineMs, index) => deadlineMs === second.deadlinesMs[index])
  );
}

/** Computes the priority that a job passes on. Its deadlines are earlier by the job's own expected duration. */
function computePassedOnPriority(job: PrioritizedJob): Priority {
  const { rank, deadlinesMs } = combinePriorities(job.ownPriority, job.inheritedPriority);
  return { rank, deadlinesMs: deadlinesMs.map((deadlineMs) => deadlineMs - job.expectedDurationMs) };
}

/** Raises the inherited priority of a job. Returns false if the given priority is not higher in any respect. */
function raisePriority(job: PrioritizedJob, priority: Priority): boolean {
  const currentPriority = combinePriorities(job.ownPriority, job.inheritedPriority);
  if (isSamePriority(combinePriorities(currentPriority, priority), currentPriority)) return false;
  job.inheritPriority(combinePriorities(priority, job.inheritedPriority));
  return true;
}

/**
 * Returns the jobs and all their direct and indirect dependencies, sorted so that each job comes after its dependents.
 * This is not recursive because dependency chains may have thousands of jobs.
 */
function sortDependentsFirst(jobs: readonly PrioritizedJob[], findJob: FindJob): PrioritizedJob[] {
  const sortedDependenciesFirst: PrioritizedJob[] = [];
  const visited = new Set<PrioritizedJob>();
  for (const rootJob of jobs) {
    if (visited.has(rootJob)) continue;
    visited.add(rootJob);
    const stack = [{ job: rootJob, nextDependencyIndex: 0 }];
    for (let top = stack.at(-1); top !== undefined; top = stack.at(-1)) {
      const uid = top.job.dependencies[top.nextDependencyIndex++];
      if (uid === undefined) {
        sortedDependenciesFirst.push(top.job);
        stack.pop();
        continue;
      }
      const dependency = findJob(uid);
      if (!dependency || visited.has(dependency)) continue;
      visited.add(dependency);
      stack.push({ job: dependency, nextDependencyIndex: 0 });
    }
  }
  return sortedDependenciesFirst.reverse();
}
