/** Decides whether a waiting job uses spot instances. */
import type { Job } from '../cluster/cluster-state.js';
import { MAX_SPOT_INTERRUPTIONS_PER_HOUR } from '../constants.js';
import { countTasksWithinResources } from '../scheduler/placement-constraints.js';
import { getTimeToDeadlineS } from '../scheduler/time-estimates.js';
import type { InstanceType } from './cloud-codec.js';
import type { OfferingBackoff } from './offering-backoff.js';
import type { SpotInterruptionRate } from './spot-interruption-rate.js';

/** Dependencies of SpotPolicy. */
export interface SpotPolicyDependencies {
  /** Instance types by name. */
  readonly instanceTypes: () => ReadonlyMap<string, InstanceType>;
  readonly offeringBackoff: OfferingBackoff;
  readonly spotInterruptionRate: SpotInterruptionRate;
  readonly wallMs: () => number;
}

/** Decides whether waiting jobs prefer or avoid spot instances, and whether they fall back to on-demand instances. */
export class SpotPolicy {
  constructor(private readonly dependencies: SpotPolicyDependencies) {}

  /**
   * Updates the decision for a waiting job. A job that prefers spot instances falls back to on-demand instances if no
   * spot instance is available, or if the interruptions to be expected would make the job late.
   */
  updateSpotPreference(job: Job, nowMs: number): void {
    if (!job.isOpen) return;
    job.submitExecutableMembers();
    job.setAvoidsSpot(job.spec.spot && this.isInterruptionCostly(job));
    if (job.mayLaunchSpotOnly && (job.avoidsSpot || !this.isSpotAvailable(job, nowMs)))
      job.fallBackFromSpot();
  }

  /**
   * Whether the job has a deadline that can still be met, and spot instances are interrupted too often to meet it. One
   * interruption can make the whole job late, because all its tasks must complete by the deadline.
   */
  private isInterruptionCostly(job: Job): boolean {
    return (
      getTimeToDeadlineS(job, this.dependencies.wallMs()) < Infinity &&
      this.dependencies.spotInterruptionRate.computeInterruptionsPerHour() > MAX_SPOT_INTERRUPTIONS_PER_HOUR
    );
  }

  /**
   * Whether any spot offering is available whose instances have room for a task of the job. On-demand instances of the
   * same type boot no sooner, so any such offering is good enough.
   */
  private isSpotAvailable(job: Job, nowMs: number): boolean {
    for (const type of this.dependencies.instanceTypes().values()) {
      if (countTasksWithinResources(job.spec, type) === 0) continue;
      for (const zone of type.zones)
        if (!this.dependencies.offeringBackoff.isUnavailable({ type: type.name, zone, spot: true }, nowMs))
          return true;
    }
    return false;
  }
}
