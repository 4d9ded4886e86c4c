import type { Logger } from 'pino';
import type { Clock } from '@pumicehinge/runtime';
import { REBUILD_MS } from './constants.js';
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

/** The parts that share what this process holds; one that fails takes the others with it. */
interface Parts {
  leases: DutyLeases;
  executors: OrderExecutor[];
  cleanup: StateCleanup;
}

/** The duties in one controller: it becomes a candidate for those that are free, and carries out those that it holds. */
export class Duties {
  private readonly index: OrderIndex;
  private parts: Parts;

  constructor(private readonly deps: DutiesDeps) {
    this.index = new OrderIndex(deps.store, deps.log);
    this.parts = this.build();
  }

  start(): void {
    const { leases, executors, cleanup } = this.parts;
    for (const part of [leases, ...executors, cleanup]) part.start();
  }

  stop(): void {
    const { leases, executors, cleanup } = this.parts;
    for (const part of [leases, ...executors, cleanup]) part.stop();
  }

  /** The duties that this process holds, as far as it knows. */
  held(): DutyGrant[] {
    return DUTIES.map((duty) => this.parts.leases.grantOf(duty)).filter((grant) => grant !== undefined);
  }

  /** Leaves a duty to the others. */
  resign(duty: Duty, reason: string): void {
    this.parts.leases.resign(duty, reason);
  }

  /** The orders of a term that this process leads. */
  openBook(
    book: Pick<OrderBookDeps, 'term' | 'fence' | 'valueBytes' | 'events'>,
    onFailure: (error: unknown) => void,
  ): OrderBook {
    const { store, clock, log } = this.deps;
    const { index } = this;
    const leases = { grantOf: (duty: Duty) => this.parts.leases.grantOf(duty) };
    return new OrderBook({ ...book, index, leases, store, clock, log }, onFailure);
  }

  private build(): Parts {
    const { member, store, leader, removable, txnOps, cloud, cloudRps, clock, random, log } = this.deps;
    const { index } = this;
    const onFailure = (): void => this.rebuild();
    const leases = new DutyLeases({ member, store, leader, clock, random, log }, onFailure);
    const common = { leases, index, store, leader, clock, log };
    const executors = DUTIES.filter((duty) => duty !== 'cleanup').map(
      (duty) => new OrderExecutor({ ...common, duty, cloud, cloudRps: cloudRps[duty] }, onFailure),
    );
    return { leases, executors, cleanup: new StateCleanup({ ...common, removable, txnOps }, onFailure) };
  }

  /** All begin anew with another session: what the former one held is found in the state service, and freed. */
  private rebuild(): void {
    this.stop();
    this.parts = this.build();
    this.deps.clock.after(REBUILD_MS, () => this.start());
  }
}
