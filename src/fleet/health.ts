import type { MachineType } from '../cloud/codec.js';
import {
  DEAF_AFTER_MS,
  DEAF_SHARE,
  FAULTY_AFTER_JOBS,
  HANDOVER_MACHINES,
  LOST_REPORTS,
  SILENT_REPORTS,
  STUCK_BOOT_MIN_MS,
  STUCK_BOOT_RATIO,
  UNHEARD_ANSWERS,
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
  private manyLost = false;
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
    // A report that does not show our token counts once: answers may not reach its worker.
    const since = Math.max(node.reportedMs, node.greetedMs, this.deps.startedMs);
    return now - since > LOST_REPORTS * this.deps.reportS * 1000;
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
      if (this.isLost(node, now)) silent++;
    }
    return all >= HANDOVER_MACHINES && silent > all * DEAF_SHARE;
  }

  /** Called at the start of a pass: what holds for all machines is found out once. */
  look(now: number): void {
    this.silentZones.clear();
    let lost = 0;
    let all = 0;
    for (const node of this.deps.ledger.nodes.values()) {
      if (this.isBooting(node)) continue;
      all++;
      if (this.isLost(node, now)) lost++;
    }
    this.manyLost = lost > Math.max(2, all / 4);
  }

  /** Many silent machines at once are more likely cut off from us than dead. */
  fewLost(): boolean {
    return !this.manyLost;
  }

  /** Whether a zone may be cut off: none of its controllers is heard of. */
  zoneSilent(zone: string): boolean {
    let silent = this.silentZones.get(zone);
    if (silent === undefined) this.silentZones.set(zone, (silent = this.deps.zoneSilent(zone)));
    return silent;
  }
}
