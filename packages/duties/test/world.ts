import { pino } from 'pino';
import type { Clock } from '@pumicehinge/runtime';
import { ProcessClock, SimClock } from '@pumicehinge/runtime/simulated-clock';
import {
  decodeOrder,
  holderKey,
  ORDERS,
  type CloudActions,
  type CommitOutcome,
  type Condition,
  type DutyStore,
  type LeaderView,
  type Offer,
  type Operation,
  type Order,
  type RentResult,
  type ReturnResult,
  type Revision,
  type RowChange,
  type StoredRow,
} from '@pumicehinge/duties';

/** What happens to one message: when it arrives, when its answer is back, and whether that is lost. */
export interface Fate {
  thereMs: number;
  backMs: number;
  answerLost: boolean;
}

export type Fates = () => Fate;

export const LEADER = 'leader';

/** How long a caller waits for an answer. */
const CALL_MS = 1_500;
const STANDARD_MS = 5;

/** An order as it was written, by when. */
export interface OrderWrite {
  by: string;
  order: Order;
  /** Who held the order's duty as it was written. */
  holder: string | undefined;
}

interface Row {
  value: unknown;
  stamp: number;
  hold: number | undefined;
}

/** Stand-in of the state service: rows, conditional transactions, leases. */
export class StoreService {
  readonly rows = new Map<string, Row>();
  readonly orderWrites: OrderWrite[] = [];
  readonly tokens: { key: string; value: unknown }[] = [];
  private readonly leases = new Map<number, { ttlMs: number; endMs: number }>();
  private readonly followers: ((changes: RowChange[]) => void)[] = [];
  private epoch = 0;
  /** Members that get no service; '*': nobody does. */
  readonly refused = new Set<string>();
  /** Taken out: the holder of a duty is not compared any more. */
  withoutFences = false;

  constructor(readonly clock: SimClock) {
    const tick = (): void => {
      this.expire();
      clock.after(50, tick);
    };
    tick();
  }

  get revision(): number {
    return this.epoch;
  }

  refuses(member: string): boolean {
    return this.refused.has(member) || this.refused.has('*');
  }

  endOutage(): void {
    this.refused.clear();
    for (const lease of this.leases.values()) lease.endMs = this.clock.steadyMs() + lease.ttlMs;
  }

  follow(follower: (changes: RowChange[]) => void): void {
    this.followers.push(follower);
  }

  holderOf(duty: Order['duty'] | 'cleanup'): string | undefined {
    return (this.rows.get(holderKey(duty))?.value as { member: string } | undefined)?.member;
  }

  order(key: string): Order | undefined {
    return decodeOrder(key, this.rows.get(key)?.value);
  }

  orders(): Order[] {
    return [...this.rows.keys()]
      .filter((key) => key.startsWith(ORDERS))
      .map((key) => this.order(key))
      .filter((order) => order !== undefined);
  }

  grant(ttlMs: number): number {
    const lease = ++this.epoch;
    this.leases.set(lease, { ttlMs, endMs: this.clock.steadyMs() + ttlMs });
    return lease;
  }

  renew(lease: number): boolean {
    const found = this.leases.get(lease);
    if (found) found.endMs = this.clock.steadyMs() + found.ttlMs;
    return found !== undefined;
  }

  end(lease: number): void {
    this.leases.delete(lease);
    const keys = [...this.rows].filter(([, row]) => row.hold === lease).map(([key]) => key);
    this.apply(
      'lease',
      keys.map((key) => ({ key, value: undefined })),
    );
  }

  commit(by: string, conditions: Condition[], operations: Operation[]): CommitOutcome {
    if (operations.some(({ hold }) => hold !== undefined && !this.leases.has(Number(hold)))) return 'refused';
    const failed = conditions.some(
      ({ key, stamp }) =>
        !(this.withoutFences && key.startsWith(holderKey('rent').slice(0, -'rent'.length)) && stamp !== 0) &&
        (this.rows.get(key)?.stamp ?? 0) !== stamp,
    );
    if (failed) return 'conflict';
    this.apply(by, operations);
    return 'applied';
  }

  private expire(): void {
    if (this.refused.has('*')) return;
    const now = this.clock.steadyMs();
    for (const [lease, { endMs }] of this.leases) if (now >= endMs) this.end(lease);
  }

  private apply(by: string, operations: Operation[]): void {
    if (operations.length === 0) return;
    const stamp = ++this.epoch;
    const changes: RowChange[] = [];
    for (const { key, value, hold } of operations) {
      if (value === undefined) this.rows.delete(key);
      else this.rows.set(key, { value, stamp, hold: hold === undefined ? undefined : Number(hold) });
      changes.push({ key, value, stamp });
      this.note(by, key, value);
    }
    for (const follower of this.followers) follower(changes);
  }

  private note(by: string, key: string, value: unknown): void {
    if (key.startsWith('ph/duty-token/')) this.tokens.push({ key, value });
    const order = decodeOrder(key, value);
    if (order)
      this.orderWrites.push({
        by,
        order,
        holder: this.holderOf(order.duty),
      });
  }
}

/** One process: its clock, which it can't see standing still, and what reaches it meanwhile. */
export class ModelProcess {
  readonly clock: ProcessClock;
  private paused = false;
  private readonly waiting: (() => void)[] = [];
  /** Added to what its steady clock shows. */
  clockErrorMs = 0;

  constructor(
    readonly member: string,
    base: SimClock,
  ) {
    this.clock = new ProcessClock(base, (run) => this.run(run));
  }

  /** The clock as the process sees it. */
  get seenClock(): Clock {
    return {
      steadyMs: () => this.clock.steadyMs() + this.clockErrorMs,
      // The time of day plays no part, however wrong it is.
      wallMs: () => this.clock.wallMs() + this.clockErrorMs * 1_000,
      after: (ms, run) => this.clock.after(ms, run),
    };
  }

  get isAlive(): boolean {
    return this.clock.isAlive;
  }

  /** Runs at once, or when the process goes on. */
  run(action: () => void): void {
    if (this.paused) this.waiting.push(action);
    else if (this.isAlive) action();
  }

  pause(): void {
    this.paused = true;
  }

  resume(): void {
    this.paused = false;
    for (const action of this.waiting.splice(0)) this.run(action);
  }

  kill(): void {
    this.clock.kill();
  }
}

/** The state service as one process reaches it, through a copy that lags behind. */
export class ModelStore implements DutyStore {
  private readonly copy = new Map<string, StoredRow>();
  private readonly listeners: ((change: RowChange) => void)[] = [];
  private served = true;
  private caughtUpMs = -Infinity;

  constructor(
    private readonly service: StoreService,
    private readonly process: ModelProcess,
    private readonly fates: Fates,
  ) {
    for (const [key, { value, stamp }] of service.rows) this.copy.set(key, { key, value, stamp });
    service.follow((changes) => {
      // In order, like a watch: one that comes late holds up those after it.
      const delayMs = Math.min(this.fates().thereMs, CALL_MS);
      this.caughtUpMs = Math.max(this.caughtUpMs, service.clock.steadyMs() + delayMs);
      const waitMs = this.caughtUpMs - service.clock.steadyMs();
      service.clock.after(waitMs, () => this.whenServed(() => this.learn(changes)));
    });
  }

  isReady(): boolean {
    return this.served;
  }

  get(key: string): StoredRow | undefined {
    return this.copy.get(key);
  }

  rows(prefix: string): Iterable<StoredRow> {
    return [...this.copy.values()].filter(({ key }) => key.startsWith(prefix));
  }

  onChange(listener: (change: RowChange) => void): void {
    this.listeners.push(listener);
  }

  sync(): Promise<void> {
    return this.call(() => {
      const rows = [...this.service.rows].map(([key, { value, stamp }]) => ({ key, value, stamp }));
      const gone = [...this.copy.values()].filter(({ key }) => !this.service.rows.has(key));
      return [...rows, ...gone.map(({ key, stamp }) => ({ key, value: undefined, stamp }))];
    }).then((changes) => this.learn(changes));
  }

  commit(conditions: Condition[], operations: Operation[]): Promise<CommitOutcome> {
    return this.call(() => {
      const outcome = this.service.commit(this.process.member, conditions, operations);
      return { outcome, stamp: this.service.revision };
    }).then(
      ({ outcome, stamp }) => {
        if (outcome === 'applied') this.learn(operations.map(({ key, value }) => ({ key, value, stamp })));
        return outcome;
      },
      (error: Error) => (error.message === 'refused' ? 'refused' : 'unclear'),
    );
  }

  grantLease(ttlMs: number): Promise<Revision> {
    return this.call(() => this.service.grant(ttlMs));
  }

  renewLease(lease: Revision): Promise<boolean> {
    return this.call(() => this.service.renew(Number(lease)));
  }

  endLease(lease: Revision): Promise<void> {
    return this.call(() => this.service.end(Number(lease)));
  }

  /** The process reads all that changed while it was not served. */
  private whenServed(run: () => void): void {
    if (this.service.refuses(this.process.member)) {
      this.service.clock.after(CALL_MS, () => this.whenServed(run));
      return;
    }
    this.process.run(run);
  }

  private learn(changes: RowChange[]): void {
    for (const change of changes) {
      const known = this.copy.get(change.key);
      if (known && known.stamp > change.stamp) continue;
      if (known?.stamp === change.stamp && change.value !== undefined) continue;
      if (change.value === undefined) this.copy.delete(change.key);
      else this.copy.set(change.key, change);
      for (const listener of this.listeners) listener(change);
    }
  }

  private call<T>(execute: () => T): Promise<T> {
    return send(this.service.clock, this.process, this.fates(), () => {
      this.served = !this.service.refuses(this.process.member);
      if (!this.served) throw new Error('refused');
      return execute();
    });
  }
}

/** One request: it is carried out when it arrives, also when its sender has long given up. */
function send<T>(clock: SimClock, process: ModelProcess, fate: Fate, execute: () => T): Promise<T> {
  return new Promise<T>((resolve, reject) => {
    const settle = (ms: number, run: () => void): void => void clock.after(ms, () => process.run(run));
    settle(CALL_MS, () => reject(new Error('no answer')));
    clock.after(fate.thereMs, () => {
      let answer: () => void;
      try {
        const result = execute();
        answer = () => resolve(result);
      } catch (error) {
        answer = () => reject(error as Error);
      }
      if (!fate.answerLost) settle(fate.backMs, answer);
    });
  });
}

/** A call that reached the cloud, and what it changed. */
export interface CloudArrival {
  sender: string;
  /** Who held the duty as it arrived. */
  holder: string | undefined;
  action: 'rent' | 'giveBack';
  /** The request's name, or the machines' names. */
  subject: string;
  /** Machines that came or went. */
  changed: string[];
  /** Whether it was on record before that this is carried out. */
  isCovered: boolean;
}

/** Stand-in of the cloud. */
export class CloudService {
  readonly machines = new Set<string>();
  readonly arrivals: CloudArrival[] = [];
  private readonly answered = new Map<string, string[]>();
  private count = 0;
  onDeleted: (name: string) => void = () => undefined;
  capacity = Infinity;
  /** Members that it does not answer. */
  readonly cut = new Set<string>();

  constructor(private readonly store: StoreService) {}

  rent(sender: string, name: string, count: number): string[] | undefined {
    const known = this.answered.get(name);
    const names = known ?? this.create(count);
    if (names.length > 0) this.answered.set(name, names);
    const covers = (order: Order): boolean => order.duty === 'rent' && order.name === name;
    this.note({ sender, action: 'rent', subject: name, changed: known ? [] : names }, covers);
    return names.length > 0 ? names : undefined;
  }

  giveBack(sender: string, names: string[]): void {
    for (const name of names) {
      const changed = this.machines.delete(name) ? [name] : [];
      if (changed.length > 0) this.onDeleted(name);
      const covers = (order: Order): boolean => order.duty !== 'rent' && order.names.includes(name);
      this.note({ sender, action: 'giveBack', subject: name, changed }, covers);
    }
  }

  private create(count: number): string[] {
    const names: string[] = [];
    while (names.length < count && this.machines.size < this.capacity) {
      const name = `vm-${++this.count}`;
      this.machines.add(name);
      names.push(name);
    }
    return names;
  }

  private note(
    arrival: Pick<CloudArrival, 'sender' | 'action' | 'subject' | 'changed'>,
    covers: (order: Order) => boolean,
  ): void {
    const intents = this.store.orderWrites.filter(({ order }) => order.state === 'intended' && covers(order));
    const holder = intents[0] && this.store.holderOf(intents[0].order.duty);
    this.arrivals.push({ holder, isCovered: intents.length > 0, ...arrival });
  }
}

/** The cloud as one process reaches it. */
export class ModelCloud implements CloudActions {
  constructor(
    private readonly service: CloudService,
    private readonly clock: SimClock,
    private readonly process: ModelProcess,
    private readonly fates: Fates,
  ) {}

  rent(name: string, _offer: Offer, count: number): Promise<RentResult> {
    return this.call(() => this.service.rent(this.process.member, name, count)).then(
      (names): RentResult => (names ? { kind: 'rented', names } : { kind: 'refused', reason: 'no capacity' }),
      (): RentResult => ({ kind: 'unknown', answered: false }),
    );
  }

  giveBack(names: string[]): Promise<ReturnResult> {
    return this.call(() => this.service.giveBack(this.process.member, names)).then(
      (): ReturnResult => ({ kind: 'returned' }),
      (): ReturnResult => ({ kind: 'unknown', answered: false }),
    );
  }

  private call<T>(execute: () => T): Promise<T> {
    if (this.service.cut.has(this.process.member)) return Promise.reject(new Error('cut'));
    return send(this.clock, this.process, this.fates(), execute);
  }
}

export const PROMPT: Fates = () => ({ thereMs: STANDARD_MS, backMs: STANDARD_MS, answerLost: false });

/** The leader as a copy of the state service shows it. */
export function viewOf(store: DutyStore): LeaderView | undefined {
  const row = store.get(LEADER);
  if (!row) return undefined;
  const leader = row.value as Omit<LeaderView, 'fence'>;
  return { fence: { key: LEADER, stamp: row.stamp }, ...leader };
}

export const silent = pino({ level: 'silent' });
