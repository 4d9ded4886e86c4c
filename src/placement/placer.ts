import type { Logger } from 'pino';
import type { MachineType } from '../cloud/codec.js';
import {
  ATTEMPTS_PER_TERM,
  ATTEMPTS_RESERVED,
  MISS_PENALTY_S,
  OVERRUN_SHARE,
  PREEMPT_AFTER_MS,
  PREEMPT_PROD_AFTER_MS,
  RENT_SPACING_MS,
  STARTS_PER_PASS,
} from '../constants.js';
import type { Health } from '../fleet/health.js';
import type { Attempt, Ledger, Node, Resources } from '../fleet/ledger.js';
import type { Job } from '../pipeline/job.js';
import { rankRooms, type Room } from './choose.js';
import { addTo, rankPreemptions, type Preemption } from './preemption.js';
import { PreemptionLook, type Claim } from './preemption-look.js';
import { Rooms } from './rooms.js';
import { couldHold, LackingRoom } from './lacking-room.js';
import { allowsZone, fits, teamRoom, type TeamLimit } from './rules.js';

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
  private preemptedMs = -Infinity;
  /** What may run per team on machines not yet accounted for. */
  private readonly unknown = new Map<string, Resources>();

  constructor(private readonly deps: PlacerDeps) {}

  /** Looks at each machine and each job once, however many tasks wait. Returns the jobs that still wait. */
  place(open: Job[], now: number): Job[] {
    this.countUnknown();
    const { withRoom } = this.deps.ledger;
    const rooms = new Rooms(this.rooms(withRoom, now));
    const lacking = new LackingRoom();
    const waiting: Job[] = [];
    let starts = 0;
    const mostStarts = Math.max(STARTS_PER_PASS, withRoom.size);
    for (const job of open) {
      const held = now < job.notBeforeMs || (!this.deps.recovered() && job.inherited);
      const most = held ? 0 : Math.min(this.teamRoomOf(job), mostStarts - starts);
      const looks = most > 0 && !lacking.covers(job.spec);
      const started = looks ? this.fill(job, rooms, most, now) : 0;
      if (looks && started === 0 && !rooms.some((room) => couldHold(job.spec, room))) lacking.note(job.spec);
      if (started > 0) rooms.dropFull();
      starts += started;
      if (job.pending > 0 && !held) {
        if (Number.isNaN(job.waitingSinceMs)) job.waitingSinceMs = now;
        if (job.bound.size > 0) job.starvingSinceMs = Infinity;
        else if (job.starvingSinceMs === Infinity) job.starvingSinceMs = now;
        waiting.push(job);
      } else {
        job.waitingSinceMs = NaN;
      }
    }
    return waiting;
  }

  /** Whether the attempt numbers of this term run out; those of the next one must never be reached. */
  get needsNewTerm(): boolean {
    return this.attemptSeq >= ATTEMPTS_PER_TERM - ATTEMPTS_RESERVED;
  }

  private rooms(nodes: Iterable<Node>, now: number): Room[] {
    const rooms: Room[] = [];
    for (const node of nodes) {
      if (node.recorded && this.deps.health.isUsable(node, now))
        rooms.push({ node, free: this.deps.ledger.free(node) });
    }
    return rooms;
  }

  private fill(job: Job, rooms: Rooms, most: number, now: number): number {
    let task = job.nextPending();
    if (task < 0) return 0;
    const choice = { spec: job.spec, zones: job.zones, shunsSpot: job.shunsSpot, avoid: job.failedOn };
    let started = 0;
    for (const { node, free } of rankRooms(choice, rooms.forJob(job.spec, job.zones), (n) =>
      this.fetchS(n, job),
    )) {
      while (fits(job.spec, free) && allowsZone(job.spec, job.zones, node.zone)) {
        job.release();
        const number = this.deps.term * ATTEMPTS_PER_TERM + ++this.attemptSeq;
        this.deps.ledger.plan(job, task, number, node, now);
        addTo(free, job.spec, -1);
        node.idleSinceMs = Infinity;
        started++;
        task = job.nextPending(task + 1);
        if (task < 0 || started >= most) return started;
      }
    }
    return started;
  }

  /** While machines are not accounted for, all waiting tasks of jobs begun before the term may run there. */
  private countUnknown(): void {
    this.unknown.clear();
    if (this.deps.recovered()) return;
    for (const { spec, inherited, pending } of this.deps.jobs.values()) {
      if (!inherited) continue;
      const used = this.unknown.get(spec.team) ?? { cpus: 0, accelerators: 0, memGb: 0 };
      this.unknown.set(spec.team, used);
      used.cpus += pending * spec.cpus;
      used.accelerators += pending * spec.accelerators;
    }
  }

  /** Room under the team's limit; while machines are not accounted for, what may run there counts as used. */
  teamRoomOf(job: Job, promised?: Resources): number {
    const limit = this.deps.limits.get(job.spec.team);
    if (!limit) return 0;
    const used = { ...this.deps.ledger.usage(job.spec.team) };
    for (const more of [promised, this.unknown.get(job.spec.team)]) if (more) addTo(used, more, 1);
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
  preempt(open: Job[], waiting: Job[], within: ReadonlySet<Job>, now: number): void {
    // Live services are looked at in every pass, the rest now and then.
    const all = now - this.preemptedMs >= RENT_SPACING_MS;
    if (all) this.preemptedMs = now;
    const look = new PreemptionLook(open, (job, victim) => this.mayPreempt(job, victim, within));
    let rooms: Rooms | undefined;
    for (const job of waiting) {
      if (job.rank !== 'prod' && !all) continue;
      const afterMs = job.rank === 'prod' ? PREEMPT_PROD_AFTER_MS : PREEMPT_AFTER_MS;
      if (now - job.waitingSinceMs < afterMs) continue;
      const claim = look.claimOf(job, within.has(job));
      // Replicas that wait for a zone without machines are no reason to look at all the others.
      if (claim.victims.size === 0 || !this.mayClear(job, claim)) continue;
      rooms ??= new Rooms(this.rooms(this.deps.ledger.nodes.values(), now));
      this.clear(job, claim, rooms, now);
    }
  }

  /** Whether there is a zone with machines that the job may use and that was not searched in vain in this look. */
  private mayClear(job: Job, claim: Claim): boolean {
    for (const zone of this.deps.ledger.machinesPerZone.keys())
      if (allowsZone(job.spec, job.zones, zone) && !claim.lacksRoomIn(zone, job.spec)) return true;
    return false;
  }

  private clear(job: Job, claim: Claim, rooms: Rooms, now: number): void {
    let left = Math.min(job.pending, this.teamRoomOf(job));
    if (left <= 0) return;
    const zones = new Map(job.zones);
    const preemptions: Preemption[] = [];
    for (const zone of rooms.zones) {
      if (!allowsZone(job.spec, zones, zone) || claim.lacksRoomIn(zone, job.spec)) continue;
      const found = this.preemptionsIn(rooms.inZone(zone), job, claim, now);
      if (found.length === 0) claim.noteLacking(zone, job.spec);
      preemptions.push(...found);
    }
    preemptions.sort((a, b) => a.loss - b.loss);
    for (const { room, victims } of preemptions) {
      if (left-- <= 0) return;
      const { zone } = room.node;
      if (!allowsZone(job.spec, zones, zone)) continue;
      // What is stopped for this task is room promised to it, and counts as room from the next look on.
      addTo(room.free, job.spec, -1);
      for (const victim of victims) {
        this.deps.log.info({ task: `${victim.uid}/${victim.index}`, for: job.uid }, 'task preempted');
        this.deps.stop(victim, victim.job!.spec.saveS);
      }
      zones.set(zone, (zones.get(zone) ?? 0) + 1);
    }
  }

  private preemptionsIn(rooms: Iterable<Room>, job: Job, claim: Claim, now: number): Preemption[] {
    return rankPreemptions(
      job,
      rooms,
      (node) => this.fetchS(node, job),
      (victim) => claim.victims.has(victim),
      (victim) => this.stopLossS(victim, now),
    );
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
