/** Tracks which offerings should not be requested for now. */
import { OFFERING_FAULT_BACKOFF_MS, OFFERING_UNAVAILABLE_BACKOFF_MS } from '../constants.js';
import type { LaunchRefusalReason } from '@pumicehinge/duties';
import { formatOfferingKey, type InstanceOffering } from './cloud-codec.js';

/**
 * Holds back requests for offerings that the cloud refused recently, and for all spot offerings if spot instances are
 * disabled.
 */
export class OfferingBackoff {
  /** Steady time in milliseconds until which each offering is unavailable, by offering key. */
  private readonly unavailableUntilMs = new Map<string, number>();

  constructor(private readonly isSpotEnabled: boolean) {}

  /** Records that the cloud launched nothing, or fewer instances than were requested. */
  recordRefusal(offering: InstanceOffering, reason: LaunchRefusalReason, nowMs: number): void {
    const backoffMs = reason === 'no capacity' ? OFFERING_UNAVAILABLE_BACKOFF_MS : OFFERING_FAULT_BACKOFF_MS;
    this.unavailableUntilMs.set(formatOfferingKey(offering), nowMs + backoffMs);
  }

  /** Whether the offering must not be requested now. */
  isUnavailable(offering: InstanceOffering, nowMs: number): boolean {
    if (offering.spot && !this.isSpotEnabled) return true;
    return (this.unavailableUntilMs.get(formatOfferingKey(offering)) ?? -Infinity) > nowMs;
  }
}
