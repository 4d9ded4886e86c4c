import type { Clock } from '@pumicehinge/runtime';
import type { HttpResponse } from '../http/message.js';

interface Row {
  v: unknown;
  stamp: number;
  hold?: number;
}

interface LogEntry {
  key: string;
  v?: unknown;
  stamp: number;
}

const json = (status: number, body: unknown): HttpResponse => ({ status, body: JSON.stringify(body) });

/** Stand-in of the state service, written from its protocol. */
export class SimStateService {
  private readonly rows = new Map<string, Row>();
  private readonly leases = new Map<number, { ttlMs: number; endMs: number }>();
  private log: LogEntry[] = [];
  private epoch = 1;
  private holds = 0;
  private readonly watchers = new Set<() => void>();
  /** Callers that get 503; '*': everybody. */
  readonly refused = new Set<string>();
  /** Share of transactions that get no answer and are carried out seconds later, after newer ones. */
  lateShare = 0;
  /** Ms by which answers come late, drawn for each; undefined: at once. */
  slowMs: (() => number) | undefined;
  /** What one value and one transaction may hold; more gets 400. */
  limits = { valueBytes: 8192, txnOps: 12 };
  /** Transactions that got 400 for that. */
  malformed = 0;
  /** Requests, and puts and deletes, by the second in which they came. */
  readonly requests: number[] = [];
  readonly writes: number[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly random: () => number,
  ) {
    const tick = (): void => {
      this.expire();
      clock.after(50, tick);
    };
    tick();
  }

  /** The revision of a key; 0: there is none. */
  stampOf(key: string): number {
    return this.rows.get(key)?.stamp ?? 0;
  }

  /** The keys with a prefix. */
  keys(prefix: string): string[] {
    return [...this.rows.keys()].filter((key) => key.startsWith(prefix));
  }

  /** Changes of keys with a prefix so far. */
  writesOf(prefix: string): number {
    return this.log.filter(({ key }) => key.startsWith(prefix)).length;
  }

  /** The value of a key, as the service holds it. */
  peek(key: string): unknown {
    return this.rows.get(key)?.v;
  }

  /** An outage ends: every lease has its full time again. */
  endOutage(): void {
    this.refused.clear();
    for (const lease of this.leases.values()) lease.endMs = this.clock.steadyMs() + lease.ttlMs;
    this.wake();
  }

  async handle(from: string, method: string, target: string, body: string | undefined) {
    const second = Math.floor(this.clock.steadyMs() / 1000);
    this.requests[second] = (this.requests[second] ?? 0) + 1;
    const url = new URL(target, 'http://state');
    const query = url.searchParams;
    const refused = (): boolean => this.refused.has('*') || this.refused.has(from);
    if (refused()) return json(503, {});
    if (this.slowMs) await new Promise<void>((resolve) => this.clock.after(this.slowMs!(), resolve));
    if (url.pathname === '/follow') return this.follow(query, refused);
    if (url.pathname === '/keys') return this.page(query);
    if (url.pathname.startsWith('/keys/')) return this.get(url.pathname.slice('/keys/'.length));
    if (url.pathname === '/multi') {
      if (this.lateShare === 0 || this.random() >= this.lateShare) return this.multi(JSON.parse(body ?? ''));
      this.clock.after(2_000 + this.random() * 10_000, () => void this.multi(JSON.parse(body ?? '')));
      return undefined;
    }
    const [, , hold, touch] = url.pathname.split('/');
    if (hold === undefined) return this.grant(JSON.parse(body ?? '').ttlMs);
    const lease = this.leases.get(Number(hold));
    if (!lease) return json(404, {});
    if (method === 'DELETE') this.end(Number(hold));
    else if (touch) lease.endMs = this.clock.steadyMs() + lease.ttlMs;
    return json(200, {});
  }

  private grant(ttlMs: number): HttpResponse {
    const hold = ++this.holds;
    this.leases.set(hold, { ttlMs, endMs: this.clock.steadyMs() + ttlMs });
    return json(200, { hold });
  }

  private expire(): void {
    if (this.refused.has('*')) return;
    for (const [hold, lease] of this.leases) if (this.clock.steadyMs() >= lease.endMs) this.end(hold);
  }

  private end(hold: number): void {
    this.leases.delete(hold);
    const keys = [...this.rows].filter(([, row]) => row.hold === hold).map(([key]) => key);
    if (keys.length > 0) this.change(keys.map((key) => ({ drop: key })));
  }

  private change(operations: { put?: string; drop?: string; v?: unknown; hold?: number }[]): void {
    this.epoch++;
    for (const { put, drop, v, hold } of operations) {
      if (put !== undefined) {
        this.rows.set(put, { v, stamp: this.epoch, hold });
        this.log.push({ key: put, v, stamp: this.epoch });
      } else if (drop !== undefined && this.rows.delete(drop)) {
        this.log.push({ key: drop, stamp: this.epoch });
      }
    }
    this.wake();
  }

  private wake(): void {
    for (const watcher of [...this.watchers]) watcher();
  }

  private get(key: string): HttpResponse {
    const row = this.rows.get(key);
    return row ? json(200, { key, ...row }) : json(404, { epoch: this.epoch });
  }

  private page(query: URLSearchParams): HttpResponse {
    const prefix = query.get('starts') ?? '';
    const since = query.get('since') ?? '';
    const keys = [...this.rows.keys()].filter((key) => key.startsWith(prefix) && key > since).sort();
    const rows = keys.slice(0, Number(query.get('page') ?? 1000));
    return json(200, {
      rows: rows.map((key) => ({ key, ...this.rows.get(key)! })),
      more: rows.length < keys.length,
      epoch: this.epoch,
    });
  }

  private multi(txn: {
    if?: { key: string; stamp: number }[];
    apply?: { put?: string; drop?: string; v?: unknown; hold?: number }[];
  }): HttpResponse {
    const operations = txn.apply ?? [];
    const tooLarge = operations.some((o) => JSON.stringify(o.v ?? null).length > this.limits.valueBytes);
    const tooMany = operations.length > this.limits.txnOps || (txn.if ?? []).length > this.limits.txnOps * 4;
    if (tooLarge || tooMany || JSON.stringify(txn).length > 65_536) {
      this.malformed++;
      return json(400, { error: 'too large' });
    }
    const second = Math.floor(this.clock.steadyMs() / 1000);
    this.writes[second] = (this.writes[second] ?? 0) + operations.length;
    if (operations.some((o) => o.hold !== undefined && !this.leases.has(o.hold)))
      return json(400, { error: 'no such lease' });
    const failed = (txn.if ?? [])
      .filter((c) => (this.rows.get(c.key)?.stamp ?? 0) !== c.stamp)
      .map((c) => c.key);
    if (failed.length > 0) return json(409, { failed, epoch: this.epoch });
    this.change(operations);
    return json(200, { epoch: this.epoch });
  }

  private follow(query: URLSearchParams, refused: () => boolean): Promise<HttpResponse> {
    const prefix = query.get('starts') ?? '';
    const since = Number(query.get('since'));
    const holdMs = Number(query.get('holdMs') ?? 0);
    return new Promise((resolve) => {
      let over = holdMs === 0;
      const check = (): void => {
        if (refused()) return;
        const found = this.log.filter((entry) => entry.stamp > since && entry.key.startsWith(prefix));
        if (found.length === 0 && !over) return;
        this.watchers.delete(check);
        resolve(
          json(200, {
            epoch: this.epoch,
            log: found.map((e) =>
              e.v === undefined ? { drop: e.key, stamp: e.stamp } : { put: e.key, v: e.v, stamp: e.stamp },
            ),
          }),
        );
      };
      this.watchers.add(check);
      if (holdMs > 0)
        this.clock.after(holdMs, () => {
          over = true;
          check();
        });
      check();
    });
  }
}
