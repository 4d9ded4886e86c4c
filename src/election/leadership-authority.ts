/**
 * The safety rule of the election: a leader acts only while its authority is valid, so that no two controllers act as leader
 * at the same time. This module reads no clock and does no input or output.
 */
import { LeaseAuthority } from '@pumicehinge/runtime';
import { AUTHORITY_MARGIN_MS, MAX_CLOCK_DRIFT_RATIO } from '../constants.js';

/**
 * Tracks until when this controller is certainly the only one that may answer workers. Renewals of its lease renew the
 * authority. Votes of all other controllers extend it, because a voter does not campaign for a while. Votes never revive an
 * authority that has expired: another controller could have led in the gap, and the votes do not rule that out.
 */
export class LeadershipAuthority extends LeaseAuthority {
  /** Starts without authority. The safety margin covers a pause between the check and the sending of an answer. */
  constructor() {
    super({ safetyMarginMs: AUTHORITY_MARGIN_MS, maxClockDriftRatio: MAX_CLOCK_DRIFT_RATIO });
  }
}
