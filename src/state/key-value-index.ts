/** The keys and values of a replica, indexed by key and by kind of key. */
import type { KeyChange, KeyValue } from './key-value.js';

/**
 * Holds the latest known value of each key. A change is applied only if it is newer than the known state of its key.
 */
export class KeyValueIndex {
  private readonly keyValuesByKey = new Map<string, KeyValue>();
  /**
   * The same entries by kind of key, so that a kind with few keys is listed without scanning the thousands of another.
   */
  private readonly keyValuesByKind = new Map<string, Map<string, KeyValue>>();

  /** The number of keys. */
  get size(): number {
    return this.keyValuesByKey.size;
  }

  /** Returns a key with its value, or undefined if there is no such key. */
  get(key: string): KeyValue | undefined {
    return this.keyValuesByKey.get(key);
  }

  /** Lists all keys with their values, in the order in which they were first seen. */
  entries(): Iterable<[key: string, keyValue: KeyValue]> {
    return this.keyValuesByKey.entries();
  }

  /** Lists all keys of one kind. `prefix` is the part of a key up to its second slash. */
  listPrefix(prefix: string): Iterable<KeyValue> {
    return this.keyValuesByKind.get(prefix)?.values() ?? [];
  }

  /**
   * Applies a change. Returns false if it has no effect, because it is not newer than the known state or deletes an
   * absent key.
   */
  apply({ key, value, modRevision }: KeyChange): boolean {
    const current = this.keyValuesByKey.get(key);
    const isDelete = value === undefined;
    // A delete may have the same revision as the value that it deletes, because a listing shows that a key is absent
    // but not when it was deleted.
    const isNewer =
      !current || current.modRevision < modRevision || (current.modRevision === modRevision && isDelete);
    if (!isNewer) return false;
    const keysOfSameKind = this.getOrCreateKind(getKeyKind(key));
    if (isDelete) {
      keysOfSameKind.delete(key);
      return this.keyValuesByKey.delete(key);
    }
    const keyValue = { key, value, modRevision };
    keysOfSameKind.set(key, keyValue);
    this.keyValuesByKey.set(key, keyValue);
    return true;
  }

  private getOrCreateKind(kind: string): Map<string, KeyValue> {
    let keys = this.keyValuesByKind.get(kind);
    if (!keys) this.keyValuesByKind.set(kind, (keys = new Map<string, KeyValue>()));
    return keys;
  }
}

/**
 * Returns the part of a key up to its second slash, which identifies the kind of record. The result is empty if the key
 * has no second slash.
 */
const getKeyKind = (key: string): string => key.slice(0, key.indexOf('/', key.indexOf('/') + 1) + 1);
