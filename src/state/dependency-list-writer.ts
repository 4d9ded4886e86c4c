/** Converts the record of a job to a form that fits into a value of the state store. */
import { dependencyListKey, maxJobBytes, splitByEncodedSize, type JobRecord } from './records.js';
import type { Condition, Operation } from './store-client.js';
import type { CommitResult } from './transaction-batcher.js';

/** A record that can be stored, or the reason why there is none. */
export type FittedRecord =
  | { readonly kind: 'fits'; readonly record: JobRecord }
  /** The job description does not fit, even without its dependency list. */
  | { readonly kind: 'tooLong' }
  /** The dependency list was not written to the state store. `result` is that of the write. */
  | { readonly kind: 'notWritten'; readonly result: CommitResult };

/** Dependencies of `DependencyListWriter`. */
export interface DependencyListWriterDependencies {
  /** Limits of the state store: the largest size of a value in bytes, and the most operations in a transaction. */
  readonly storeLimits: { readonly valueBytes: number; readonly maxTransactionOperations: number };
  /** Commits one transaction. The promise resolves on failure too. */
  readonly commit: (conditions: Condition[], operations: Operation[]) => Promise<CommitResult>;
  /** Returns an id that no other dependency list has. */
  readonly createListId: () => string;
}

/** Writes dependency lists that are too long for the value of their job to separate keys. */
export class DependencyListWriter {
  constructor(private readonly dependencies: DependencyListWriterDependencies) {}

  /** Whether the record may have to be changed to fit into a value, even once all tasks of the job have completed. */
  mustMoveList(record: JobRecord): boolean {
    return record.spec?.dependencies !== undefined && !this.fits(record);
  }

  /**
   * Converts the record to a form that fits into a value of the state store, even once all tasks of the job have
   * completed. A long dependency list is first written to separate keys, under an id that no other list has.
   */
  async fitToStore(record: JobRecord): Promise<FittedRecord> {
    if (this.fits(record)) return { kind: 'fits', record };
    if (!record.spec?.dependencies) return { kind: 'tooLong' };
    const { storeLimits, createListId } = this.dependencies;
    const { dependencies: dependencyUids, ...description } = record.spec;
    const parts = splitByEncodedSize(dependencyUids, storeLimits.valueBytes);
    const dependencyList = { id: createListId(), parts: parts.length };
    const splitRecord: JobRecord = { ...record, spec: { ...description, dependencyList } };
    if (!this.fits(splitRecord)) return { kind: 'tooLong' };
    const operations = parts.map((value, partIndex) => ({
      key: dependencyListKey(description.uid, dependencyList, partIndex),
      value,
    }));
    const failure = await this.writeNewKeys(operations);
    return failure ? { kind: 'notWritten', result: failure } : { kind: 'fits', record: splitRecord };
  }

  private fits(record: JobRecord): boolean {
    return maxJobBytes(record) <= this.dependencies.storeLimits.valueBytes;
  }

  /** Writes keys that do not exist yet, in as many transactions as needed. Returns the result of the first failure. */
  private async writeNewKeys(keyValues: readonly Operation[]): Promise<CommitResult | undefined> {
    const { storeLimits, commit } = this.dependencies;
    const maxOperations = storeLimits.maxTransactionOperations;
    for (let firstIndex = 0; firstIndex < keyValues.length; firstIndex += maxOperations) {
      const operations = keyValues.slice(firstIndex, firstIndex + maxOperations);
      const conditions = operations.map(({ key }) => ({ key, modRevision: 0 }));
      const result = await commit(conditions, operations);
      if (result.outcome !== 'applied') return result;
    }
    return undefined;
  }
}
