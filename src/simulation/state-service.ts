/**
 * A simulated state service with conditional transactions, leases and a log of changes. Simulated deployments,
 * clusters on loopback, and tests of controllers and leased roles use it in place of the real one. It can be made to
 * refuse or delay requests.
 */
import type { Clock } from '@pumicehinge/runtime';
import type { HttpResponse } from '../http/message.js';

/** A stored key's value, revision and lease. The field names are those of the protocol. */
interface StoredRow {
  v: unknown;
  stamp: number;
  hold?: number;
}

/** One change in the log of the service. An entry without a value is a deletion. */
interface LogEntry {
  key: string;
  v?: unknown;
  stamp: number;
}

const jsonResponse = (status: number, body: unknown): HttpResponse => ({
  status,
  body: JSON.stringify(body),
});

/** Simulated state service, written from the protocol of the real one. */
export class SimulatedStateService {
  private readonly rows = new Map<string, StoredRow>();
  private readonly leases = new Map<number, { ttlMs: number; endMs: number }>();
  private log: LogEntry[] = [];
  private epoch = 1;
  private lastLeaseId = 0;
  private readonly watchers = new Set<() => void>();
  /** Callers whose requests get a 503. The entry '*' stands for every caller. */
  readonly refusedCallers = new Set<string>();
  /** Share of transactions that get no answer and are executed 2 to 12 s later, possibly after newer ones. */
  delayedTransactionShare = 0;
  /** Draws the delay of each request in milliseconds. Undefined if requests are handled without delay. */
  drawDelayMs: (() => number) | undefined;
  /** Limits of one value and one transaction. A transaction beyond them gets a 400. */
  limits = { valueBytes: 8192, maxTransactionOperations: 12 };
  /** Number of transactions that got a 400 because they exceeded the limits. */
  oversizedTransactions = 0;
  /** Number of requests in each second, including refused ones. */
  readonly requestsBySecond: number[] = [];
  /** Number of puts and deletes in each second, including those of transactions whose conditions failed. */
  readonly writesBySecond: number[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly random: () => number,
  ) {
    const expireRepeatedly = (): void => {
      this.expireLeases();
      clock.setTimer(50, expireRepeatedly);
    };
    expireRepeatedly();
  }

  /** The revision of a key. 0 if the key does not exist. */
  getRevision(key: string): number {
    return this.rows.get(key)?.stamp ?? 0;
  }

  /** The keys that start with the prefix. */
  listKeys(prefix: string): string[] {
    return [...this.rows.keys()].filter((key) => key.startsWith(prefix));
  }

  /** Number of changes so far to keys that start with the prefix. */
  countChanges(prefix: string): number {
    return this.log.filter(({ key }) => key.startsWith(prefix)).length;
  }

  /** The stored value of a key. Undefined if the key does not exist. */
  getValue(key: string): unknown {
    return this.rows.get(key)?.v;
  }

  /** Ends an outage. Every lease gets its full time to live again. */
  endOutage(): void {
    this.refusedCallers.clear();
    for (const lease of this.leases.values()) lease.endMs = this.clock.steadyMs() + lease.ttlMs;
    this.notifyWatchers();
  }

  /** Answers one HTTP request. Resolves to undefined if the caller gets no answer. */
  async handle(from: string, method: string, target: string, body: string | undefined) {
    const second = Math.floor(this.clock.steadyMs() / 1000);
    this.requestsBySecond[second] = (this.requestsBySecond[second] ?? 0) + 1;
    const url = new URL(target, 'http://state');
    const query = url.searchParams;
    const isRefused = (): boolean => this.refusedCallers.has('*') || this.refusedCallers.has(from);
    if (isRefused()) return jsonResponse(503, {});
    if (this.drawDelayMs)
      await new Promise<void>((resolve) => this.clock.setTimer(this.drawDelayMs!(), resolve));
    if (url.pathname === '/follow') return this.followLog(query, isRefused);
    if (url.pathname === '/keys') return this.listRows(query);
    if (url.pathname.startsWith('/keys/')) return this.getRow(url.pathname.slice('/keys/'.length));
    if (url.pathname === '/multi') {
      if (this.delayedTransactionShare === 0 || this.random() >= this.delayedTransactionShare)
        return this.executeTransaction(JSON.parse(body ?? ''));
      this.clock.setTimer(
        2_000 + this.random() * 10_000,
        () => void this.executeTransaction(JSON.parse(body ?? '')),
      );
      return undefined;
    }
    const [, , leaseId, touch] = url.pathname.split('/');
    if (leaseId === undefined) return this.grantLease(JSON.parse(body ?? '').ttlMs);
    const lease = this.leases.get(Number(leaseId));
    if (!lease) return jsonResponse(404, {});
    if (method === 'DELETE') this.endLease(Number(leaseId));
    else if (touch) lease.endMs = this.clock.steadyMs() + lease.ttlMs;
    return jsonResponse(200, {});
  }

  private grantLease(ttlMs: number): HttpResponse {
    const leaseId = ++this.lastLeaseId;
    this.leases.set(leaseId, { ttlMs, endMs: this.clock.steadyMs() + ttlMs });
    return jsonResponse(200, { hold: leaseId });
  }

  private expireLeases(): void {
    if (this.refusedCallers.has('*')) return;
    for (const [leaseId, lease] of this.leases)
      if (this.clock.steadyMs() >= lease.endMs) this.endLease(leaseId);
  }

  private endLease(leaseId: number): void {
    this.leases.delete(leaseId);
    const keys = [...this.rows].filter(([, row]) => row.hold === leaseId).map(([key]) => key);
    if (keys.length > 0) this.applyOperations(keys.map((key) => ({ drop: key })));
  }

  private applyOperations(operations: { put?: string; drop?: string; v?: unknown; hold?: number }[]): void {
    this.epoch++;
    for (const { put, drop, v, hold } of operations) {
      if (put !== undefined) {
        this.rows.set(put, { v, stamp: this.epoch, hold });
        this.log.push({ key: put, v, stamp: this.epoch });
      } else if (drop !== undefined && this.rows.delete(drop)) {
        this.log.push({ key: drop, stamp: this.epoch });
      }
    }
    this.notifyWatchers();
  }

  private notifyWatchers(): void {
    for (const watcher of [...this.watchers]) watcher();
  }

  private getRow(key: string): HttpResponse {
    const row = this.rows.get(key);
    return row ? jsonResponse(200, { key, ...row }) : jsonResponse(404, { epoch: this.epoch });
  }

  private listRows(query: URLSearchParams): HttpResponse {
    const prefix = query.get('starts') ?? '';
    const since = query.get('since') ?? '';
    const keys = [...this.rows.keys()].filter((key) => key.startsWith(prefix) && key > since).sort();
    const rows = keys.slice(0, Number(query.get('page') ?? 1000));
    return jsonResponse(200, {
      rows: rows.map((key) => ({ key, ...this.rows.get(key)! })),
      more: rows.length < keys.length,
      epoch: this.epoch,
    });
  }

  private executeTransaction(transaction: {
    if?: { key: string; stamp: number }[];
    apply?: { put?: string; drop?: string; v?: unknown; hold?: number }[];
  }): HttpResponse {
    const operations = transaction.apply ?? [];
    const hasLargeValue = operations.some(
      (operation) => JSON.stringify(operation.v ?? null).length > this.limits.valueBytes,
    );
    const hasTooManyItems =
      operations.length > this.limits.maxTransactionOperations ||
      (transaction.if ?? []).length > this.limits.maxTransactionOperations * 4;
    if (hasLargeValue || hasTooManyItems || JSON.stringify(transaction).length > 65_536) {
      this.oversizedTransactions++;
      return jsonResponse(400, { error: 'too large' });
    }
    const second = Math.floor(this.clock.steadyMs() / 1000);
    this.writesBySecond[second] = (this.writesBySecond[second] ?? 0) + operations.length;
    if (operations.some((operation) => operation.hold !== undefined && !this.leases.has(operation.hold)))
      return jsonResponse(400, { error: 'no such lease' });
    const failed = (transaction.if ?? [])
      .filter((condition) => (this.rows.get(condition.key)?.stamp ?? 0) !== condition.stamp)
      .map((condition) => condition.key);
    if (failed.length > 0) return jsonResponse(409, { failed, epoch: this.epoch });
    this.applyOperations(operations);
    return jsonResponse(200, { epoch: this.epoch });
  }

  private followLog(query: URLSearchParams, isRefused: () => boolean): Promise<HttpResponse> {
    const prefix = query.get('starts') ?? '';
    const since = Number(query.get('since'));
    const holdMs = Number(query.get('holdMs') ?? 0);
    return new Promise((resolve) => {
      let hasTimedOut = holdMs === 0;
      const check = (): void => {
        if (isRefused()) return;
        const newEntries = this.log.filter((entry) => entry.stamp > since && entry.key.startsWith(prefix));
        if (newEntries.length === 0 && !hasTimedOut) return;
        this.watchers.delete(check);
        resolve(
          jsonResponse(200, {
            epoch: this.epoch,
            log: newEntries.map((entry) =>
              entry.v === undefined
                ? { drop: entry.key, stamp: entry.stamp }
                : { put: entry.key, v: entry.v, stamp: entry.stamp },
            ),
          }),
        );
      };
      this.watchers.add(check);
      if (holdMs > 0)
        this.clock.setTimer(holdMs, () => {
          hasTimedOut = true;
          check();
        });
      check();
    });
  }
}
