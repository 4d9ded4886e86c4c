import type { MachineType } from '../cloud/codec.js';
import {
  DEAF_AFTER_MS,
  DEAF_SHARE,
  FAULTY_AFTER_JOBS,
  HANDOVER_MACHINES,
  LOST_REPORTS,
  OVERDUE_REPORTS,
  REPORT_GAP,
  REPORT_MARGIN_MS,
  SILENT_REPORTS,
  STUCK_BOOT_MIN_MS,
  STUCK_BOOT_RATIO,
  SUSPECT_SHARE,
  UNHEARD_ANSWERS,
  WORKER_GIVE_UP_MS,
  WORKER_RETRY_MS,
} from '../constants.js';
import type { Job } from '../pipeline/job.js';
import type { Ledger, Node } from './ledger.js';

export interface HealthDeps {
  ledger: Ledger;
  reportS: number;
  /** Steady ms at which the term began. */
  startedMs: number;
  typeOf: (name: string) => MachineType | undefined;
  jobOf: (uid: string) => Job | undefined;
  /** Whether a deputy keeps the machine's lease. */
  isKept: (node: Node) => boolean;
  /** Whether no controller of this zone is heard of, though there is one: it may be cut off. */
  zoneSilent: (zone: string) => boolean;
}

/** What the leader makes of its machines' silence and failures. It decides what is used, never what is safe. */
export class Health {
  private manyOverdue = false;
  /** Controllers whose machines fell silent together, and '' for the machines not heard of in this term. */
  private readonly suspects = new Set<string>();
  /** Steady ms at which each zone was last silent. */
  private readonly zoneSilentMs = new Map<string, number>();
  private readonly silentZones = new Map<string, boolean>();

  constructor(private readonly deps: HealthDeps) {}

  isUsable(node: Node, now: number): boolean {
    return (
      node.reportedMs > now - SILENT_REPORTS * this.deps.reportS * 1000 &&
      node.current &&
      node.unheard < UNHEARD_ANSWERS &&
      !node.returning &&
      node.takenMs === Infinity &&
      !this.isFaulty(node)
    );
  }

  isFaulty(node: Node): boolean {
    // Asked several times a pass for each machine, and nearly none has failed anything.
    if (node.failedJobs.size < FAULTY_AFTER_JOBS) return false;
    let elsewhere = 0;
    for (const uid of node.failedJobs) {
      const job = this.deps.jobOf(uid);
      // A job that failed on several machines has the mistake itself.
      if (job && job.failedOn.size <= FAULTY_AFTER_JOBS) elsewhere++;
    }
    return elsewhere >= FAULTY_AFTER_JOBS;
  }

  isLost(node: Node, now: number): boolean {
    if (this.deps.isKept(node)) return false;
    // Its reports come, but what we say does not reach it.
    if (node.unheard >= UNHEARD_ANSWERS) return true;
    return this.silentMs(node, now) > this.patienceMs(node);
  }

  private silentMs(node: Node, now: number): number {
    // A report that does not show our token counts once: answers may not reach its worker.
    return now - Math.max(node.reportedMs, node.introducedMs, this.deps.startedMs);
  }

  /** For how long a machine may be silent before it counts as lost. */
  private patienceMs(node: Node): number {
    // Rather its controller is cut off or has ended: its worker gives that up and turns to another.
    if (this.suspects.has(node.via)) return this.findingUsMs;
    // Where nearly all the others have shown up in a new term, nobody waits for the few that are gone.
    if (node.via === '') return this.findingUsMs - WORKER_GIVE_UP_MS;
    return LOST_REPORTS * this.deps.reportS * 1000;
  }

  /** Never reported in this term, and by the records never held a task. */
  isBooting(node: Node): boolean {
    return node.reportedMs === -Infinity && !node.recorded;
  }

  isStuck(node: Node, now: number): boolean {
    if (!this.isBooting(node) || now - this.deps.startedMs < STUCK_BOOT_MIN_MS / 2) return false;
    const bootMs = (this.deps.typeOf(node.type)?.bootS ?? 60) * 1000;
    return now - node.rentedMs > Math.max(STUCK_BOOT_MIN_MS, bootMs * STUCK_BOOT_RATIO);
  }

  /**
   * Most machines fell silent together: rather we are cut off from them than they are all dead. Another controller
   * may still be heard by them before their leases run out.
   */
  isDeaf(now: number): boolean {
    if (now - this.deps.startedMs < DEAF_AFTER_MS) return false;
    let silent = 0;
    let all = 0;
    for (const node of this.deps.ledger.nodes.values()) {
      if (node.reportedMs === -Infinity || now > node.leaseEndMs) continue;
      // In a zone whose controllers are not heard of either, a deputy keeps the leases.
      if (this.zoneSilent(node.zone)) continue;
      all++;
      if (this.silentMs(node, now) > LOST_REPORTS * this.deps.reportS * 1000) silent++;
    }
    return all >= HANDOVER_MACHINES && silent > all * DEAF_SHARE;
  }

  /**
   * Called at the start of a pass: what holds for many machines is found out once. They are counted from when their
   * reports are overdue, long before the first of them counts as lost: once it is returned, it is not counted any more.
   */
  look(now: number): void {
    this.silentZones.clear();
    const overdueMs = this.deps.reportS * OVERDUE_REPORTS * 1000;
    const groups = new Map<string, { all: number; overdue: number }>();
    let overdue = 0;
    let all = 0;
    for (const node of this.deps.ledger.nodes.values()) {
      if (this.isBooting(node) || this.deps.isKept(node)) continue;
      let group = groups.get(node.via);
      if (!group) groups.set(node.via, (group = { all: 0, overdue: 0 }));
      group.all++;
      all++;
      if (this.zoneSilent(node.zone)) this.zoneSilentMs.set(node.zone, now);
      if (this.silentMs(node, now) <= overdueMs) continue;
      group.overdue++;
      overdue++;
    }
    this.manyOverdue = overdue > Math.max(2, all / 4);
    this.suspects.clear();
    for (const [via, group] of groups) {
      // Those not heard of in this term are what is left of all.
      const of = via === '' ? all : group.all;
      if (group.overdue > Math.max(2, of * SUSPECT_SHARE)) this.suspects.add(via);
    }
  }

  /** Many silent machines at once are more likely cut off from us than dead. */
  fewLost(): boolean {
    return !this.manyOverdue;
  }

  /**
   * Whether the machines of a zone may only just be on their way back to us: it was cut off a moment ago. What is back
   * is worth more than what would have to boot.
   */
  isReturning(zone: string, now: number): boolean {
    return now - (this.zoneSilentMs.get(zone) ?? -Infinity) < this.findingUsMs;
  }

  /** For how long a worker whose controller is out of reach may be silent until it reports through another one. */
  private get findingUsMs(): number {
    return this.deps.reportS * REPORT_GAP * 1000 + WORKER_GIVE_UP_MS + WORKER_RETRY_MS + REPORT_MARGIN_MS;
  }

  /** Whether a zone may be cut off: none of its controllers is heard of. */
  zoneSilent(zone: string): boolean {
    let silent = this.silentZones.get(zone);
    if (silent === undefined) this.silentZones.set(zone, (silent = this.deps.zoneSilent(zone)));
    return silent;
  }
}
