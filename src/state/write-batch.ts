/** The writes that are sent together in one transaction. */
import { MAX_TXN_BYTES } from '../constants.js';
import { formatJson, type WireInt } from '../wire/json.js';
import type { Condition, Operation } from './key-value.js';

/** The result of a write. */
export type CommitResult =
  | { readonly outcome: 'applied'; readonly revision: WireInt }
  | { readonly outcome: 'conflict' }
  /**
   * The write was not executed, because the store did not accept it in time, the queue was full, or, for a user's
   * write, the store was unavailable. If `isMalformed` is true, the store will never accept it.
   */
  | { readonly outcome: 'refused'; readonly isMalformed?: boolean }
  /** The write may have been executed, or may be executed later. Only a new read of its keys can tell. */
  | { readonly outcome: 'unclear' };

/** A write that waits to be sent. */
export interface PendingWrite {
  readonly conditions: readonly Condition[];
  readonly operations: readonly Operation[];
  /** Estimated size of the write's part of the transaction. */
  readonly bytes: number;
  /** Time of the steady clock after which the write is refused if it has not been sent. */
  readonly deadlineMs: number;
  /** Whether a user waits for the write. It is then sent before all other writes, and refused during an outage. */
  readonly isForUser: boolean;
  readonly resolve: (result: CommitResult) => void;
}

/** Collects writes for one transaction, as long as they fit into it and don't contradict each other. */
export class WriteBatch {
  private readonly batchedWrites: PendingWrite[] = [];
  private readonly writtenKeys = new Set<string>();
  private readonly expectedRevisions = new Map<string, WireInt>();
  private operationCount = 0;
  private totalBytes = 0;

  /** `maxOperations` is the store's limit for one transaction. */
  constructor(private readonly maxOperations: number) {}

  /** The writes, in the order in which they were added. */
  get writes(): readonly PendingWrite[] {
    return this.batchedWrites;
  }

  /** Adds a write. Returns false if the write has to go into a later transaction. */
  tryAdd(write: PendingWrite): boolean {
    if (this.contradicts(write) || !this.fits(write)) return false;
    for (const { key } of write.operations) this.writtenKeys.add(key);
    for (const { key, modRevision } of write.conditions) this.expectedRevisions.set(key, modRevision);
    this.operationCount += write.operations.length;
    this.totalBytes += write.bytes;
    this.batchedWrites.push(write);
    return true;
  }

  /** Whether, with this write, a key would be written twice or be expected at two revisions. */
  private contradicts({ conditions, operations }: PendingWrite): boolean {
    return (
      operations.some(({ key }) => this.writtenKeys.has(key)) ||
      conditions.some(
        ({ key, modRevision }) =>
          this.expectedRevisions.has(key) && this.expectedRevisions.get(key) !== modRevision,
      )
    );
  }

  private fits({ conditions, operations, bytes }: PendingWrite): boolean {
    return (
      this.operationCount + operations.length <= this.maxOperations &&
      this.expectedRevisions.size + conditions.length <= this.maxOperations * MAX_CONDITIONS_PER_OPERATION &&
      // A single write that is too long is sent anyway, and the store refuses it.
      (this.totalBytes + bytes <= MAX_TXN_BYTES || this.batchedWrites.length === 0)
    );
  }
}

/** The store accepts this many conditions per transaction for each operation that it accepts. */
const MAX_CONDITIONS_PER_OPERATION = 4;

/**
 * Estimates the size of a write's part of a transaction, as the number of characters of its JSON text. Conditions and
 * leases have the field names of the wire format. The other field names of an operation differ from those by a few
 * characters.
 */
export function estimateWriteBytes(
  conditions: readonly Condition[],
  operations: readonly Operation[],
): number {
  const wireConditions = conditions.map(({ key, modRevision: stamp }) => ({ key, stamp }));
  const wireOperations = operations.map(({ leaseId: hold, ...operation }) => ({ ...operation, hold }));
  return formatJson([wireConditions, wireOperations]).length;
}
