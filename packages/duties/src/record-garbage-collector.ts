/** The actor by which the holder of the role `cleanup` deletes records that nobody reads any more. */
import { assertNever, PeriodicActor, type Clock, type Tick } from '@pumicehinge/runtime';
import type { Logger } from 'pino';
import {
  MAX_DELETES_PER_CLEANUP,
  CLEANUP_INTERVAL_MS,
  LAUNCH_RETENTION_MS,
  TERMINATION_RETENTION_MS,
} from './constants.js';
import type { IntentIndex } from './intent-index.js';
import type { Intent } from './intents.js';
import type { Condition, CurrentLeader, Revision, RoleStore } from './ports.js';
import type { RoleLeases } from './role-leases.js';

/** A record that nobody reads any more, and the conditions under which it may be deleted. */
export interface ObsoleteRecord {
  readonly key: string;
  /** Revision at which the record was found obsolete. */
  readonly modRevision: Revision;
  /** Conditions on other keys that must still hold. */
  readonly conditions: Condition[];
}

/** Dependencies of `RecordGarbageCollector`. */
export interface RecordGarbageCollectorOptions {
  readonly roleLeases: Pick<RoleLeases, 'currentGrant'>;
  readonly intentIndex: IntentIndex;
  readonly store: RoleStore;
  readonly currentLeader: () => CurrentLeader | undefined;
  /** Finds at most `limit` obsolete records other than intents. */
  readonly findObsoleteRecords: (limit: number) => ObsoleteRecord[];
  /** Limit of puts and deletes in one transaction of the state store. */
  readonly maxTransactionOperations: number;
  readonly clock: Clock;
  readonly log: Logger;
}

interface CollectionEnded {
  readonly kind: 'collectionEnded';
}

/**
 * Deletes obsolete intents and other records, a few at a time, while this process holds the role `cleanup`. Each delete
 * depends on the role's fence and on the revision of its record, so a delete that is applied late never removes a newer
 * value.
 */
export class RecordGarbageCollector extends PeriodicActor<CollectionEnded> {
  /** Time of the steady clock at which each obsolete intent was first seen to be obsolete, by key. */
  private readonly obsoleteSinceMs = new Map<string, number>();
  private isCollecting = false;

  /** Creates a garbage collector that does nothing before `start`. */
  constructor(
    private readonly options: RecordGarbageCollectorOptions,
    onFailure: (error: unknown) => void,
  ) {
    super(options.clock, CLEANUP_INTERVAL_MS, options.log, onFailure);
  }

  protected receive(message: CollectionEnded | Tick): void {
    switch (message.kind) {
      case 'collectionEnded':
        this.isCollecting = false;
        return;
      case 'tick':
        return this.collect();
      default:
        return assertNever(message);
    }
  }

  private collect(): void {
    const { roleLeases, store, findObsoleteRecords, maxTransactionOperations } = this.options;
    const grant = roleLeases.currentGrant('cleanup');
    if (!grant) {
      this.obsoleteSinceMs.clear();
      return;
    }
    if (this.isCollecting || !store.isReady()) return;
    const limit = Math.min(MAX_DELETES_PER_CLEANUP, maxTransactionOperations);
    const intents = this.findDeletableIntents().slice(0, limit);
    const records = [...intents, ...findObsoleteRecords(limit - intents.length)];
    if (records.length === 0) return;
    this.isCollecting = true;
    void store
      .commit([grant.fence, ...collectConditions(records)], toDeletions(records))
      .then(() => this.send({ kind: 'collectionEnded' }));
  }

  private findDeletableIntents(): ObsoleteRecord[] {
    const { clock, intentIndex, currentLeader } = this.options;
    const nowMs = clock.steadyMs();
    const term = currentLeader()?.term ?? -Infinity;
    const obsoleteIntents = intentIndex.listOldestFirst((intent) => isObsolete(intent, term));
    const deletableIntents = obsoleteIntents.filter(({ key, intent }) => {
      const sinceMs = this.obsoleteSinceMs.get(key) ?? nowMs;
      this.obsoleteSinceMs.set(key, sinceMs);
      return nowMs - sinceMs > retentionMs(intent);
    });
    for (const key of this.obsoleteSinceMs.keys())
      if (!intentIndex.get(key)) this.obsoleteSinceMs.delete(key);
    return deletableIntents.map(({ key, modRevision }) => ({ key, modRevision, conditions: [] }));
  }
}

/** Whether an intent is completed, or was requested in an earlier term and never committed. */
const isObsolete = (intent: Intent, term: number): boolean =>
  intent.state === 'completed' || (intent.state === 'requested' && intent.id.term < term);

/** Time for which an obsolete intent is kept. */
const retentionMs = ({ role, state }: Intent): number => {
  if (state === 'requested') return 0;
  return role === 'rent' ? LAUNCH_RETENTION_MS : TERMINATION_RETENTION_MS;
};

/** Collects the conditions of all deletes, with one condition for each key. */
function collectConditions(records: readonly ObsoleteRecord[]): Condition[] {
  const allConditions = records.flatMap(({ key, modRevision, conditions }) => [
    { key, modRevision },
    ...conditions,
  ]);
  return [...new Map(allConditions.map((condition) => [condition.key, condition])).values()];
}

const toDeletions = (records: readonly ObsoleteRecord[]): { key: string; value: undefined }[] =>
  records.map(({ key }) => ({ key, value: undefined }));
