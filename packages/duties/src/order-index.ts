import type { Logger } from 'pino';
import type { DutyStore, Revision, RowChange } from './ports.js';
import { compareIds, decodeOrder, ORDERS, type Order } from './records.js';

export interface IndexedOrder {
  readonly key: string;
  readonly stamp: Revision;
  readonly order: Order;
}

/** All orders in the state service, each decoded once. What can't be read is told once, and left alone. */
export class OrderIndex {
  private readonly entries = new Map<string, IndexedOrder>();
  private readonly listeners: ((entry: IndexedOrder) => void)[] = [];

  constructor(
    store: DutyStore,
    private readonly log: Logger,
  ) {
    for (const row of store.rows(ORDERS)) this.take(row);
    store.onChange((change) => {
      if (change.key.startsWith(ORDERS)) this.take(change);
    });
  }

  /** Told of each order that appears or changes. The result ends that. */
  onOrder(listener: (entry: IndexedOrder) => void): () => void {
    this.listeners.push(listener);
    return () => void this.listeners.splice(this.listeners.indexOf(listener), 1);
  }

  get(key: string): IndexedOrder | undefined {
    return this.entries.get(key);
  }

  /** The oldest first. */
  inOrder(wanted: (order: Order) => boolean): IndexedOrder[] {
    return [...this.entries.values()]
      .filter(({ order }) => wanted(order))
      .sort((a, b) => compareIds(a.order.id, b.order.id));
  }

  private take({ key, value, stamp }: RowChange): void {
    if (value === undefined) {
      this.entries.delete(key);
      return;
    }
    const order = decodeOrder(key, value);
    if (!order) {
      this.entries.delete(key);
      this.log.warn({ key }, 'an order that can not be read is left alone');
      return;
    }
    const entry = { key, stamp, order };
    this.entries.set(key, entry);
    for (const listener of [...this.listeners]) listener(entry);
  }
}
