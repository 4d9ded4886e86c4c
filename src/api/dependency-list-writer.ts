/** Converts the record of a new job to a form that fits into a value of the state store. */
import { DEPENDENCY_LIST_ID_RANGE, SUBMISSION_TIMEOUT_MS } from '../constants.js';
import { dependencyListKey, maxJobBytes, splitByEncodedSize, type JobRecord } from '../state/records.js';
import type { TransactionBatcher } from '../state/transaction-batcher.js';

/** A record that can be stored, or the reason why there is none. */
export type FittedRecord =
  | { readonly kind: 'fits'; readonly record: JobRecord }
  /** The job description does not fit, even without its dependency list. */
  | { readonly kind: 'tooLong' }
  /** The dependency list was not written to the state store. */
  | { readonly kind: 'notWritten' };

/** Dependencies of `DependencyListWriter`. */
export interface DependencyListWriterDependencies {
  /** Limits of the state store: the largest size of a value in bytes, and the most operations in a transaction. */
  readonly storeLimits: { readonly valueBytes: number; readonly maxTransactionOperations: number };
  readonly batcher: TransactionBatcher;
  readonly random: () => number;
}

/** Writes dependency lists that are too long for the value of their job to separate keys. */
export class DependencyListWriter {
  constructor(private readonly dependencies: DependencyListWriterDependencies) {}

  /**
   * Converts the record to a form that fits into a value of the state store, even once all tasks of the job have
   * completed. A long dependency list is first written to separate keys, under an id that no other submission uses.
   */
  async fitToStore(record: JobRecord): Promise<FittedRecord> {
    const { storeLimits, batcher, random } = this.dependencies;
    if (maxJobBytes(record) <= storeLimits.valueBytes) return { kind: 'fits', record };
    if (!record.spec?.dependencies) return { kind: 'tooLong' };
    const { dependencies: dependencyUids, ...description } = record.spec;
    const parts = splitByEncodedSize(dependencyUids, storeLimits.valueBytes);
    const dependencyList = {
      id: Math.floor(random() * DEPENDENCY_LIST_ID_RANGE).toString(36),
      parts: parts.length,
    };
    const { uid } = description;
    const splitRecord: JobRecord = { ...record, spec: { ...description, dependencyList } };
    if (maxJobBytes(splitRecord) > storeLimits.valueBytes) return { kind: 'tooLong' };
    const keyValues = parts.map((value, partIndex) => ({
      key: dependencyListKey(uid, dependencyList, partIndex),
      value,
    }));
    for (
      let firstIndex = 0;
      firstIndex < keyValues.length;
      firstIndex += storeLimits.maxTransactionOperations
    ) {
      const operations = keyValues.slice(firstIndex, firstIndex + storeLimits.maxTransactionOperations);
      const conditions = operations.map(({ key }) => ({ key, modRevision: 0 }));
      const result = await batcher.commitForUser(conditions, operations, SUBMISSION_TIMEOUT_MS);
      if (result.outcome !== 'applied') return { kind: 'notWritten' };
    }
    return { kind: 'fits', record: splitRecord };
  }
}
