import type { Offer } from './records.js';

/** What the duties need of the world. The same code runs on these in a controller, on loopback and in simulation. */

/** An integer of the state service, up to 2^64: a bigint only where a number would lose precision. */
export type Revision = number | bigint;

export interface StoredRow {
  key: string;
  value: unknown;
  /** Revision of the key's most recent change. */
  stamp: Revision;
}

/** A key that was written, or deleted if its value is undefined. */
export type RowChange = StoredRow;

/** The key must have this revision; 0: it must not exist. */
export interface Condition {
  key: string;
  stamp: Revision;
}

export interface Operation {
  key: string;
  /** undefined: delete. */
  value: unknown;
  /** The lease that the key hangs on. */
  hold?: Revision;
}

/** `refused`: surely not executed. `unclear`: may have been executed, or may yet be. */
export type CommitOutcome = 'applied' | 'conflict' | 'refused' | 'unclear';

/** The state service, through a local copy of its rows that lags behind a little. */
export interface DutyStore {
  /** Whether the copy holds all rows, and the service serves this process. */
  isReady(): boolean;
  get(key: string): StoredRow | undefined;
  rows(prefix: string): Iterable<StoredRow>;
  onChange(listener: (change: RowChange) => void): void;
  /** Resolves once the copy holds all that the service held when this was called; rejects if it can't be read. */
  sync(): Promise<void>;
  /** One atomic transaction; a change that was applied is in the copy before this resolves. */
  commit(conditions: Condition[], operations: Operation[]): Promise<CommitOutcome>;
  grantLease(ttlMs: number): Promise<Revision>;
  /** Whether the lease lives on; rejects when that is not known. */
  renewLease(lease: Revision, timeoutMs: number): Promise<boolean>;
  endLease(lease: Revision): Promise<void>;
}

export type RentResult =
  | { kind: 'rented'; names: string[] }
  | { kind: 'refused'; reason: RefusalReason }
  /** No answer, or one that says nothing: it may have been, or may yet be, carried out. */
  | { kind: 'unknown'; answered: boolean };

export type RefusalReason = 'no capacity' | 'trouble';

export type ReturnResult = { kind: 'returned' } | { kind: 'unknown'; answered: boolean };

/** The calls to the cloud that change something. They never reject. */
export interface CloudActions {
  /** The cloud answers a repeated request of the same name with the same machines. */
  rent(name: string, offer: Offer, count: number): Promise<RentResult>;
  giveBack(names: string[]): Promise<ReturnResult>;
}

/** Who leads, as the local copy of the state service says. */
export interface LeaderView {
  /** Condition under which the leader's term goes on. */
  fence: Condition;
  term: number;
  member: string;
  /** Whether it leaves what it decides to the holders of duties; a former version does all itself. */
  delegates: boolean;
}
