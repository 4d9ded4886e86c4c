/** Records the outcomes of a job's attempts: their run times, and the failures after which the job backs off. */
import {
  INITIAL_FAILURE_BACKOFF_MS,
  MAX_FAILURE_BACKOFF_MS,
  OBSERVED_RUN_TIME_MARGIN,
} from '../constants.js';
import type { JobSpec } from '../state/records.js';
import type { RunTimeEstimator } from './run-time-estimator.js';

/** Maximum number of times that the backoff is doubled. The backoff reaches its maximum long before that. */
const MAX_BACKOFF_DOUBLINGS = 10;

/** The run times and failures of one job's tasks in the current term. */
export class JobProgress {
  private readonly nodeNamesWithFailedTask = new Set<string>();
  private consecutiveFailures = 0;
  private noStartBeforeMs = 0;
  private totalRunS = 0;
  private completedRunCount = 0;

  constructor(
    private readonly uid: string,
    private readonly spec: JobSpec,
    private readonly runTimeEstimator: RunTimeEstimator,
  ) {}

  /** Names of the nodes on which a task of the job failed. */
  get nodesWithFailedTask(): ReadonlySet<string> {
    return this.nodeNamesWithFailedTask;
  }

  /** Steady time, in milliseconds, before which no task of the job is started. */
  get earliestStartMs(): number {
    return this.noStartBeforeMs;
  }

  /**
   * Conservative estimate of the run time of a task, in seconds. It is based on the mean run time of the job's
   * completed tasks. If there are none, it is based on the owner's estimate and on the error of such estimates for
   * other jobs of the class.
   */
  get expectedRunTimeS(): number {
    if (this.completedRunCount > 0)
      return (this.totalRunS / this.completedRunCount) * OBSERVED_RUN_TIME_MARGIN;
    return this.spec.estimatedRunS * this.runTimeEstimator.estimateMargin(this.spec.jobClass);
  }

  /** Records that a task completed after it ran for `runTimeS` seconds. */
  recordRunTime(runTimeS: number): void {
    this.totalRunS += runTimeS;
    this.completedRunCount++;
    const meanRunS = this.totalRunS / this.completedRunCount;
    this.runTimeEstimator.record(this.spec.jobClass, this.uid, meanRunS, this.spec.estimatedRunS);
  }

  /** Records that a task failed on a node. The job backs off, for longer with each consecutive failure. */
  recordFailure(nodeName: string, nowMs: number): void {
    this.nodeNamesWithFailedTask.add(nodeName);
    const doublings = Math.min(MAX_BACKOFF_DOUBLINGS, this.consecutiveFailures++);
    this.noStartBeforeMs =
      nowMs + Math.min(MAX_FAILURE_BACKOFF_MS, INITIAL_FAILURE_BACKOFF_MS * 2 ** doublings);
  }

  /** Records that a task completed. This resets the number of consecutive failures. */
  recordCompletion(): void {
    this.consecutiveFailures = 0;
  }

  /** Delays the start of the job's tasks at least until the given steady time in milliseconds. */
  delayStarts(untilMs: number): void {
    this.noStartBeforeMs = Math.max(this.noStartBeforeMs, untilMs);
  }
}
