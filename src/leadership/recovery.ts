import type { Logger } from 'pino';
import { DEPUTY_FRESH_MS, RELAY_FRESH_MS } from '../constants.js';
import { leaseEndMs } from '../fleet/lease.js';
import type { Ledger, Node, Resources } from '../fleet/ledger.js';
import type { NodeRecords } from '../fleet/node-records.js';
import type { Change } from '../state/client.js';
import type { Mirror } from '../state/mirror.js';
import { KEPT, decodeKept } from '../state/records.js';
import type { JobStore } from './job-store.js';

/** The read that had to confirm the end of a machine's lease has ended. */
export interface LeaseCheckEnd {
  node: Node;
  /** The lease end that was to be confirmed. */
  leaseEndMs: number;
  confirmed: boolean;
}

/** What recovery needs of its leader. */
export interface RecoveryDeps {
  term: number;
  leaseS: number;
  ledger: Ledger;
  mirror: Mirror;
  write: JobStore['write'];
  nowMs: () => number;
  log: Logger;
  /** Comes back through the leader's mailbox into `onLeaseChecked`. */
  leaseChecked: (end: LeaseCheckEnd) => void;
  /** Something was freed or accounted for: a pass may place more. */
  changed: () => void;
}

/**
 * What earlier terms and deputies may still run on the machines. A machine that an earlier term used counts as holding
 * tasks until it reports with this term's token, is deleted, or its lease has surely ended.
 */
export class Recovery {
  private readonly startedMs: number;
  /** Machines recorded by earlier terms, on which tasks may run that we don't know of. */
  private readonly unaccounted = new Set<Node>();
  /** What deputies have registered, per key, and the names of all machines whose leases they keep. */
  private readonly registered = new Map<string, string[]>();
  private keptNames = new Set<string>();
  /** Machines whose lease end is being confirmed. */
  private readonly checking = new Set<Node>();

  constructor(private readonly deps: RecoveryDeps) {
    this.startedMs = deps.nowMs();
  }

  /** Reads the machines of earlier terms at the beginning of this one. */
  load(records: NodeRecords, capacityOf: (type: string) => Resources): void {
    const now = this.deps.nowMs();
    for (const [node, used] of records.load(this.deps.ledger, capacityOf, now)) {
      if (!used) continue;
      // It may hold tasks: it counts until it reports with our token, is deleted, or its lease has surely run
      // out. Whoever led before us answered it before our term began at the latest.
      // A deputy may have answered it for a moment longer, and an answer may have been under way through a relay.
      node.leaseEndMs = leaseEndMs(now + Math.max(DEPUTY_FRESH_MS, RELAY_FRESH_MS), this.deps.leaseS);
      this.unaccounted.add(node);
    }
    for (const row of [...this.deps.mirror.startingWith(KEPT)]) {
      // Left of an earlier term: its deputy registers anew, or is gone.
      void this.deps.write([{ key: row.key, stamp: row.stamp }], [{ key: row.key, value: undefined }]);
    }
  }

  /** Whether all machines of earlier terms are accounted for. */
  get isComplete(): boolean {
    return this.unaccounted.size === 0;
  }

  /** How many machines are not accounted for yet. */
  get unaccountedCount(): number {
    return this.unaccounted.size;
  }

  /** All that is on the machine is known from now on. */
  account(node: Node): void {
    if (this.unaccounted.delete(node) && this.isComplete)
      this.deps.log.info(
        { ms: Math.round(this.deps.nowMs() - this.startedMs) },
        'all machines accounted for',
      );
  }

  /** A deputy keeps the lease of a machine that is cut off from us, or gives it back. */
  onRegistration(change: Change): void {
    const record = decodeKept(change.value);
    const before = this.registered.get(change.key) ?? [];
    if (record?.term === this.deps.term) this.registered.set(change.key, record.nodes);
    else this.registered.delete(change.key);
    this.keptNames = new Set([...this.registered.values()].flat());
    for (const name of before) {
      const node = this.deps.ledger.nodes.get(name);
      // It may have been answered until just now.
      if (node && !this.keptNames.has(name)) this.deps.ledger.lease(node, this.deps.nowMs());
    }
  }

  /** Whether a deputy keeps the machine's lease. */
  isKept(node: Node): boolean {
    return this.keptNames.size > 0 && this.keptNames.has(node.name);
  }

  /** Before a lease counts as ended, the state service is asked whether a deputy has kept it. */
  checkLease(node: Node, now: number): void {
    if (now <= node.leaseEndMs || node.leaseEndMs === -Infinity) return;
    if (this.checking.has(node) || this.isKept(node)) return;
    this.checking.add(node);
    const { leaseEndMs } = node;
    this.deps.mirror.sync().then(
      () => this.deps.leaseChecked({ node, leaseEndMs, confirmed: true }),
      () => this.deps.leaseChecked({ node, leaseEndMs, confirmed: false }),
    );
  }

  /** Frees all that was on a machine once its lease has surely ended. */
  onLeaseChecked({ node, leaseEndMs, confirmed }: LeaseCheckEnd): void {
    this.checking.delete(node);
    if (!confirmed || this.isKept(node) || node.leaseEndMs !== leaseEndMs) return;
    // Nobody answered it for a whole lease: its worker has killed everything.
    if (node.attempts.size > 0) this.deps.log.info({ node: node.name }, 'lease of machine ended');
    this.deps.ledger.fence(node);
    node.leaseEndMs = -Infinity;
    node.introducedMs = -Infinity;
    this.account(node);
    this.deps.changed();
  }
}
