/** Renews and releases the leader's lease in the state store. */
import { LEADER_LEASE_TTL_MS } from '../constants.js';
import type { StoreClient } from '../state/store-client.js';
import type { WireInt } from '../wire/json.js';

/** Receives the end of a renewal. Exactly one of the two methods is called. */
export interface LeaseRenewalCallbacks {
  /** Called when the state store has answered whether the lease is still alive. */
  onAnswered(isAlive: boolean): void;
  /** Called when the call failed. It is then unknown whether the lease is still alive. */
  onFailed(): void;
}

/** The lease to which the leader's key is attached. */
export class LeaderLease {
  private isRenewing = false;

  constructor(
    private readonly storeClient: Pick<StoreClient, 'keepAlive' | 'revokeLease'>,
    /** Id of the lease in the state store. */
    readonly id: WireInt,
  ) {}

  /** Starts a renewal, unless one is in progress. */
  renew(callbacks: LeaseRenewalCallbacks): void {
    if (this.isRenewing) return;
    this.isRenewing = true;
    this.storeClient.keepAlive(this.id, LEADER_LEASE_TTL_MS / 2).then(
      (isAlive) => callbacks.onAnswered(isAlive),
      () => callbacks.onFailed(),
    );
  }

  /** Records that the renewal in progress has ended, so that the next one may start. */
  recordRenewalEnd(): void {
    this.isRenewing = false;
  }

  /** Revokes the lease without waiting for the answer. If the call fails, the lease expires on its own. */
  release(): void {
    void this.storeClient.revokeLease(this.id).catch(() => undefined);
  }
}
