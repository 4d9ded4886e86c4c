/** The data model of the state store: keys with values and revisions, and compare-and-swap transactions. */
import type { WireInt } from '../wire/json.js';

/** A key of the state store with its value. */
export interface KeyValue {
  readonly key: string;
  readonly value: unknown;
  /** The store's revision at the last change of the key. */
  readonly modRevision: WireInt;
}

/** A change of a key, as a watch reports it. */
export interface KeyChange {
  readonly key: string;
  /** The new value, or undefined if the key was deleted. */
  readonly value: unknown;
  /** The store's revision at the change. */
  readonly modRevision: WireInt;
}

/**
 * A condition of a transaction: the key must have been changed last at `modRevision`. If that is 0, the key must not
 * exist.
 */
export interface Condition {
  readonly key: string;
  readonly modRevision: WireInt;
}

/** A write of one key within a transaction. */
export interface Operation {
  readonly key: string;
  /** The new value, or undefined to delete the key. */
  readonly value: unknown;
  /** The lease to which the key is attached. The store deletes the key when the lease expires. */
  readonly leaseId?: WireInt;
}

/** The result of a compare-and-swap transaction. */
export type TransactionResult =
  | { readonly outcome: 'applied'; readonly revision: WireInt }
  /** At least one condition did not hold. `failedKeys` are the keys of the failed conditions. */
  | { readonly outcome: 'conflict'; readonly failedKeys: readonly string[]; readonly revision: WireInt }
  /** The transaction was not executed. `status` is the HTTP status, or 0 if the request was never sent. */
  | { readonly outcome: 'refused'; readonly status: number }
  /** There was no usable response. The transaction may have been executed, or may be executed later. */
  | { readonly outcome: 'unclear' };

/** A page of a listing of keys. */
export interface KeyPage {
  /** The keys with their values, sorted by key. */
  readonly keyValues: readonly KeyValue[];
  /** Whether there are keys after this page. */
  readonly hasMore: boolean;
  /** The store's revision at which the page was read. */
  readonly revision: WireInt;
}

/** The changes that a watch reports. */
export interface KeyChanges {
  readonly changes: readonly KeyChange[];
  /** The store's revision up to which `changes` is complete. */
  readonly revision: WireInt;
}
