import type { Duties, GiveBackDuty, InheritedOrders, OrderBook, OrderEvent } from '@pumicehinge/duties';
import type { CloudEvent, Rental } from '../cloud/cloud.js';
import type { FleetOrders } from '../cloud/fleet-orders.js';
import { LEADER_KEY } from '../state/records.js';
import type { WireInt } from '../wire/json.js';

/** The leader writes down what it wants; the holders of duties carry it out. */
export class DelegatedOrders implements FleetOrders {
  private readonly book: OrderBook;

  constructor(
    duties: Duties,
    term: { number: number; stamp: WireInt },
    valueBytes: number,
    events: (event: CloudEvent) => void,
    onFailure: (error: unknown) => void,
  ) {
    const fence = { key: LEADER_KEY, stamp: term.stamp };
    const tell = (event: OrderEvent): void => events(cloudEventOf(event));
    this.book = duties.openBook({ term: term.number, fence, valueBytes, events: tell }, onFailure);
  }

  inherited(): InheritedOrders {
    return this.book.inherited();
  }

  stop(): void {
    this.book.stop();
  }

  rent({ name, offer, count }: Rental): void {
    this.book.send({ kind: 'rent', name, offer, count });
  }

  giveBack(duty: GiveBackDuty, names: string[]): void {
    this.book.send({ kind: 'giveBack', duty, names });
  }
}

/** What has become of an order, in the words in which the leader hears of its own calls. */
function cloudEventOf(event: OrderEvent): CloudEvent {
  switch (event.kind) {
    case 'rented':
    case 'notRented': {
      const { name, offer, count } = event;
      const rental = { name, offer, count };
      return event.kind === 'rented'
        ? { kind: 'rented', rental, names: event.names }
        : { kind: 'notRented', rental, reason: event.reason };
    }
    case 'givenBack':
      return { kind: 'returned', names: event.names };
  }
}
