/** A single attempt of a candidate to become leader. */
import { LEADER_LEASE_TTL_MS } from '../constants.js';
import { encodeLeader, LEADER_KEY, TERM_KEY } from '../state/records.js';
import type { StateReplica } from '../state/state-replica.js';
import type { StoreClient, TransactionResult } from '../state/store-client.js';
import { decodeTerm, encodeTerm } from '../state/term-record.js';
import type { WireInt } from '../wire/json.js';

/** Dependencies of `runCampaign`. */
export interface CampaignDependencies {
  readonly storeClient: Pick<StoreClient, 'grantLease' | 'compareAndSwap'>;
  readonly replica: Pick<StateReplica, 'get'>;
  /** Name of the candidate. */
  readonly member: string;
  /**
   * Whether the holders of the leased roles call the cloud on behalf of this candidate once it leads. The value is stored in
   * the leader's record.
   */
  readonly delegatesCloudCalls: boolean;
  /** Returns the time of the steady clock in milliseconds. */
  readonly nowMs: () => number;
}

/** The result of a campaign. */
export interface CampaignResult {
  /**
   * Time on the steady clock, in milliseconds, just before the lease was requested. If the campaign is won, the duration of
   * the authority counts from this time.
   */
  readonly leaseRequestedAtMs: number;
  /** Id of the lease to which the leader's key is attached. */
  readonly leaseId: WireInt;
  /** Number of the term that the candidate tried to start. */
  readonly fencingToken: number;
  /** The value that the campaign tried to write under the leader's key. */
  readonly leaderValue: unknown;
  /** Result of the compare-and-swap that decides the campaign. */
  readonly transactionResult: TransactionResult;
}

/** Receives the end of a campaign. Exactly one of the two methods is called. */
export interface CampaignCallbacks {
  /** Called when the transaction has ended. The candidate won only if the transaction was applied. */
  onEnded(result: CampaignResult): void;
  /** Called when a call to the state store failed. */
  onFailed(error: unknown): void;
}

/**
 * Requests a lease, and writes the raised term and the leader's key attached to the lease, on the condition that there is no
 * leader's key and that the term has not been raised in the meantime. Never rejects.
 */
export async function runCampaign(
  { storeClient, replica, member, delegatesCloudCalls, nowMs }: CampaignDependencies,
  callbacks: CampaignCallbacks,
): Promise<void> {
  try {
    const latestTerm = replica.get(TERM_KEY);
    const fencingToken = decodeTerm(latestTerm?.value) + 1;
    const leaseRequestedAtMs = nowMs();
    const leaseId = await storeClient.grantLease(LEADER_LEASE_TTL_MS);
    const leaderValue = encodeLeader({ member, term: fencingToken, delegatesCloudCalls });
    const transactionResult = await storeClient.compareAndSwap(
      [
        { key: LEADER_KEY, modRevision: 0 },
        { key: TERM_KEY, modRevision: latestTerm?.modRevision ?? 0 },
      ],
      [
        { key: LEADER_KEY, value: leaderValue, leaseId },
        { key: TERM_KEY, value: encodeTerm(fencingToken) },
      ],
    );
    callbacks.onEnded({ leaseRequestedAtMs, leaseId, fencingToken, leaderValue, transactionResult });
  } catch (error) {
    callbacks.onFailed(error);
  }
}
