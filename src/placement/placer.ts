import type { Logger } from 'pino';
import type { MachineType } from '../cloud/codec.js';
import {
  ATTEMPTS_PER_TERM,
  MISS_PENALTY_S,
  OVERRUN_SHARE,
  PREEMPT_AFTER_MS,
  PREEMPT_PROD_AFTER_MS,
  STARTS_PER_PASS,
} from '../constants.js';
import type { Health } from '../fleet/health.js';
import type { Attempt, Ledger, Node, Resources } from '../fleet/ledger.js';
import type { Job } from '../pipeline/job.js';
import { chooseNode } from './choose.js';
import { addTo, chooseClearing } from './preempt.js';
import { teamRoom, type TeamLimit } from './rules.js';

export interface PlacerDeps {
  ledger: Ledger;
  health: Health;
  jobs: ReadonlyMap<string, Job>;
  limits: ReadonlyMap<string, TeamLimit>;
  /** Number of the leader's term. */
  term: number;
  types: () => ReadonlyMap<string, MachineType>;
  /** Whether every machine of earlier terms is accounted for. */
  recovered: () => boolean;
  wallMs: () => number;
  stop: (attempt: Attempt, leewayS: number) => void;
  log: Logger;
}

/** Starts waiting tasks where there is room, and makes room where that is allowed. */
export class Placer {
  private attemptSeq = 0;

  constructor(private readonly deps: PlacerDeps) {}

  place(open: Job[], now: number): Job[] {
    const nodes = [...this.deps.ledger.nodes.values()].filter(
      (node) => this.deps.health.isUsable(node, now) && node.recorded,
    );
    const waiting: Job[] = [];
    let starts = 0;
    for (const job of open) {
      const held = now < job.notBeforeMs || (!this.deps.recovered() && job.inherited);
      let task = held ? -1 : job.nextPending();
      let room = held ? 0 : this.teamRoomOf(job);
      while (task >= 0 && room > 0 && starts < STARTS_PER_PASS) {
        const node = chooseNode(
          { spec: job.spec, zones: job.zones, avoid: job.failedOn },
          nodes,
          (n) => this.deps.ledger.free(n),
          (n) => this.fetchS(n, job),
        );
        if (!node) break;
        job.release();
        const number = this.deps.term * ATTEMPTS_PER_TERM + ++this.attemptSeq;
        this.deps.ledger.plan(job, task, number, node, now);
        node.idleSinceMs = Infinity;
        starts++;
        room--;
        task = job.nextPending(task + 1);
      }
      if (job.pending > 0 && !held) {
        if (Number.isNaN(job.waitingSinceMs)) job.waitingSinceMs = now;
        waiting.push(job);
      } else {
        job.waitingSinceMs = NaN;
      }
    }
    return waiting;
  }

  /** Room under the team's limit; while machines are not accounted for, what may run there counts as used. */
  teamRoomOf(job: Job, promised?: Resources): number {
    const limit = this.deps.limits.get(job.spec.team);
    if (!limit) return 0;
    const used = { ...this.deps.ledger.usage(job.spec.team) };
    if (promised) {
      used.cpus += promised.cpus;
      used.accelerators += promised.accelerators;
    }
    if (!this.deps.recovered()) {
      for (const other of this.deps.jobs.values()) {
        if (other.spec.team !== job.spec.team || !other.inherited) continue;
        used.cpus += other.pending * other.spec.cpus;
        used.accelerators += other.pending * other.spec.accelerators;
      }
    }
    return teamRoom(limit, used, job.spec);
  }

  private fetchS(node: Node, job: Job): number {
    if (node.images.has(job.spec.image)) return 0;
    return job.spec.imageGb / (this.deps.types().get(node.type)?.pullGbPerS ?? 1);
  }

  /** Seconds to the deadline that orders the job's release. */
  leftS(job: Job): number {
    const wallMs = this.deps.wallMs();
    return (job.dueMs(wallMs) - wallMs) / 1000;
  }

  /** What stopping a task costs, in seconds: its work, and its job's deadline if that could be met until now. */
  private stopLossS(victim: Attempt, now: number): number {
    const job = victim.job!;
    const ranS = (now - victim.startedMs) / 1000;
    const leftS = this.leftS(job);
    const misses = leftS >= this.remainingS(victim, now) && leftS < job.expectedS;
    return ranS + (misses ? MISS_PENALTY_S : 0);
  }

  /** Seconds until a task's end by its owner's guess; once that has passed, a part of what it has run. */
  remainingS(attempt: Attempt, now: number): number {
    if (!attempt.job || attempt.job.isService || attempt.state === 'exited') return Infinity;
    const ranS = (now - attempt.startedMs) / 1000;
    return Math.max(attempt.job.expectedS - ranS, ranS * OVERRUN_SHARE);
  }

  /** Makes room for what waits, out of what may be stopped for it. */
  preempt(waiting: Job[], within: ReadonlySet<Job>, now: number): void {
    const nodes = [...this.deps.ledger.nodes.values()].filter(
      (node) => this.deps.health.isUsable(node, now) && node.recorded,
    );
    const promised = new Map<Node, Resources>();
    const roomOf = (node: Node): Resources => {
      const room = { ...this.deps.ledger.free(node) };
      const taken = promised.get(node);
      if (taken) addTo(room, taken, -1);
      return room;
    };
    for (const job of waiting) {
      const afterMs = job.rank === 'prod' ? PREEMPT_PROD_AFTER_MS : PREEMPT_AFTER_MS;
      if (now - job.waitingSinceMs < afterMs) continue;
      const mayStop = (victim: Job): boolean => this.mayPreempt(job, victim, within);
      const zones = new Map(job.zones);
      for (let left = Math.min(job.pending, this.teamRoomOf(job)); left > 0; left--) {
        const clearing = chooseClearing(
          job,
          nodes,
          zones,
          roomOf,
          (n) => this.fetchS(n, job),
          mayStop,
          (v) => this.stopLossS(v, now),
        );
        if (!clearing) break;
        const { node, victims } = clearing;
        const taken = promised.get(node) ?? { cpus: 0, accelerators: 0, memGb: 0 };
        promised.set(node, taken);
        addTo(taken, job.spec, 1);
        // What is stopped for this task is room promised to it, and counts as room from the next look on.
        for (const victim of victims) {
          this.deps.log.info({ task: `${victim.uid}/${victim.index}`, for: job.uid }, 'task preempted');
          this.deps.stop(victim, victim.job!.spec.saveS);
        }
        zones.set(node.zone, (zones.get(node.zone) ?? 0) + 1);
      }
    }
  }

  private mayPreempt(job: Job, victim: Job, within: ReadonlySet<Job>): boolean {
    const ranks = ['prod', 'high', 'standard', 'idle'];
    if (ranks.indexOf(victim.rank) > ranks.indexOf(job.rank)) return true;
    if (!within.has(job) || victim.spec.team === job.spec.team || within.has(victim)) return false;
    const limit = this.deps.limits.get(victim.spec.team);
    const used = this.deps.ledger.usage(victim.spec.team);
    return limit !== undefined && used.cpus - victim.spec.cpus >= limit.cpus;
  }
}
