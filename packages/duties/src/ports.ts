/**
 * The interfaces through which the leased roles use a state store, a cloud, and the current leader. With different
 * implementations of them, the same code runs in a controller, on loopback and in simulation.
 */
import type { LaunchRefusalReason, LaunchRequest } from './intents.js';

/** A revision or lease id of the state store, up to 2^64. It is a bigint only where a number would lose precision. */
export type Revision = number | bigint;

/** A key of the state store with its value. */
export interface KeyValue {
  readonly key: string;
  readonly value: unknown;
  /** Revision of the key's most recent change. */
  readonly modRevision: Revision;
}

/** A change of a key. The key was deleted if its value is undefined. */
export type KeyValueChange = KeyValue;

/** A condition of a transaction: the key must have this revision. If the revision is 0, the key must not exist. */
export interface Condition {
  readonly key: string;
  readonly modRevision: Revision;
}

/** A write of one key within a transaction. */
export interface Operation {
  readonly key: string;
  /** The new value, or undefined to delete the key. */
  readonly value: unknown;
  /** The lease to which the key is attached. The key is deleted when the lease ends. */
  readonly leaseId?: Revision;
}

/**
 * The outcome of a transaction:
 * - `applied`: It was executed.
 * - `conflict`: It was not executed because a condition did not hold.
 * - `refused`: It was certainly not executed, for another reason.
 * - `unclear`: It may have been executed, or may be executed later.
 */
export type CommitOutcome = 'applied' | 'conflict' | 'refused' | 'unclear';

/** The state store. Reads are served by a local replica, which may be slightly stale. */
export interface RoleStore {
  /** Whether the replica is loaded and the state store serves this process. */
  isReady(): boolean;
  /** Returns the key as the replica has it, or undefined if the replica has no such key. */
  get(key: string): KeyValue | undefined;
  /** Lists all keys with this prefix, in no particular order. */
  listPrefix(prefix: string): Iterable<KeyValue>;
  /** Calls `listener` for each change of the replica. */
  onChange(listener: (change: KeyValueChange) => void): void;
  /** Resolves once the replica holds all that the state store held at the call. Rejects if the store can't be read. */
  linearizableRead(): Promise<void>;
  /** Executes one atomic transaction. An applied change is in the replica before the promise resolves. */
  commit(conditions: Condition[], operations: Operation[]): Promise<CommitOutcome>;
  /**
   * Grants a lease that expires `ttlMs` after its last renewal, and resolves to its id. Rejects unless one was
   * certainly granted.
   */
  grantLease(ttlMs: number): Promise<Revision>;
  /** Renews a lease, and resolves to whether it is alive. Rejects if that is unknown. */
  keepAlive(leaseId: Revision, timeoutMs: number): Promise<boolean>;
  /** Revokes a lease, which deletes the keys attached to it. */
  revokeLease(leaseId: Revision): Promise<void>;
}

/** There was no answer, or an inconclusive one. The call may have been executed, or may be executed later. */
export interface UnknownResult {
  readonly kind: 'unknown';
  /** Whether the cloud answered at all. */
  readonly isAnswered: boolean;
}

/** The result of a call that launches nodes. */
export type LaunchResult =
  | { readonly kind: 'launched'; readonly names: string[] }
  | { readonly kind: 'refused'; readonly reason: LaunchRefusalReason }
  | UnknownResult;

/** The result of a call that terminates nodes. */
export type TerminationResult = { readonly kind: 'terminated' } | UnknownResult;

/** The calls that launch or terminate nodes at the cloud. They never reject. */
export interface CloudProvider {
  /** Launches nodes. A repeated request with the same name returns the same nodes. */
  launch(request: LaunchRequest): Promise<LaunchResult>;
  /** Terminates nodes by name. A node that no longer exists counts as terminated. */
  terminate(names: string[]): Promise<TerminationResult>;
}

/** The leader, as the local replica shows it. */
export interface CurrentLeader {
  /** Condition that holds until the leader's term ends. */
  readonly fence: Condition;
  readonly term: number;
  /** Name of the controller that leads. */
  readonly member: string;
  /**
   * Whether the leader delegates its intents to role holders. A leader of an earlier version makes all calls itself.
   */
  readonly delegatesCloudCalls: boolean;
}
