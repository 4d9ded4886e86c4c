/**
 * Transactions of one term. Every write is conditional on the leader's key, so that it fails once the term has ended.
 */
import { WRITE_TIMEOUT_MS } from '../constants.js';
import type { LeadershipTerm } from '../election/leadership-term.js';
import { LEADER_KEY } from '../state/records.js';
import type { Condition, Operation } from '../state/store-client.js';
import type { CommitResult, TransactionBatcher } from '../state/transaction-batcher.js';

/**
 * Commits the operations if all conditions hold and the term has not ended. The promise resolves on failure too and
 * never rejects.
 */
export type CommitInTerm = (conditions: Condition[], operations: Operation[]) => Promise<CommitResult>;

/**
 * Creates the commit function of a term. It adds the fencing condition on the leader's key to the conditions of each
 * write.
 */
export function createCommitInTerm(
  term: Pick<LeadershipTerm, 'leaderKeyRevision'>,
  batcher: TransactionBatcher,
): CommitInTerm {
  return (conditions, operations) => {
    const fencingCondition = { key: LEADER_KEY, modRevision: term.leaderKeyRevision };
    return batcher.commit([fencingCondition, ...conditions], operations, WRITE_TIMEOUT_MS);
  };
}
