/** A lease of the state store that one process keeps alive, and to which all of its roles are attached. */
import { IDLE_LEASE_TIMEOUT_MS, LEASE_RENEWAL_INTERVAL_MS, ROLE_LEASE_TTL_MS } from './constants.js';
import type { ClockCheckedLeaseAuthority, LeaseRenewal } from './lease-authority.js';
import type { Revision } from './ports.js';

/** The initial state of a `LeaseSession`. */
export interface LeaseSessionOptions {
  /** Identifies the session in holder records. No other session ever has the same id. */
  readonly id: string;
  /** Id of the lease in the state store. */
  readonly leaseId: Revision;
  readonly authority: ClockCheckedLeaseAuthority;
  /** The request that granted the lease. */
  readonly grantRequest: LeaseRenewal;
  /** Current time of the steady clock. */
  readonly nowMs: number;
}

/** The state of one lease: when its next renewal is due, whether it is still valid, and since when it is unused. */
export class LeaseSession {
  /** Identifies the session in holder records. */
  readonly id: string;
  /** Id of the lease in the state store. */
  readonly leaseId: Revision;
  private readonly authority: ClockCheckedLeaseAuthority;
  private renewalDueMs: number;
  private isRenewing = false;
  private idleSinceMs: number;

  /** Creates the session of a lease that was just granted. */
  constructor({ id, leaseId, authority, grantRequest, nowMs }: LeaseSessionOptions) {
    this.id = id;
    this.leaseId = leaseId;
    this.authority = authority;
    this.renewalDueMs = grantRequest.requestedMs + LEASE_RENEWAL_INTERVAL_MS;
    this.idleSinceMs = nowMs;
  }

  /**
   * Whether the lease has certainly not expired. The call also observes the clock, to detect one that goes backwards.
   */
  isValid(nowMs: number): boolean {
    return this.authority.isValid(nowMs);
  }

  /** Returns the renewal to request now, or undefined if none is due or one is still in progress. */
  beginDueRenewal(nowMs: number): LeaseRenewal | undefined {
    if (this.isRenewing || nowMs < this.renewalDueMs) return undefined;
    this.isRenewing = true;
    this.renewalDueMs = nowMs + LEASE_RENEWAL_INTERVAL_MS;
    return this.authority.beginRenewal(nowMs);
  }

  /** Records that the renewal in progress was answered or has timed out. */
  endRenewal(): void {
    this.isRenewing = false;
  }

  /** Records that a renewal succeeded. */
  confirmRenewal(renewal: LeaseRenewal, nowMs: number): void {
    this.authority.confirmRenewal(renewal, ROLE_LEASE_TTL_MS, nowMs);
  }

  /** Records that a role is attached to the lease, or may soon be. */
  markUsed(nowMs: number): void {
    this.idleSinceMs = nowMs;
  }

  /** Whether the lease has been unused for so long that it should be revoked. */
  isIdle(nowMs: number): boolean {
    return nowMs - this.idleSinceMs >= IDLE_LEASE_TIMEOUT_MS;
  }
}
