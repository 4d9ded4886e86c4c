/** Decides when a follower may campaign. */
import { CAMPAIGN_JITTER_MS, REMOTE_CAMPAIGN_DELAY_MS, STEP_DOWN_PAUSE_MS } from '../constants.js';
import type { StateReplica } from '../state/state-replica.js';
import { NodeZones } from './node-zones.js';

/** Dependencies of `CampaignSchedule`. */
export interface CampaignScheduleDependencies {
  /** Zone of this controller. */
  readonly zone: string;
  readonly replica: Pick<StateReplica, 'listPrefix'>;
  /** Returns the time of the steady clock in milliseconds. */
  readonly nowMs: () => number;
  /** Returns a random number from 0 to below 1. */
  readonly random: () => number;
}

/** Keeps the earliest time of the next campaign. All times are milliseconds on the steady clock. */
export class CampaignSchedule {
  private earliestCampaignAtMs: number;
  /** Until this time, a controller that stepped down leaves the leadership to others. */
  private stepDownPauseEndsAtMs = -Infinity;

  /** Creates the schedule. At `votesEndAtMs`, every vote that a former process of this controller granted has ended. */
  constructor(
    private readonly dependencies: CampaignScheduleDependencies,
    votesEndAtMs: number,
  ) {
    this.earliestCampaignAtMs = votesEndAtMs + this.computeZoneDelayMs();
  }

  /** Whether the pause before the next campaign is over. */
  get isCampaignDue(): boolean {
    return this.dependencies.nowMs() >= this.earliestCampaignAtMs;
  }

  /** Whether this controller stepped down so recently that it is not eligible. */
  get hasRecentlySteppedDown(): boolean {
    return this.dependencies.nowMs() < this.stepDownPauseEndsAtMs;
  }

  /** Sets the earliest time of the next campaign to `pauseMs` milliseconds from now. */
  postponeBy(pauseMs: number): void {
    this.earliestCampaignAtMs = this.dependencies.nowMs() + pauseMs;
  }

  /** Sets the earliest time of the next campaign after a random pause between 0.5 and 1.5 times `averagePauseMs`. */
  postponeWithJitter(averagePauseMs: number): void {
    this.postponeBy(averagePauseMs * (0.5 + this.dependencies.random()));
  }

  /** Postpones the next campaign by `STEP_DOWN_PAUSE_MS`, so that another controller can become leader. */
  pauseAfterStepDown(): void {
    this.stepDownPauseEndsAtMs = this.dependencies.nowMs() + STEP_DOWN_PAUSE_MS;
    this.earliestCampaignAtMs = this.stepDownPauseEndsAtMs;
  }

  /**
   * Schedules the next campaign after the leader was lost. The delay is random, so that candidates seldom collide. Returns
   * the number of milliseconds until the campaign.
   */
  planAfterLeaderLoss(): number {
    const { nowMs, random } = this.dependencies;
    const earliestAtMs = nowMs() + this.computeZoneDelayMs() + random() * CAMPAIGN_JITTER_MS;
    this.earliestCampaignAtMs = Math.max(earliestAtMs, this.stepDownPauseEndsAtMs);
    return this.earliestCampaignAtMs - nowMs();
  }

  /**
   * Returns an extra delay for a controller in a zone with few nodes, so that controllers in zones with more nodes campaign
   * first.
   */
  private computeZoneDelayMs(): number {
    return NodeZones.fromReplica(this.dependencies.replica).isRemote(this.dependencies.zone)
      ? REMOTE_CAMPAIGN_DELAY_MS
      : 0;
  }
}
