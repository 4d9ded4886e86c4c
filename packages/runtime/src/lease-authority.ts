/** Computes how long the holder of a lease may act on it. All leases of the state store use the same rules. */

/** Safety allowances of a `LeaseAuthority`. */
export interface LeaseAuthorityOptions {
  /**
   * Milliseconds by which the authority ends before the lease. They cover pauses between the check and the action that
   * depends on it.
   */
  readonly safetyMarginMs: number;
  /** Maximum ratio by which the rates of the local steady clock and of the granting side's clock differ. */
  readonly maxClockDriftRatio: number;
}

/**
 * Tracks until when this process is certainly the only one that acts as the holder of a lease. The class reads no clock: all
 * times are passed in, in milliseconds of the local steady clock. A renewal counts from the time just before it was
 * requested, because the granting side cannot have started the lease any earlier.
 */
export class LeaseAuthority {
  private validUntilMs = -Infinity;

  /** Starts without a valid lease. `options` contains the allowances for clock drift and pauses. */
  constructor(private readonly options: LeaseAuthorityOptions) {}

  /**
   * Records that the lease was granted or renewed. This also revives an expired authority, because the lease itself had not
   * expired.
   */
  renew(requestedAtMs: number, ttlMs: number): void {
    const usableTtlMs = ttlMs * (1 - this.options.maxClockDriftRatio);
    this.validUntilMs = Math.max(this.validUntilMs, requestedAtMs + usableTtlMs);
  }

  /**
   * Extends the authority by a guarantee other than the lease, valid for `extensionMs` from the request. An extension never
   * revives an expired authority: another process could have held the lease in the gap, and the guarantee does not rule that
   * out.
   */
  extend(requestedAtMs: number, extensionMs: number, nowMs: number): void {
    if (nowMs < this.validUntilMs) this.renew(requestedAtMs, extensionMs);
  }

  /** Records that the lease was released or is known to have expired. */
  revoke(): void {
    this.validUntilMs = -Infinity;
  }

  /** Whether this process may act as the holder. Check this immediately before each action that depends on the lease. */
  isValid(nowMs: number): boolean {
    return nowMs < this.validUntilMs - this.options.safetyMarginMs;
  }
}
