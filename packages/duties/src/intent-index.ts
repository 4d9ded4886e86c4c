/** An index of all intents in the state store, decoded once for all of its readers. */
import type { Logger } from 'pino';
import { compareIntentIds, type Intent } from './intents.js';
import { decodeIntent, INTENT_KEY_PREFIX } from './intent-records.js';
import type { KeyValueChange, Revision, RoleStore } from './ports.js';

/** A stored intent with its key and revision. */
export interface IndexedIntent {
  readonly key: string;
  /** Revision of the key's most recent change. */
  readonly modRevision: Revision;
  readonly intent: Intent;
}

/** Follows the replica of the state store. An intent that can't be decoded is logged at each change, and ignored. */
export class IntentIndex {
  private readonly entriesByKey = new Map<string, IndexedIntent>();
  private readonly listeners: ((entry: IndexedIntent) => void)[] = [];

  /** Reads all intents of `store`, and follows its changes from then on. */
  constructor(
    store: RoleStore,
    private readonly log: Logger,
  ) {
    for (const keyValue of store.listPrefix(INTENT_KEY_PREFIX)) this.apply(keyValue);
    store.onChange((change) => {
      if (change.key.startsWith(INTENT_KEY_PREFIX)) this.apply(change);
    });
  }

  /** Calls `listener` for each intent that appears or changes. The returned function removes the listener. */
  onChange(listener: (entry: IndexedIntent) => void): () => void {
    this.listeners.push(listener);
    return () => void this.listeners.splice(this.listeners.indexOf(listener), 1);
  }

  /** Returns the intent with this key, or undefined if there is none. */
  get(key: string): IndexedIntent | undefined {
    return this.entriesByKey.get(key);
  }

  /** Lists the intents for which `matches` returns true, the oldest first. */
  listOldestFirst(matches: (intent: Intent) => boolean): IndexedIntent[] {
    return [...this.entriesByKey.values()]
      .filter(({ intent }) => matches(intent))
      .sort((a, b) => compareIntentIds(a.intent.id, b.intent.id));
  }

  private apply({ key, value, modRevision }: KeyValueChange): void {
    if (value === undefined) {
      this.entriesByKey.delete(key);
      return;
    }
    const intent = decodeIntent(key, value);
    if (!intent) {
      this.entriesByKey.delete(key);
      this.log.warn({ key }, 'unreadable intent ignored');
      return;
    }
    const entry = { key, modRevision, intent };
    this.entriesByKey.set(key, entry);
    // The list is copied because a listener may unsubscribe while it is called.
    for (const listener of [...this.listeners]) listener(entry);
  }
}
