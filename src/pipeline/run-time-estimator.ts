/** Learns, for each job class, how the run times of tasks compare with the estimates of their owners. */
import {
  OBSERVED_RUN_TIME_MARGIN,
  RUN_TIME_ESTIMATE_MARGIN,
  RUN_TIME_ESTIMATE_WEIGHT_JOBS,
} from '../constants.js';

/** Maximum number of most recent jobs that are remembered per class. Older ones say little about the present. */
const MAX_REMEMBERED_JOBS = RUN_TIME_ESTIMATE_WEIGHT_JOBS * 10;

/**
 * Learns, for each job class, the error of the owners' estimates. The estimates are often wrong by half, and may be
 * mostly too high or mostly too low for hours.
 */
export class RunTimeEstimator {
  /**
   * The ratio of the mean run time of a job's completed tasks to the estimate, by job class and job uid. The most
   * recently updated job is last.
   */
  private readonly ratiosPerClass = new Map<string, Map<string, number>>();
  private readonly cachedMarginPerClass = new Map<string, number>();

  /** Records the mean run time of a job's completed tasks and its owner's estimate, both in seconds. */
  record(jobClass: string, uid: string, meanRunS: number, estimatedRunS: number): void {
    if (estimatedRunS <= 0) return;
    const ratios = this.ratiosPerClass.get(jobClass) ?? new Map<string, number>();
    this.ratiosPerClass.set(jobClass, ratios);
    this.cachedMarginPerClass.delete(jobClass);
    ratios.delete(uid);
    ratios.set(uid, meanRunS / estimatedRunS);
    if (ratios.size <= MAX_REMEMBERED_JOBS) return;
    const [oldestUid] = ratios.keys();
    if (oldestUid !== undefined) ratios.delete(oldestUid);
  }

  /**
   * Returns the expected run time of a task of the class as a multiple of its owner's estimate. The result is
   * conservative.
   */
  estimateMargin(jobClass: string): number {
    const cachedMargin = this.cachedMarginPerClass.get(jobClass);
    if (cachedMargin !== undefined) return cachedMargin;
    const ratios = [...(this.ratiosPerClass.get(jobClass)?.values() ?? [])];
    const observedMarginSum = ratios.reduce((sum, ratio) => sum + ratio * OBSERVED_RUN_TIME_MARGIN, 0);
    const margin =
      (observedMarginSum + RUN_TIME_ESTIMATE_MARGIN * RUN_TIME_ESTIMATE_WEIGHT_JOBS) /
      (ratios.length + RUN_TIME_ESTIMATE_WEIGHT_JOBS);
    this.cachedMarginPerClass.set(jobClass, margin);
    return margin;
  }
}
