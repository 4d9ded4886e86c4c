/**
 * The allocations of one job. They record which of its tasks have an attempt on a node, how many of these are in each
 * zone, and which task to allocate next. Pending tasks are not stored as objects. They are the task numbers that are
 * neither completed nor allocated.
 */

/** The part of an attempt that a job reads. The cluster state owns the rest of the attempt. */
export interface TaskAttempt {
  /** Number of the task within its job, starting at 0. */
  readonly taskIndex: number;
}

/** Tells which tasks of a job are completed. */
export interface TaskCompletion {
  /** Whether the task with this number is completed. */
  isCompleted(task: number): boolean;
}

/**
 * The allocated tasks of a job. A change takes constant time. The search for the next pending task skips the tasks
 * below the lowest number that may be pending.
 */
export class JobAllocations<Attempt extends TaskAttempt> {
  private readonly attemptByTask = new Map<number, Attempt>();
  private readonly countPerZone = new Map<string, number>();
  /** No task with a lower number is pending. */
  private firstCandidateTask = 0;

  constructor(
    private readonly taskCount: number,
    private readonly completion: TaskCompletion,
  ) {}

  /** The attempt of each allocated task, by task number. */
  get attempts(): ReadonlyMap<number, Attempt> {
    return this.attemptByTask;
  }

  /** Number of allocated tasks per zone. Zones without allocated tasks are absent. */
  get allocationsPerZone(): ReadonlyMap<string, number> {
    return this.countPerZone;
  }

  /** Allocates the attempt's task to this attempt. */
  add(attempt: Attempt, zone: string): void {
    this.attemptByTask.set(attempt.taskIndex, attempt);
    this.countPerZone.set(zone, (this.countPerZone.get(zone) ?? 0) + 1);
  }

  /** Makes the attempt's task pending again, unless the task is allocated to another attempt. */
  remove(attempt: Attempt, zone: string): void {
    if (this.attemptByTask.get(attempt.taskIndex) !== attempt) return;
    this.attemptByTask.delete(attempt.taskIndex);
    this.firstCandidateTask = Math.min(this.firstCandidateTask, attempt.taskIndex);
    const remaining = (this.countPerZone.get(zone) ?? 1) - 1;
    if (remaining > 0) this.countPerZone.set(zone, remaining);
    else this.countPerZone.delete(zone);
  }

  /** Returns the number of the first pending task at or after `fromTask`, or -1 if there is none. */
  findNextPendingTask(fromTask = 0): number {
    for (let task = Math.max(fromTask, this.firstCandidateTask); task < this.taskCount; task++) {
      if (this.completion.isCompleted(task) || this.attemptByTask.has(task)) continue;
      if (fromTask <= this.firstCandidateTask) this.firstCandidateTask = task;
      return task;
    }
    return -1;
  }
}
