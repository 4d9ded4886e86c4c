/** A local replica of the keys in the state store (a watch cache). */
import type { Logger } from 'pino';
import { sleep, type Clock } from '@pumicehinge/runtime';
import {
  MIN_LINEARIZABLE_READ_INTERVAL_MS,
  REPLICA_LOAD_PAGE_KEYS,
  STATE_RETRY_DELAY_MS,
  MIN_WATCH_INTERVAL_MS,
  WATCH_WAIT_MS,
} from '../constants.js';
import { ResponseTooLargeError } from '../http/message.js';
import type { WireInt } from '../wire/json.js';
import { KeyValueIndex } from './key-value-index.js';
import type { KeyChange, KeyChanges, KeyValue } from './key-value.js';
import type { StoreClient } from './store-client.js';
import { CompactedRevisionError, ReplicaNotLoadedError } from './store-error.js';

/** Called with each change of the replica after it was applied. */
type ChangeListener = (change: KeyChange) => void;
/** Called with the steady-clock time at which a read began that brought the replica up to date. */
type SyncListener = (requestedMs: number) => void;

/** A call of `linearizableRead` that has not ended. */
interface PendingRead {
  readonly resolve: () => void;
  readonly reject: (error: unknown) => void;
}

/**
 * Holds all keys with a prefix, and keeps them up to date by a watch. Reads are local and may be slightly stale. After
 * a `linearizableRead`, the replica holds everything that the store held when the read was called.
 */
export class StateReplica {
  private readonly index = new KeyValueIndex();
  private revision: WireInt = 0;
  private areKeysLoaded = false;
  private isStopped = false;
  private readonly changeListeners: ChangeListener[] = [];
  private readonly syncListeners: SyncListener[] = [];
  private pendingReads: PendingRead[] = [];
  private isServingReads = false;
  private lastReadMs = -Infinity;

  /** Creates an empty replica of the keys with `prefix`. `run` loads it. */
  constructor(
    private readonly client: StoreClient,
    private readonly prefix: string,
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {}

  /** Whether all keys are loaded and the watch continues from their revision. */
  get isLoaded(): boolean {
    return this.areKeysLoaded;
  }

  /** Returns a key with its value, or undefined if there is no such key. */
  get(key: string): KeyValue | undefined {
    return this.index.get(key);
  }

  /** Lists all keys of one kind. `prefix` is the part of a key up to its second slash. */
  listPrefix(prefix: string): Iterable<KeyValue> {
    return this.index.listPrefix(prefix);
  }

  /** Registers a listener for each change. Listeners run in the order in which they were registered. */
  onChange(listener: ChangeListener): void {
    this.changeListeners.push(listener);
  }

  /** Registers a listener that runs after each read that makes the replica complete up to the start of the read. */
  onSynced(listener: SyncListener): void {
    this.syncListeners.push(listener);
  }

  /** The revision of the store up to which the replica is complete. Some keys may be newer. */
  get syncedRevision(): WireInt {
    return this.revision;
  }

  /** Ends `run` after its current request. */
  stop(): void {
    this.isStopped = true;
  }

  /** Loads all keys, then watches them until `stop`. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      try {
        if (!this.areKeysLoaded) await this.load();
        const requestedMs = this.clock.steadyMs();
        const changes = await this.client.watch(this.prefix, this.revision, WATCH_WAIT_MS);
        this.applyChanges(changes, requestedMs);
        const pauseMs = requestedMs + MIN_WATCH_INTERVAL_MS - this.clock.steadyMs();
        if (pauseMs > 0) await sleep(this.clock, pauseMs);
      } catch (error) {
        this.onFailure(error);
        await sleep(this.clock, STATE_RETRY_DELAY_MS);
      }
    }
  }

  /**
   * Resolves once the replica holds everything that the state store held at the call. One read of the store serves all
   * callers that wait for it. Rejects with a StoreError or an HttpCallError if the store can't be read.
   */
  linearizableRead(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.pendingReads.push({ resolve, reject });
      if (!this.isServingReads) void this.servePendingReads();
    });
  }

  /** Applies a write of this controller that the store has confirmed at `revision`, before the watch reports it. */
  applyOwnWrite(key: string, value: unknown, revision: WireInt): void {
    if (revision > this.revision) this.apply({ key, value, modRevision: revision });
  }

  /** Merges a value that another controller has read or written. A newer value in the replica is kept. */
  mergeIfNewer(keyValue: KeyValue): void {
    this.apply(keyValue);
  }

  private async servePendingReads(): Promise<void> {
    this.isServingReads = true;
    while (this.pendingReads.length > 0) {
      const pauseMs = this.lastReadMs + MIN_LINEARIZABLE_READ_INTERVAL_MS - this.clock.steadyMs();
      if (pauseMs > 0) await sleep(this.clock, pauseMs);
      this.lastReadMs = this.clock.steadyMs();
      const servedReads = this.pendingReads;
      this.pendingReads = [];
      try {
        if (!this.areKeysLoaded) throw new ReplicaNotLoadedError();
        const changes = await this.client.watch(this.prefix, this.revision, 0);
        this.applyChanges(changes, this.lastReadMs);
        for (const read of servedReads) read.resolve();
      } catch (error) {
        this.onFailure(error);
        for (const read of servedReads) read.reject(error);
      }
    }
    this.isServingReads = false;
  }

  private onFailure(error: unknown): void {
    // The store keeps a bounded history of changes. Once this revision is compacted, all keys are loaded again. They
    // are also loaded again if there are more changes than fit into memory at once, as the pages of a listing are
    // small.
    if (error instanceof CompactedRevisionError || error instanceof ResponseTooLargeError)
      this.areKeysLoaded = false;
    this.log.debug({ err: error }, 'state store read failed');
  }

  private async load(): Promise<void> {
    const requestedMs = this.clock.steadyMs();
    const listedKeyValues = new Map<string, KeyValue>();
    let firstRevision: WireInt | undefined;
    let lastKey: string | undefined;
    for (;;) {
      const page = await this.client.listPage(this.prefix, lastKey, REPLICA_LOAD_PAGE_KEYS);
      // Later pages are newer than the first, so a watch from the first page's revision misses no change.
      firstRevision ??= page.revision;
      for (const keyValue of page.keyValues) listedKeyValues.set(keyValue.key, keyValue);
      lastKey = page.keyValues.at(-1)?.key;
      if (!page.hasMore || lastKey === undefined) break;
    }
    this.applyListing(listedKeyValues, firstRevision);
    this.areKeysLoaded = true;
    this.notifySynced(requestedMs);
    this.log.info({ keys: this.index.size }, 'state replica loaded');
  }

  /** Applies the differences between the replica and a listing of all keys that began at `revision`. */
  private applyListing(listedKeyValues: ReadonlyMap<string, KeyValue>, revision: WireInt): void {
    this.revision = revision;
    for (const [key, current] of [...this.index.entries()]) {
      if (!listedKeyValues.has(key) && current.modRevision <= revision)
        this.apply({ key, value: undefined, modRevision: revision });
    }
    // The oldest changes are applied first, because a change listener fills the log of cancellations, which drops the
    // entries that came first.
    for (const keyValue of [...listedKeyValues.values()].sort(compareRevisions)) {
      if (this.index.get(keyValue.key)?.modRevision !== keyValue.modRevision) this.apply(keyValue);
    }
  }

  private applyChanges({ changes, revision }: KeyChanges, requestedMs: number): void {
    for (const change of changes) if (change.modRevision > this.revision) this.apply(change);
    if (revision > this.revision) this.revision = revision;
    this.notifySynced(requestedMs);
  }

  private apply(change: KeyChange): void {
    if (!this.index.apply(change)) return;
    for (const listener of this.changeListeners) listener(change);
  }

  private notifySynced(requestedMs: number): void {
    for (const listener of this.syncListeners) listener(requestedMs);
  }
}

function compareRevisions(left: KeyValue, right: KeyValue): number {
  if (left.modRevision === right.modRevision) return 0;
  return left.modRevision < right.modRevision ? -1 : 1;
}
