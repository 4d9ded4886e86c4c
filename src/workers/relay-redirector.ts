/** Moves heartbeat traffic from the leader to the other controllers of its zone. */
import { MIN_RELAYS_FOR_REDIRECT, REDIRECT_MIN_TERM_MS, REDIRECT_REPEAT_INTERVAL_MS } from '../constants.js';

/**
 * Decides which workers the leader redirects to a relay, so that the leader holds few connections. The leader makes all
 * decisions and must not be the first controller to run short of processor time. A worker that comes back is served for
 * a while, because it may be unable to reach another controller.
 */
export class RelayRedirector {
  /** Names of the nodes whose workers were redirected in the current period, and in the previous one. */
  private redirectedInCurrentPeriod = new Set<string>();
  private redirectedInPreviousPeriod = new Set<string>();
  private periodStartMs: number;

  /** `termStartMs` is the steady time in milliseconds at which this controller became the leader. */
  constructor(private readonly termStartMs: number) {
    this.periodStartMs = termStartMs;
  }

  /**
   * Returns whether to redirect the worker of `node` now. If so, the worker is not redirected again for at least one
   * period of REDIRECT_REPEAT_INTERVAL_MS. `relayCount` is the number of other controllers in the worker's zone that
   * relay heartbeats, and `nowMs` the steady time in milliseconds.
   */
  tryRedirect(node: string, relayCount: number, nowMs: number): boolean {
    // Right after a change of leader the workers' leases are close to expiry, and a redirect costs time.
    if (nowMs - this.termStartMs < REDIRECT_MIN_TERM_MS) return false;
    if (relayCount < MIN_RELAYS_FOR_REDIRECT) return false;
    this.startPeriodIfDue(nowMs);
    if (this.redirectedInCurrentPeriod.has(node) || this.redirectedInPreviousPeriod.has(node)) return false;
    this.redirectedInCurrentPeriod.add(node);
    return true;
  }

  private startPeriodIfDue(nowMs: number): void {
    if (nowMs - this.periodStartMs <= REDIRECT_REPEAT_INTERVAL_MS) return;
    this.redirectedInPreviousPeriod = this.redirectedInCurrentPeriod;
    this.redirectedInCurrentPeriod = new Set();
    this.periodStartMs = nowMs;
  }
}
