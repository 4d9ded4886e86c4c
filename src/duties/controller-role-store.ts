/** The controller's implementation of the state store interface of the leased roles. */
import type {
  CommitOutcome,
  Condition,
  KeyValueChange,
  Operation,
  Revision,
  RoleStore,
} from '@pumicehinge/duties';
import { WRITE_TIMEOUT_MS } from '../constants.js';
import type { StateReplica } from '../state/state-replica.js';
import type { StoreClient } from '../state/store-client.js';
import type { TransactionBatcher } from '../state/transaction-batcher.js';

/** Reads from the controller's replica, writes through its batcher, and manages leases through its client. */
export class ControllerRoleStore implements RoleStore {
  /** The controller owns the replica, the batcher and the client, and starts and stops them. */
  constructor(
    private readonly replica: StateReplica,
    private readonly batcher: TransactionBatcher,
    private readonly client: StoreClient,
  ) {}

  /** Whether the replica is loaded and the state store serves this process. */
  isReady(): boolean {
    return this.replica.isLoaded && this.client.isStoreAvailable;
  }

  /** Returns the key as the replica has it, or undefined if the replica has no such key. */
  get(key: string): KeyValueChange | undefined {
    return this.replica.get(key);
  }

  /** Lists all keys with a prefix, which must be the part of a key up to its second slash. */
  listPrefix(prefix: string): Iterable<KeyValueChange> {
    return this.replica.listPrefix(prefix);
  }

  /** Calls `listener` for each change of the replica. */
  onChange(listener: (change: KeyValueChange) => void): void {
    this.replica.onChange(listener);
  }

  /** Resolves once the replica holds all that the state store held at the call. Rejects if the store can't be read. */
  linearizableRead(): Promise<void> {
    return this.replica.linearizableRead();
  }

  /** Writes if all conditions hold. The write may share its transaction with other writes of the controller. */
  async commit(conditions: Condition[], operations: Operation[]): Promise<CommitOutcome> {
    return (await this.batcher.commit(conditions, operations, WRITE_TIMEOUT_MS)).outcome;
  }

  /** Grants a lease and resolves to its id. Rejects unless one was certainly granted. */
  grantLease(ttlMs: number): Promise<Revision> {
    return this.client.grantLease(ttlMs);
  }

  /** Renews a lease, and resolves to whether it is alive. Rejects if that is unknown. */
  keepAlive(leaseId: Revision, timeoutMs: number): Promise<boolean> {
    return this.client.keepAlive(leaseId, timeoutMs);
  }

  /** Revokes a lease. */
  revokeLease(leaseId: Revision): Promise<void> {
    return this.client.revokeLease(leaseId);
  }
}
