/** The times since which a job's dependencies are done, its tasks wait for free capacity, and no task is allocated. */

/** The queue times of one job, which the scheduling cycles update. */
export class QueueTimes {
  private dependenciesMetAtMs = NaN;
  private pendingFromMs = NaN;
  private starvingFromMs = Infinity;

  /**
   * Wall time, in milliseconds, at which the last dependency was done, or at which the job was accepted if that is
   * later. NaN if the job has no dependencies, or if they are not known to be done.
   */
  get dependenciesDoneSinceMs(): number {
    return this.dependenciesMetAtMs;
  }

  /** Steady time, in milliseconds, since which tasks of the job wait for free capacity. NaN if no task waits. */
  get pendingSinceMs(): number {
    return this.pendingFromMs;
  }

  /** Steady time, in milliseconds, since which the job waits with no task allocated. Infinity if it does not. */
  get starvingSinceMs(): number {
    return this.starvingFromMs;
  }

  /** Records that all dependencies of the job are done since the given wall time in milliseconds. */
  recordDependenciesMet(wallMs: number): void {
    this.dependenciesMetAtMs = wallMs;
  }

  /** Records that a scheduling cycle left tasks of the job pending, while `allocatedTasks` tasks are allocated. */
  recordPending(allocatedTasks: number, nowMs: number): void {
    if (Number.isNaN(this.pendingFromMs)) this.pendingFromMs = nowMs;
    if (allocatedTasks > 0) this.starvingFromMs = Infinity;
    else if (this.starvingFromMs === Infinity) this.starvingFromMs = nowMs;
  }

  /**
   * Records that no task of the job waits for free capacity. A job that backs off without an allocated task continues
   * to count as starving.
   */
  recordNotPending(): void {
    this.pendingFromMs = NaN;
  }
}
