import { AUTHORITY_MARGIN_MS, CLOCK_DRIFT } from './constants.js';

/** A request to grant or renew a lease, as it was begun. */
export interface Renewal {
  /** Steady ms right before it was asked for. */
  readonly askedMs: number;
  /** How often the steady clock had been seen to go back by then. */
  readonly setbacks: number;
}

/**
 * Until when a lease that this process holds surely has not run out. Pure: times are passed in. Counted from before a
 * renewal was asked for, on our steady clock, which may run fast against the granting side's. The time of day plays no
 * part. A steady clock that is seen to go back ends the authority until a renewal that was asked for after that.
 */
export class LeaseAuthority {
  private untilMs = -Infinity;
  private latestMs = -Infinity;
  private setbacks = 0;

  /** Called right before a renewal is asked for. */
  begin(nowMs: number): Renewal {
    this.observe(nowMs);
    return { askedMs: nowMs, setbacks: this.setbacks };
  }

  /** The lease was granted or renewed; this also revives an authority that had lapsed, as the lease lived on. */
  renewed({ askedMs, setbacks }: Renewal, ttlMs: number, nowMs: number): void {
    this.observe(nowMs);
    if (setbacks !== this.setbacks) return;
    this.untilMs = Math.max(this.untilMs, askedMs + ttlMs * (1 - CLOCK_DRIFT));
  }

  /** Asked right before what rests on it; the margin covers a pause in between. */
  holds(nowMs: number): boolean {
    this.observe(nowMs);
    return nowMs < this.untilMs - AUTHORITY_MARGIN_MS;
  }

  private observe(nowMs: number): void {
    if (nowMs < this.latestMs) {
      this.setbacks++;
      this.untilMs = -Infinity;
    }
    this.latestMs = nowMs;
  }
}
