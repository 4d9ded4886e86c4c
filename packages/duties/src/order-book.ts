import type { Logger } from 'pino';
import { Actor, type Clock } from '@pumicehinge/runtime';
import {
  GATHER_RECLAIMS_MS,
  GATHER_RETURNS_MS,
  NAME_BYTES,
  NAMES_MAX,
  ORDER_BYTES,
  RETRY_MS,
} from './constants.js';
import type { DutyLeases } from './duty-leases.js';
import type { IndexedOrder, OrderIndex } from './order-index.js';
import type { CommitOutcome, Condition, DutyStore, RefusalReason } from './ports.js';
import { encodeOrder, orderKey, type GiveBackDuty, type Offer, type Order, type OrderId } from './records.js';

/** What has become of an order of this term or an earlier one. */
export type OrderEvent =
  | { kind: 'rented'; name: string; offer: Offer; count: number; names: string[] }
  | { kind: 'notRented'; name: string; offer: Offer; count: number; reason: RefusalReason }
  | { kind: 'givenBack'; names: string[] };

export interface OrderBookDeps {
  term: number;
  /** Condition under which the term goes on. */
  fence: Condition;
  index: OrderIndex;
  leases: Pick<DutyLeases, 'grantOf'>;
  store: DutyStore;
  /** Largest value of the state service. */
  valueBytes: number;
  events: (event: OrderEvent) => void;
  clock: Clock;
  log: Logger;
}

type Message =
  | { kind: 'rent'; name: string; offer: Offer; count: number }
  | { kind: 'giveBack'; duty: GiveBackDuty; names: string[] }
  | { kind: 'gathered'; duty: GiveBackDuty }
  | { kind: 'retry'; order: Order }
  | { kind: 'written'; order: Order; outcome: CommitOutcome }
  | { kind: 'seen'; entry: IndexedOrder };

/** What earlier terms have left: nothing new is decided about these machines. */
export interface InheritedOrders {
  /** Rentals that are being carried out. */
  renting: { name: string; offer: Offer; count: number }[];
  /** Machines of rentals that were carried out lately. */
  rented: { names: string[]; offer: Offer }[];
  /** Machines that are being given back: nothing may be placed on them any more. */
  leaving: string[];
  /** Machines that are gone. */
  gone: string[];
}

/** The leader's side: writes what it wants done under its term, and tells it what came of that. */
export class OrderBook extends Actor<Message> {
  private sequence = 0;
  private readonly gathered = new Map<GiveBackDuty, Set<string>>();
  /** Orders whose end was told already. */
  private readonly told = new Set<string>();
  private readonly endListening: () => void;

  constructor(
    private readonly deps: OrderBookDeps,
    onFailure: (error: unknown) => void,
  ) {
    super(deps.log, onFailure);
    for (const { key } of deps.index.inOrder((order) => order.state === 'done')) this.told.add(key);
    this.endListening = deps.index.onOrder((entry) => this.send({ kind: 'seen', entry }));
  }

  override stop(): void {
    super.stop();
    this.endListening();
  }

  /** What stands in the state service as this term begins. Orders nobody began are void with their term. */
  inherited(): InheritedOrders {
    const left: InheritedOrders = { renting: [], rented: [], leaving: [], gone: [] };
    for (const { order } of this.deps.index.inOrder(({ state }) => state !== 'ordered')) {
      const isDone = order.state === 'done';
      if (order.duty !== 'rent') (isDone ? left.gone : left.leaving).push(...order.names);
      else if (!isDone) left.renting.push({ name: order.name, offer: order.offer, count: order.count });
      else if (order.outcome && 'names' in order.outcome)
        left.rented.push({ names: order.outcome.names, offer: order.offer });
    }
    return left;
  }

  protected receive(message: Message): void {
    switch (message.kind) {
      case 'rent': {
        const { name, offer, count } = message;
        return this.write({
          id: this.nextId(),
          state: 'ordered',
          token: 0,
          duty: 'rent',
          name,
          offer,
          count,
        });
      }
      case 'giveBack':
        return this.gather(message.duty, message.names);
      case 'gathered':
        return this.writeGathered(message.duty);
      case 'retry':
        return this.write(message.order);
      case 'written':
        return this.onWritten(message.order, message.outcome);
      case 'seen':
        return this.tell(message.entry);
    }
  }

  private nextId(): OrderId {
    return { term: this.deps.term, sequence: ++this.sequence };
  }

  private gather(duty: GiveBackDuty, names: string[]): void {
    let set = this.gathered.get(duty);
    if (!set) {
      this.gathered.set(duty, (set = new Set<string>()));
      const waitMs = duty === 'return' ? GATHER_RETURNS_MS : GATHER_RECLAIMS_MS;
      this.deps.clock.after(waitMs, () => this.send({ kind: 'gathered', duty }));
    }
    for (const name of names) set.add(name);
  }

  private writeGathered(duty: GiveBackDuty): void {
    const fitting = Math.floor((this.deps.valueBytes - ORDER_BYTES) / NAME_BYTES);
    const most = Math.max(1, Math.min(NAMES_MAX, fitting));
    const names = [...(this.gathered.get(duty) ?? [])];
    this.gathered.delete(duty);
    for (let from = 0; from < names.length; from += most) {
      const part = names.slice(from, from + most);
      this.write({ id: this.nextId(), state: 'ordered', token: 0, duty, names: part });
    }
  }

  /** Where this process holds the duty as well, the order and the intent to carry it out are one write. */
  private write(order: Order): void {
    const key = orderKey(order.id);
    const grant = this.deps.leases.grantOf(order.duty);
    const written: Order = grant ? { ...order, state: 'intended', token: grant.token } : order;
    const conditions = [this.deps.fence, ...(grant ? [grant.fence] : []), { key, stamp: 0 }];
    void this.deps.store
      .commit(conditions, [{ key, value: encodeOrder(written) }])
      .then((outcome) => this.send({ kind: 'written', order, outcome }));
  }

  private onWritten(order: Order, outcome: CommitOutcome): void {
    if (outcome === 'applied') return;
    if (outcome === 'refused') return this.retryLater(order);
    // A conflict means that the term is over, or that an earlier try was applied late. Only a read tells.
    this.deps.store.sync().then(
      () => {
        if (!this.deps.index.get(orderKey(order.id)) && this.isTermOurs()) this.retryLater(order);
      },
      () => this.retryLater(order),
    );
  }

  private isTermOurs(): boolean {
    const { key, stamp } = this.deps.fence;
    return this.deps.store.get(key)?.stamp === stamp;
  }

  private retryLater(order: Order): void {
    this.deps.clock.after(RETRY_MS, () => this.send({ kind: 'retry', order }));
  }

  /** Each end once: the same order may be seen several times. */
  private tell({ key, order }: IndexedOrder): void {
    if (order.state !== 'done' || this.told.has(key)) return;
    this.told.add(key);
    if (order.duty !== 'rent') return this.deps.events({ kind: 'givenBack', names: order.names });
    const { name, offer, count, outcome } = order;
    if (!outcome) return;
    if ('names' in outcome) this.deps.events({ kind: 'rented', name, offer, count, names: outcome.names });
    else this.deps.events({ kind: 'notRented', name, offer, count, reason: outcome.refused });
  }
}
