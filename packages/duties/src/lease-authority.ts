/** The lease authority of the role leases, which also detects a steady clock that goes backwards. */
import { LeaseAuthority } from '@pumicehinge/runtime';
import { LEASE_SAFETY_MARGIN_MS, MAX_CLOCK_DRIFT_RATIO } from './constants.js';

/** The start of a request to grant or renew a lease. */
export interface LeaseRenewal {
  /** Time of the steady clock right before the request was sent. */
  readonly requestedMs: number;
  /** Number of times that the steady clock had been observed to go backwards before the request. */
  readonly clockRegressionCount: number;
}

/**
 * Tells whether a lease that this process holds has certainly not expired. Unlike a plain `LeaseAuthority`, it observes
 * the clock at each call. A steady clock that goes backwards ends the authority until a renewal that is requested after
 * that. The time of day is not used. The class reads no clock itself: all times are passed in, as milliseconds of the
 * process's steady clock.
 */
export class ClockCheckedLeaseAuthority {
  private readonly authority = new LeaseAuthority({
    safetyMarginMs: LEASE_SAFETY_MARGIN_MS,
    maxClockDriftRatio: MAX_CLOCK_DRIFT_RATIO,
  });
  private latestObservedMs = -Infinity;
  private observedRegressionCount = 0;

  /** Records the start of a renewal. Call it right before the request is sent. */
  beginRenewal(nowMs: number): LeaseRenewal {
    this.observeClock(nowMs);
    return { requestedMs: nowMs, clockRegressionCount: this.observedRegressionCount };
  }

  /**
   * Records that the lease was granted or renewed. This also restores an expired authority, as the lease itself is
   * alive. It has no effect if the clock was observed to go backwards after the start of the request.
   */
  confirmRenewal({ requestedMs, clockRegressionCount }: LeaseRenewal, ttlMs: number, nowMs: number): void {
    this.observeClock(nowMs);
    if (clockRegressionCount === this.observedRegressionCount) this.authority.renew(requestedMs, ttlMs);
  }

  /** Whether the lease has certainly not expired. Call it right before an action that depends on the lease. */
  isValid(nowMs: number): boolean {
    this.observeClock(nowMs);
    return this.authority.isValid(nowMs);
  }

  private observeClock(nowMs: number): void {
    if (nowMs < this.latestObservedMs) {
      this.observedRegressionCount++;
      this.authority.revoke();
    }
    this.latestObservedMs = nowMs;
  }
}
