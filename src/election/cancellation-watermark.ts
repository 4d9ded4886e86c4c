/**
 * The rule that limits how long a cancelled job may keep running: a controller that answers a heartbeat knows every
 * cancellation that was confirmed to a user more than `computeMaxCancellationLagMs` ago. This module reads no clock and
 * does no input or output.
 */
import {
  AUTHORITY_MARGIN_MS,
  CANCELLATION_MARGIN_MS,
  MAX_CLOCK_DRIFT_RATIO,
  LEASE_EXPIRY_MARGIN_MS,
  LEASE_VOTE_DURATION_MS,
  RELAY_RESPONSE_VALIDITY_MS,
  MAX_START_CANCELLATION_LAG_MS,
} from '../constants.js';

/**
 * Returns the age, in milliseconds, from which a leader must know a confirmed cancellation in order to answer heartbeats.
 *
 * In the worst case, a leader that does not know the cancellation answers a heartbeat when the cancellation has reached this
 * age. A pause before the sending and a relay delay the answer. The worker gets no further answer, which would stop the
 * tasks, and runs them until its lease expires. The expiry is noticed late. All of this together must fit into `cancelS`. If
 * the settings leave no time, the result is not positive and no heartbeat is answered.
 *
 * @param cancelS - seconds within which the tasks of a cancelled job must have ended
 * @param leaseS - duration of a worker's lease in seconds
 */
export function computeMaxCancellationLagMs(cancelS: number, leaseS: number): number {
  const maxLeaseMs = leaseS * 1000 * (1 + MAX_CLOCK_DRIFT_RATIO) + LEASE_EXPIRY_MARGIN_MS;
  return (
    cancelS * 1000 * (1 - MAX_CLOCK_DRIFT_RATIO) -
    maxLeaseMs -
    RELAY_RESPONSE_VALIDITY_MS -
    AUTHORITY_MARGIN_MS -
    CANCELLATION_MARGIN_MS
  );
}

/** From where this controller currently learns of new cancellations. */
export type CancellationSource = 'stateStore' | 'peers';

/**
 * Tracks the time up to which this controller certainly knows all confirmed cancellations. All times are milliseconds on the
 * steady clock and are passed in.
 */
export class CancellationWatermark {
  private completeUntilMs = -Infinity;

  constructor(
    /** Age of the watermark, in milliseconds, from which no heartbeat is answered. See `computeMaxCancellationLagMs`. */
    private readonly maxLagMs: number,
  ) {}

  /**
   * Records that every cancellation confirmed before `requestedAtMs` is in the local replica. Either a read of the state
   * store that started at that time is complete, or all other controllers, asked at that time, have sent the cancellations
   * that they know. A time before the current watermark changes nothing.
   */
  advance(requestedAtMs: number): void {
    this.completeUntilMs = Math.max(this.completeUntilMs, requestedAtMs);
  }

  /** Whether a heartbeat may be answered. Check this, and the authority, immediately before the answer is sent. */
  mayAnswerHeartbeats(nowMs: number): boolean {
    return nowMs - this.completeUntilMs < this.maxLagMs;
  }

  /**
   * Whether tasks may be started. A state store that does not serve this controller may still serve the others, which then
   * confirm further cancellations. Therefore the watermark must be more recent if the cancellations come from the peers.
   */
  mayStartTasks(nowMs: number, source: CancellationSource): boolean {
    const maxLagMs = source === 'stateStore' ? MAX_START_CANCELLATION_LAG_MS : LEASE_VOTE_DURATION_MS;
    return nowMs - this.completeUntilMs < maxLagMs;
  }
}
