import type { Logger } from 'pino';
import type { Clock } from '@pumicehinge/runtime';
import { DutyLeases, type DutyGrant } from './duty-leases.js';
import { OrderBook, type OrderBookDeps } from './order-book.js';
import { OrderExecutor } from './order-executor.js';
import { OrderIndex } from './order-index.js';
import type { CloudActions, DutyStore, LeaderView } from './ports.js';
import { DUTIES, type Duty, type OrderDuty } from './records.js';
import { StateCleanup, type StateCleanupDeps } from './state-cleanup.js';

export interface DutiesDeps {
  member: string;
  store: DutyStore;
  cloud: CloudActions;
  leader: () => LeaderView | undefined;
  removable: StateCleanupDeps['removable'];
  /** Most puts and deletes in one transaction. */
  txnOps: number;
  /** Requests a second to the cloud, by duty. */
  cloudRps: Record<OrderDuty, number>;
  clock: Clock;
  random: () => number;
  log: Logger;
}

/** The duties in one controller: it becomes a candidate for those that are free, and carries out those that it holds. */
export class Duties {
  private readonly index: OrderIndex;
  private readonly leases: DutyLeases;
  private readonly executors: OrderExecutor[];
  private readonly cleanup: StateCleanup;

  constructor(private readonly deps: DutiesDeps) {
    const { member, store, leader, clock, random, log } = deps;
    this.index = new OrderIndex(store, log);
    const { index } = this;
    this.leases = new DutyLeases({ member, store, leader, clock, random, log });
    const { leases } = this;
    const orderDuties = DUTIES.filter((duty) => duty !== 'cleanup');
    this.executors = orderDuties.map(
      (duty) =>
        new OrderExecutor({
          ...{ duty, leases, index, store, leader, clock, log },
          cloud: deps.cloud,
          cloudRps: deps.cloudRps[duty],
        }),
    );
    const { removable, txnOps } = deps;
    this.cleanup = new StateCleanup({ leases, index, store, leader, removable, txnOps, clock, log });
  }

  start(): void {
    this.leases.start();
    for (const executor of this.executors) executor.start();
    this.cleanup.start();
  }

  stop(): void {
    this.leases.stop();
    for (const executor of this.executors) executor.stop();
    this.cleanup.stop();
  }

  /** The duties that this process holds, as far as it knows. */
  held(): DutyGrant[] {
    return DUTIES.map((duty) => this.leases.grantOf(duty)).filter((grant) => grant !== undefined);
  }

  /** Leaves a duty to the others. */
  resign(duty: Duty, reason: string): void {
    this.leases.resign(duty, reason);
  }

  /** The orders of a term that this process leads. */
  openBook(
    book: Pick<OrderBookDeps, 'term' | 'fence' | 'valueBytes' | 'events'>,
    onFailure: (error: unknown) => void,
  ): OrderBook {
    const { store, clock, log } = this.deps;
    const { index, leases } = this;
    return new OrderBook({ ...book, index, leases, store, clock, log }, onFailure);
  }
}
