import { Duties, DUTIES, type OrderBook, type OrderEvent } from '@pumicehinge/duties';
import { SimClock } from '@pumicehinge/runtime/simulated-clock';
import {
  CloudService,
  LEADER,
  ModelCloud,
  ModelProcess,
  ModelStore,
  silent,
  StoreService,
  viewOf,
  type Fates,
} from './world.js';

const OFFER = { type: 'm4', zone: 'east', spot: false };
const LEADER_LOOK_MS = 500;

/** A leader that keeps as many machines as it is told to, and takes each one that it knows for usable. */
class ModelLeader {
  readonly usable: Set<string>;
  /** Machines on their way, by the rental's name. */
  private readonly renting = new Map<string, number>();
  /** Machines on which nothing may be placed any more: the end of their rental may be told after that. */
  private readonly over: Set<string>;
  private readonly book: OrderBook;
  private rentals = 0;

  constructor(
    private readonly term: number,
    stamp: number,
    private readonly process: ModelProcess,
    duties: Duties,
    machines: Iterable<string>,
    private readonly wanted: () => number,
  ) {
    const fence = { key: LEADER, stamp };
    this.book = duties.openBook(
      { term, fence, valueBytes: 8192, events: (event) => this.take(event) },
      () => undefined,
    );
    const { renting, leaving, gone } = this.book.inherited();
    this.over = new Set([...leaving, ...gone]);
    this.usable = new Set([...machines].filter((name) => !this.over.has(name)));
    for (const { name, count } of renting) this.renting.set(name, count);
    this.look();
  }

  private look(): void {
    const coming = [...this.renting.values()].reduce((sum, count) => sum + count, 0);
    const missing = this.wanted() - this.usable.size - coming;
    if (missing > 0) {
      const name = `r-${this.term}-${++this.rentals}`;
      const count = Math.min(2, missing);
      this.renting.set(name, count);
      this.book.send({ kind: 'rent', name, offer: OFFER, count });
    }
    for (const name of [...this.usable].slice(0, Math.max(0, this.usable.size - this.wanted()))) {
      this.usable.delete(name);
      this.over.add(name);
      this.book.send({
        kind: 'giveBack',
        duty: Number(name.slice(3)) % 2 ? 'return' : 'reclaim',
        names: [name],
      });
    }
    this.process.clock.after(LEADER_LOOK_MS, () => this.look());
  }

  private take(event: OrderEvent): void {
    if (event.kind === 'givenBack') return;
    this.renting.delete(event.name);
    if (event.kind === 'rented')
      for (const name of event.names) if (!this.over.has(name)) this.usable.add(name);
  }
}

interface Controller {
  process: ModelProcess;
  store: ModelStore;
  duties: Duties;
}

/** Several controllers with their duties, and stand-ins of the state service and the cloud, on simulated time. */
export class ModelCluster {
  readonly clock = new SimClock();
  readonly service = new StoreService(this.clock);
  readonly cloud = new CloudService(this.service);
  /** Deletions of a machine that the leader of that moment took for usable. */
  readonly usedWhenDeleted: string[] = [];
  wanted = 4;
  private readonly controllers = new Map<string, Controller>();
  private leading: { leader: ModelLeader; term: number } | undefined;

  constructor(
    readonly members: readonly string[],
    private readonly random: () => number,
    public fates: Fates,
  ) {
    this.cloud.onDeleted = (name) => {
      const term = (this.service.rows.get(LEADER)?.value as { term: number } | undefined)?.term;
      if (this.leading?.term === term && this.leading?.leader.usable.has(name))
        this.usedWhenDeleted.push(name);
    };
    for (const member of members) this.start(member);
  }

  start(member: string): void {
    const process = new ModelProcess(member, this.clock);
    const fates: Fates = () => this.fates();
    const store = new ModelStore(this.service, process, fates);
    const duties = new Duties({
      member,
      store,
      cloud: new ModelCloud(this.cloud, this.clock, process, fates),
      leader: () => viewOf(store),
      removable: () => [],
      txnOps: 12,
      cloudRps: { rent: 4, return: 4, reclaim: 4 },
      clock: process.seenClock,
      random: this.random,
      log: silent,
    });
    this.controllers.set(member, { process, store, duties });
    duties.start();
  }

  processOf(member: string): ModelProcess {
    return this.controllers.get(member)!.process;
  }

  dutiesOf(member: string): Duties {
    return this.controllers.get(member)!.duties;
  }

  /** Whoever holds a duty by the state service. */
  holders(): (string | undefined)[] {
    return DUTIES.map((duty) => this.service.holderOf(duty));
  }

  crash(member: string, backMs: number): void {
    this.processOf(member).kill();
    this.clock.after(backMs, () => this.start(member));
  }

  pause(member: string, forMs: number): void {
    const process = this.processOf(member);
    process.pause();
    this.clock.after(forMs, () => process.resume());
  }

  /** The controller leads from now on, with a higher term. */
  async elect(member: string, delegates = true): Promise<void> {
    const { process, store, duties } = this.controllers.get(member)!;
    const known = this.service.rows.get(LEADER);
    const term = ((known?.value as { term: number } | undefined)?.term ?? 0) + 1;
    const conditions = [{ key: LEADER, stamp: known?.stamp ?? 0 }];
    const value = { term, member, delegates };
    const outcome = this.service.commit(member, conditions, [{ key: LEADER, value }]);
    const { stamp } = this.service.rows.get(LEADER)!;
    if (outcome !== 'applied') return;
    this.leading = undefined;
    if (!delegates) return;
    for (;;) {
      try {
        await store.sync();
        break;
      } catch {
        await new Promise<void>((resolve) => process.clock.after(300, resolve));
      }
    }
    if (this.service.rows.get(LEADER)?.stamp !== stamp || !process.isAlive) return;
    const machines = this.cloud.machines;
    const leader = new ModelLeader(term, stamp, process, duties, machines, () => this.wanted);
    this.leading = { leader, term };
  }
}
