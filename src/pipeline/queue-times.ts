/** The times since which a job waits for its dependencies, for free capacity, or for the start of its first task. */

/** The queue times of one job. Each scheduling cycle updates them. */
export class QueueTimes {
  private dependenciesMetAtMs = NaN;
  private pendingFromMs = NaN;
  private starvingFromMs = Infinity;

  /** Wall time, in milliseconds, at which the last dependency was done. NaN if they are not known to be done. */
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

  /** Records that the last of the job's dependencies was done at the given wall time in milliseconds. */
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
