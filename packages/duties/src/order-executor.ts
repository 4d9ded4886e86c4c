import type { Logger } from 'pino';
import { PeriodicActor, type Tick, RateBudget, type Clock } from '@pumicehinge/runtime';
import { CLOUD_BURST_S, CLOUD_SILENT_MS, DUTY_TICK_MS, ORDERS_IN_FLIGHT, RETRY_MS } from './constants.js';
import type { DutyGrant, DutyLeases } from './duty-leases.js';
import type { IndexedOrder, OrderIndex } from './order-index.js';
import type {
  CloudActions,
  CommitOutcome,
  DutyStore,
  LeaderView,
  RentResult,
  ReturnResult,
} from './ports.js';
import { encodeOrder, type GiveBackOrder, type Order, type OrderDuty, type RentOrder } from './records.js';

export interface OrderExecutorDeps {
  duty: OrderDuty;
  leases: Pick<DutyLeases, 'grantOf' | 'mayAct' | 'resign'>;
  index: OrderIndex;
  store: DutyStore;
  cloud: CloudActions;
  leader: () => LeaderView | undefined;
  /** Requests a second to the cloud. */
  cloudRps: number;
  clock: Clock;
  log: Logger;
}

type CallResult = RentResult | ReturnResult;

type Message =
  | { kind: 'look' }
  | { kind: 'finished'; key: string }
  | { kind: 'read'; token: number; succeeded: boolean }
  | { kind: 'written'; key: string; outcome: CommitOutcome }
  | { kind: 'called'; key: string; result: CallResult };

/**
 * Carries out the orders of one duty while this process holds it. Before each call to the cloud it records that the order
 * is carried out, under the duty's fence and the leader's; afterwards what came of it. A call that goes out late or twice
 * thus changes nothing: a rental has its own name for ever, and a machine that is to be given back is never used again.
 */
export class OrderExecutor extends PeriodicActor<Message> {
  private readonly budget: RateBudget;
  private readonly endListening: () => void;
  /** Orders of which a write or a call is under way. */
  private readonly busy = new Set<string>();
  private readonly notBeforeMs = new Map<string, number>();
  /** Answers of the cloud that are not recorded yet. */
  private readonly results = new Map<string, CallResult>();
  /** The token under which this process has read all that earlier holders recorded. */
  private readToken: number | undefined;
  private reading = false;
  /** Since when the cloud gives no answer at all, though it is asked. */
  private silentSinceMs = Infinity;

  constructor(
    private readonly deps: OrderExecutorDeps,
    onFailure: (error: unknown) => void,
  ) {
    super(deps.clock, DUTY_TICK_MS, deps.log, onFailure);
    this.budget = new RateBudget(deps.clock, deps.cloudRps);
    this.budget.setRate(deps.cloudRps, CLOUD_BURST_S);
    this.endListening = deps.index.onOrder(({ key, order }) => {
      if (order.duty !== deps.duty) return;
      this.send(order.state === 'done' ? { kind: 'finished', key } : { kind: 'look' });
    });
  }

  override stop(): void {
    super.stop();
    this.endListening();
  }

  protected receive(message: Message | Tick): void {
    switch (message.kind) {
      case 'tick':
        break;
      case 'look':
        break;
      case 'finished':
        this.results.delete(message.key);
        this.notBeforeMs.delete(message.key);
        break;
      case 'read':
        this.reading = false;
        if (message.succeeded) this.readToken = message.token;
        break;
      case 'written':
        this.onWritten(message.key, message.outcome);
        break;
      case 'called':
        this.onCalled(message.key, message.result);
    }
    this.work();
  }

  private now(): number {
    return this.deps.clock.steadyMs();
  }

  private work(): void {
    const grant = this.deps.leases.grantOf(this.deps.duty);
    if (!grant) {
      this.results.clear();
      this.silentSinceMs = Infinity;
      return;
    }
    if (grant.token !== this.readToken) return this.readAll(grant);
    for (const entry of this.dueOrders()) {
      if (this.busy.size >= ORDERS_IN_FLIGHT) return;
      this.advance(grant, entry);
    }
  }

  /** All that earlier holders recorded is read before anything is done: what they wrote later fails by our fence. */
  private readAll(grant: DutyGrant): void {
    if (this.reading) return;
    this.reading = true;
    const { token } = grant;
    this.deps.store.sync().then(
      () => this.send({ kind: 'read', token, succeeded: true }),
      () => this.deps.clock.after(RETRY_MS, () => this.send({ kind: 'read', token, succeeded: false })),
    );
  }

  /** What is recorded as being carried out comes before anything new. */
  private dueOrders(): IndexedOrder[] {
    const now = this.now();
    const { index, duty } = this.deps;
    const isDue = (order: Order): boolean => order.duty === duty && order.state !== 'done';
    const due = index
      .inOrder(isDue)
      .filter(({ key }) => !this.busy.has(key) && now >= (this.notBeforeMs.get(key) ?? -Infinity));
    const begun = due.filter(({ order }) => order.state === 'intended');
    return [...begun, ...due.filter(({ order }) => order.state === 'ordered')];
  }

  private advance(grant: DutyGrant, entry: IndexedOrder): void {
    const result = this.results.get(entry.key);
    if (entry.order.state === 'ordered') this.recordIntent(grant, entry);
    else if (result) this.recordResult(grant, entry, result);
    else this.callCloud(entry);
  }

  private recordIntent(grant: DutyGrant, { key, stamp, order }: IndexedOrder): void {
    const leader = this.deps.leader();
    // Void once the term that gave it is over; nobody acts beside a leader that does all itself.
    if (!leader?.delegates || leader.term !== order.id.term) return;
    const intended: Order = { ...order, state: 'intended', token: grant.token };
    const conditions = [grant.fence, leader.fence, { key, stamp }];
    this.write(key, conditions, encodeOrder(intended));
  }

  private recordResult(grant: DutyGrant, { key, stamp, order }: IndexedOrder, result: CallResult): void {
    const done: Order = { ...order, state: 'done', token: grant.token };
    if (done.duty === 'rent' && result.kind === 'rented') done.outcome = { names: result.names };
    if (done.duty === 'rent' && result.kind === 'refused') done.outcome = { refused: result.reason };
    this.write(key, [grant.fence, { key, stamp }], encodeOrder(done));
  }

  private write(key: string, conditions: Parameters<DutyStore['commit']>[0], value: unknown): void {
    this.busy.add(key);
    void this.deps.store
      .commit(conditions, [{ key, value }])
      .then((outcome) => this.send({ kind: 'written', key, outcome }));
  }

  private onWritten(key: string, outcome: CommitOutcome): void {
    this.busy.delete(key);
    if (outcome === 'applied') return;
    this.notBeforeMs.set(key, this.now() + RETRY_MS);
    // Changed by another, or not known: what stands there decides.
    if (outcome !== 'refused') this.readToken = undefined;
  }

  private callCloud({ key, order }: IndexedOrder): void {
    // A leader of a former version knows nothing of orders, and may use what they name.
    if (this.deps.leader()?.delegates === false || this.budget.waitMs(1) > 0) return;
    // Right before the call: after a pause another one may hold the duty.
    if (!this.deps.leases.mayAct()) return;
    this.budget.spend(1);
    this.busy.add(key);
    const call: Promise<CallResult> = order.duty === 'rent' ? this.rent(order) : this.giveBack(order);
    void call.then((result) => this.send({ kind: 'called', key, result }));
  }

  private rent({ name, offer, count }: RentOrder): Promise<RentResult> {
    return this.deps.cloud.rent(name, offer, count);
  }

  private giveBack({ names }: GiveBackOrder): Promise<ReturnResult> {
    return this.deps.cloud.giveBack(names);
  }

  private onCalled(key: string, result: CallResult): void {
    this.busy.delete(key);
    this.noteAnswer(result);
    if (result.kind === 'unknown') this.notBeforeMs.set(key, this.now() + RETRY_MS);
    else this.results.set(key, result);
  }

  /** A holder that is cut off from the cloud, though not from the state service, would keep the duty for ever. */
  private noteAnswer(result: CallResult): void {
    const now = this.now();
    const isSilent = result.kind === 'unknown' && !result.answered;
    this.silentSinceMs = isSilent ? Math.min(this.silentSinceMs, now) : Infinity;
    if (now - this.silentSinceMs < CLOUD_SILENT_MS) return;
    this.silentSinceMs = Infinity;
    this.deps.leases.resign(this.deps.duty, 'the cloud does not answer');
  }
}
