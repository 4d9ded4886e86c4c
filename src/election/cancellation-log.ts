/** A bounded log of cancelled jobs. A leader that the state store does not serve reads it to catch up. */
import { MIN_CANCELLATION_LOG_ENTRIES } from '../constants.js';
import type { LogOffset } from '../peers/peer-messages.js';
import type { WireInt } from '../wire/json.js';

interface LogEntry {
  readonly key: string;
  readonly modRevision: WireInt;
}

/**
 * The cancelled jobs in the replica of this controller, in the order in which the replica received them. A leader reads on
 * from its last offset. Its first read starts at the revision up to which its own replica is complete.
 */
export class CancellationLog {
  private readonly entries: LogEntry[] = [];
  /** Sequence number of the oldest entry. */
  private firstSequence = 1;
  /** Largest revision of all entries that were dropped, or 0 if none was. */
  private maxDroppedRevision: WireInt = 0;

  constructor(
    /** Number of this log, which differs from those of all other processes. */
    private readonly logId: number,
  ) {}

  /** Appends a cancelled job. The oldest entries are dropped in batches. */
  append(key: string, modRevision: WireInt): void {
    this.entries.push({ key, modRevision });
    if (this.entries.length < 2 * MIN_CANCELLATION_LOG_ENTRIES) return;
    for (const entry of this.entries.splice(0, MIN_CANCELLATION_LOG_ENTRIES)) {
      if (entry.modRevision > this.maxDroppedRevision) this.maxDroppedRevision = entry.modRevision;
      this.firstSequence++;
    }
  }

  /** Offset of a reader that has read all entries. */
  get endOffset(): LogOffset {
    return { logId: this.logId, sequence: this.firstSequence + this.entries.length - 1 };
  }

  /**
   * Lists the keys of the cancelled jobs that a reader lacks. These are the entries after its offset. If it has no offset in
   * this log, or entries after the offset were dropped, these are the entries with a revision above `sinceRevision`. Returns
   * undefined if an entry above that revision was dropped.
   */
  listKeysAfter(offset: LogOffset | undefined, sinceRevision: WireInt): string[] | undefined {
    if (offset?.logId === this.logId && offset.sequence >= this.firstSequence - 1)
      return this.entries.slice(offset.sequence - this.firstSequence + 1).map((entry) => entry.key);
    if (sinceRevision < this.maxDroppedRevision) return undefined;
    return this.entries.filter((entry) => entry.modRevision > sinceRevision).map((entry) => entry.key);
  }
}
