/** Estimates how often the cloud interrupts spot instances. */
import {
  MS_PER_HOUR,
  MAX_COUNTED_SPOT_BURST_RATIO,
  MIN_COUNTED_SPOT_BURST,
  SPOT_BURST_WINDOW_MS,
  SPOT_PRIOR_WEIGHT_HOURS,
  SPOT_PRIOR_INTERRUPTIONS_PER_HOUR,
} from '../constants.js';
import { isJsonObject } from '../wire/json.js';

/**
 * The rate of interruptions per hour of use, as observed by this leader and the leaders before it. The estimate starts
 * from a prior, which weighs as much as a short time of use. All times are steady times in milliseconds.
 */
export class SpotInterruptionRate {
  private interruptions = 0;
  private hoursOfUse = 0;
  private lastUsageMs: number;
  private nodesInUse = 0;
  private burstStartMs = -Infinity;
  private burstInterruptions = 0;

  /** Continues from the record of the previous leader, if `storedRecord` is one. */
  constructor(storedRecord: unknown, nowMs: number) {
    this.lastUsageMs = nowMs;
    if (!isJsonObject(storedRecord)) return;
    this.interruptions = Number(storedRecord.lost) || 0;
    this.hoursOfUse = Number(storedRecord.hours) || 0;
  }

  /** Records that `nodeCount` spot nodes were in use since the last call. */
  recordUsage(nodeCount: number, nowMs: number): void {
    this.hoursOfUse += (nodeCount * (nowMs - this.lastUsageMs)) / MS_PER_HOUR;
    this.lastUsageMs = nowMs;
    this.nodesInUse = nodeCount;
  }

  /**
   * Records that a spot node was interrupted. If many interruptions occur together, only some of them are counted,
   * because such a burst, or a partition that looks like one, says little about future interruptions.
   */
  recordInterruption(nowMs: number): void {
    if (nowMs - this.burstStartMs > SPOT_BURST_WINDOW_MS) {
      this.burstStartMs = nowMs;
      this.burstInterruptions = 0;
    }
    const expectedInterruptions =
      (this.nodesInUse * this.computeInterruptionsPerHour() * SPOT_BURST_WINDOW_MS) / MS_PER_HOUR;
    const maxCounted = Math.max(MIN_COUNTED_SPOT_BURST, expectedInterruptions * MAX_COUNTED_SPOT_BURST_RATIO);
    if (++this.burstInterruptions <= maxCounted) this.interruptions++;
  }

  /** Interruptions per hour of use of one node. */
  computeInterruptionsPerHour(): number {
    const priorInterruptions = SPOT_PRIOR_INTERRUPTIONS_PER_HOUR * SPOT_PRIOR_WEIGHT_HOURS;
    return (this.interruptions + priorInterruptions) / (this.hoursOfUse + SPOT_PRIOR_WEIGHT_HOURS);
  }

  /** The record to store, from which the next leader continues. */
  toRecord(): unknown {
    return { lost: this.interruptions, hours: Math.round(this.hoursOfUse * 1000) / 1000 };
  }
}
