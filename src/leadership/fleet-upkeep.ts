import type { Logger } from 'pino';
import type { GiveBackDuty } from '@pumicehinge/duties';
import type { CloudEvent } from '../cloud/cloud.js';
import type { FleetOrders } from '../cloud/fleet-orders.js';
import {
  GONE_KEEP_MS,
  LEAST_CHARGE_MS,
  SAVE_LEEWAY_S,
  SPOT_WRITE_MS,
  UNHEARD_ANSWERS,
} from '../constants.js';
import type { Health } from '../fleet/health.js';
import type { Ledger, Node } from '../fleet/ledger.js';
import type { NodeRecords } from '../fleet/node-records.js';
import type { Placer } from '../placement/placer.js';
import type { Renter } from '../placement/renter.js';
import { SpotLosses } from '../placement/spot-losses.js';
import type { Settings } from '../settings.js';
import type { Mirror } from '../state/mirror.js';
import { LOSSES_KEY } from '../state/records.js';
import type { Term } from './election.js';
import type { JobStore } from './job-store.js';
import type { Recovery } from './recovery.js';
import type { WorkerCommands } from './worker-commands.js';

/** What the upkeep of the fleet needs of its leader. */
export interface FleetUpkeepDeps {
  settings: Settings;
  term: Term;
  ledger: Ledger;
  health: Health;
  recovery: Recovery;
  records: NodeRecords;
  commands: WorkerCommands;
  orders: FleetOrders;
  mirror: Mirror;
  write: JobStore['write'];
  placer: Placer;
  renter: Pick<Renter, 'isKept'>;
  losses: SpotLosses;
  capacityOf: (type: string) => Node['capacity'];
  nowMs: () => number;
  log: Logger;
}

type Listed = Extract<CloudEvent, { kind: 'listed' }>;

type ReturnReason =
  | 'idle'
  | 'notice'
  | 'failed'
  | 'faulty'
  | 'not listed'
  | 'never came up'
  | 'silent'
  | 'answers do not reach it';

/** A machine that is well but not needed is returned; all others are taken back with whatever is on them. */
const dutyFor = (reason: ReturnReason): GiveBackDuty =>
  reason === 'idle' || reason === 'notice' ? 'return' : 'reclaim';

/** Keeps the fleet in order: takes over the cloud's lists, drains machines that end soon, returns what is of no use. */
export class FleetUpkeep {
  /** Machines deleted lately, with when. */
  private readonly goneMs = new Map<string, number>();
  private lossesWrittenMs: number;

  constructor(private readonly deps: FleetUpkeepDeps) {
    this.lossesWrittenMs = deps.nowMs();
  }

  /** Whether the machine was deleted lately. */
  isGone(name: string): boolean {
    return this.goneMs.has(name);
  }

  /** The cloud has deleted these machines, with all that was on them. */
  onReturned(names: string[], now: number): void {
    this.deps.log.info({ names }, 'machines returned');
    for (const name of names) {
      const node = this.deps.ledger.nodes.get(name);
      if (node) this.forget(node);
      this.goneMs.set(name, now);
    }
  }

  /** Machines that earlier terms have irrevocably begun to give back, or that are gone. */
  inherit(leaving: string[], gone: string[], now: number): void {
    for (const name of leaving) {
      this.deps.ledger.leaving.add(name);
      const node = this.deps.ledger.nodes.get(name);
      if (node) node.returning = true;
    }
    if (gone.length > 0) this.onReturned(gone, now);
  }

  private forget(node: Node): void {
    this.deps.ledger.leaving.delete(node.name);
    this.deps.ledger.removeNode(node);
    this.deps.recovery.account(node);
    this.deps.records.forget(node);
  }

  /** Takes over the cloud's list, which lags behind. */
  onListed({ nodes, askedMs }: Listed, now: number): void {
    const { ledger, health } = this.deps;
    const lagMs = this.deps.settings.cloud.listLagS * 2000 + 1000;
    // Kept far beyond the list's lag: copies of their reports may come late.
    for (const [name, ms] of this.goneMs) if (now - ms > GONE_KEEP_MS) this.goneMs.delete(name);
    for (const listed of nodes) {
      // The list lags: what was deleted a moment ago still stands in it.
      if (this.isGone(listed.name)) continue;
      const node = ledger.nodes.get(listed.name) ?? this.addUnexpected(listed, now);
      if (node.listedMs === -Infinity) node.rentedMs = Math.min(node.rentedMs, now - listed.ageS * 1000);
      node.listedMs = askedMs;
      if (listed.phase === 'failed') this.returnNode(node, 'failed');
    }
    // A machine missing from the list proves nothing about its tasks; deleting it does, and costs nothing.
    for (const node of ledger.nodes.values()) {
      const isMissing = askedMs - Math.max(node.listedMs, node.rentedMs) > lagMs;
      if (isMissing && health.isLost(node, now)) this.returnNode(node, 'not listed');
    }
  }

  private addUnexpected(listed: Listed['nodes'][number], now: number): Node {
    const { name, address, type, zone, spot } = listed;
    this.deps.log.info({ node: name }, 'unexpected machine');
    const capacity = this.deps.capacityOf(type);
    return this.deps.ledger.addNode({ name, address, type, zone, spot, capacity }, now);
  }

  private returnNode(node: Node, reason: ReturnReason): void {
    if (node.returning || !this.deps.term.authority.holds(this.deps.nowMs())) return;
    node.returning = true;
    this.deps.log.info({ node: node.name, reason }, 'returning machine');
    if (node.spot && reason !== 'idle' && node.reportedMs > -Infinity)
      this.deps.losses.lose(this.deps.nowMs());
    this.deps.orders.giveBack(dutyFor(reason), [node.name]);
  }

  /** Looks at each machine: whether its lease has ended, and whether it can still be used. */
  checkNodes(now: number): void {
    for (const node of this.deps.ledger.nodes.values()) {
      this.deps.recovery.checkLease(node, now);
      if (this.deps.health.isUsable(node, now)) continue;
      for (const attempt of [...node.attempts.values()])
        if (attempt.state === 'planned' && attempt.direct === 'none') this.deps.ledger.unplan(attempt);
      this.drain(node, now);
    }
  }

  /** A machine that the cloud is about to take, or that is faulty: tasks that can save do, replicas move. */
  private drain(node: Node, now: number): void {
    if (this.deps.health.isFaulty(node) && node.attempts.size === 0) return this.returnNode(node, 'faulty');
    const leftS = (node.takenMs - now) / 1000;
    if (leftS === Infinity) return;
    if (node.attempts.size === 0) return this.returnNode(node, 'notice');
    for (const attempt of node.attempts.values()) {
      const job = attempt.job;
      if (!job || attempt.state === 'exited') continue;
      const { saveEveryS, saveS } = job.spec;
      const saves = saveEveryS > 0 && leftS < saveS + this.deps.settings.reportS + 2;
      // What can't end in time is lost anyway: the sooner it begins anew elsewhere, the better.
      const isHopeless = saveEveryS === 0 && this.deps.placer.remainingS(attempt, now) > leftS;
      if (job.isService || saves || isHopeless) this.deps.commands.stop(attempt, SAVE_LEEWAY_S);
    }
  }

  /** Counts the use of spot machines, against which their losses are held, and stores both now and then. */
  countSpotUse(now: number): void {
    let used = 0;
    for (const node of this.deps.ledger.nodes.values()) if (node.spot && node.current) used++;
    this.deps.losses.used(used, now);
    if (now - this.lossesWrittenMs < SPOT_WRITE_MS) return;
    this.lossesWrittenMs = now;
    const stamp = this.deps.mirror.get(LOSSES_KEY)?.stamp ?? 0;
    void this.deps.write(
      [{ key: LOSSES_KEY, stamp }],
      [{ key: LOSSES_KEY, value: this.deps.losses.record() }],
    );
  }

  /** Returns machines that are idle, silent or never came up. */
  returnUnused(now: number): void {
    const { health } = this.deps;
    for (const node of this.deps.ledger.nodes.values()) {
      if (node.returning) continue;
      if (health.isStuck(node, now)) this.returnNode(node, 'never came up');
      if (health.isBooting(node)) continue;
      // In a zone cut off from us, machines go on and turn to the controller there.
      if (health.zoneSilent(node.zone)) {
        if (now < node.leaseEndMs) continue;
      } else if (health.isReturning(node.zone, now) && health.isLost(node, now)) continue;
      if (health.isLost(node, now) && health.fewLost())
        this.returnNode(node, node.unheard >= UNHEARD_ANSWERS ? 'answers do not reach it' : 'silent');
      else if (health.isUsable(node, now) && this.isIdle(node, now)) this.returnNode(node, 'idle');
    }
  }

  private isIdle(node: Node, now: number): boolean {
    if (node.attempts.size > 0 || this.deps.renter.isKept(node)) return false;
    const keepMs = this.deps.settings.operator.idleKeepS * 1000;
    return now - node.idleSinceMs > keepMs && now - node.rentedMs > LEAST_CHARGE_MS;
  }
}
