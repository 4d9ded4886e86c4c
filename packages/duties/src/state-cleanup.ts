import type { Logger } from 'pino';
import { PeriodicActor, type Tick, type Clock } from '@pumicehinge/runtime';
import { CLEANUP_BATCH, CLEANUP_EVERY_MS, RENTAL_KEEP_MS, RETURN_KEEP_MS } from './constants.js';
import type { DutyLeases } from './duty-leases.js';
import type { OrderIndex } from './order-index.js';
import type { Condition, DutyStore, LeaderView, Revision } from './ports.js';
import type { Order } from './records.js';

/** A row that nobody reads any more, and what must still hold when it is deleted. */
export interface RemovableRow {
  key: string;
  stamp: Revision;
  conditions: Condition[];
}

export interface StateCleanupDeps {
  leases: Pick<DutyLeases, 'grantOf'>;
  index: OrderIndex;
  store: DutyStore;
  leader: () => LeaderView | undefined;
  /** Rows of the owner of this process that nobody reads any more; at most so many. */
  removable: (most: number) => RemovableRow[];
  /** Most puts and deletes in one transaction. */
  txnOps: number;
  clock: Clock;
  log: Logger;
}

type Message = { kind: 'ended'; removed: number };

/**
 * Deletes orders that are over and other rows that nobody reads, a few at a time, while this process holds that duty.
 * Each delete stands under the duty's fence and the revision of its row, so one that comes late does nothing.
 */
export class StateCleanup extends PeriodicActor<Message> {
  /** When each order was first seen to be over, on our own clock. */
  private readonly overSinceMs = new Map<string, number>();
  private removing = false;

  constructor(
    private readonly deps: StateCleanupDeps,
    onFailure: (error: unknown) => void,
  ) {
    super(deps.clock, CLEANUP_EVERY_MS, deps.log, onFailure);
  }

  protected receive(message: Message | Tick): void {
    if (message.kind === 'ended') {
      this.removing = false;
      return;
    }
    this.removeSome();
  }

  private removeSome(): void {
    const grant = this.deps.leases.grantOf('cleanup');
    if (!grant) {
      this.overSinceMs.clear();
      return;
    }
    if (this.removing || !this.deps.store.isReady()) return;
    const most = Math.min(CLEANUP_BATCH, this.deps.txnOps);
    const orders = this.orders().slice(0, most);
    const rows = [...orders, ...this.deps.removable(most - orders.length)];
    if (rows.length === 0) return;
    this.removing = true;
    const conditions = rows.flatMap(({ key, stamp, conditions: more }) => [{ key, stamp }, ...more]);
    const operations = rows.map(({ key }) => ({ key, value: undefined }));
    void this.deps.store
      .commit([grant.fence, ...distinct(conditions)], operations)
      .then((outcome) => this.send({ kind: 'ended', removed: outcome === 'applied' ? rows.length : 0 }));
  }

  private orders(): RemovableRow[] {
    const now = this.deps.clock.steadyMs();
    const term = this.deps.leader()?.term ?? -Infinity;
    const over = this.deps.index.inOrder((order) => isOver(order, term));
    for (const { key } of over) if (!this.overSinceMs.has(key)) this.overSinceMs.set(key, now);
    for (const key of this.overSinceMs.keys()) if (!this.deps.index.get(key)) this.overSinceMs.delete(key);
    return over
      .filter(({ key, order }) => now - this.overSinceMs.get(key)! > keepMs(order))
      .map(({ key, stamp }) => ({ key, stamp, conditions: [] }));
  }
}

/** Carried out, or never begun by a term that is over. */
const isOver = (order: Order, term: number): boolean =>
  order.state === 'done' || (order.state === 'ordered' && order.id.term < term);

const keepMs = ({ duty, state }: Order): number => {
  if (state === 'ordered') return 0;
  return duty === 'rent' ? RENTAL_KEEP_MS : RETURN_KEEP_MS;
};

function distinct(conditions: Condition[]): Condition[] {
  return [...new Map(conditions.map((condition) => [condition.key, condition])).values()];
}
