/** A job as its user sees it. */
export interface SimJob {
  uid: string;
  team: string;
  kind: 'array' | 'service';
  tasks: number;
  cpus: number;
  spot: boolean;
  scatter: boolean;
  oneZone: boolean;
  /** The only zone allowed. */
  zone: string | null;
  runS: number;
  dueS: number | null;
  /** Jobs that must be done before any task of it starts. */
  dependencies: string[];
}

interface Seen {
  job: SimJob;
  accepted: boolean;
  told: 'open' | 'done' | 'withdrawn';
  calledOff: boolean;
  cancelledMs: number;
  done: Set<number>;
  submittedMs: number;
  /** When a task of it first began, and when its user was last answered. */
  begunMs: number;
  /** Since when it waits although a machine has room. */
  waitsSinceMs: number;
  answeredMs: number;
  /** Task to the machine that it is on. */
  on: Map<number, { node: string; zone: string }>;
}

/** Watches the simulated machines and users for the protocol's rules; a broken one is kept as a line. */
export class SimRules {
  readonly broken: string[] = [];
  readonly jobs = new Map<string, Seen>();
  /** Told when the last task of a job completes. */
  readonly onLastDone: ((uid: string) => void)[] = [];
  started = 0;
  /** Starts so long after a confirmed cancellation that their command was given after it. */
  readonly startedCancelled: string[] = [];
  /** Starts of tasks that had started before. */
  startedAgain = 0;
  private readonly begun = new Set<string>();
  /** Tasks that ended because their machine was taken or returned. */
  killedByEnd = 0;
  /** Tasks that ended because their worker's lease ran out. */
  killedByLease = 0;

  constructor(
    private readonly nowMs: () => number,
    private readonly limits: Map<string, number>,
    private readonly cancelS: number,
    /** Seconds after a confirmed cancellation in which a start command may still be under way. */
    private readonly underWayS: number,
  ) {}

  add(job: SimJob): void {
    this.jobs.set(job.uid, {
      job,
      accepted: false,
      told: 'open',
      calledOff: false,
      cancelledMs: Infinity,
      done: new Set(),
      submittedMs: this.nowMs(),
      begunMs: Infinity,
      waitsSinceMs: Infinity,
      answeredMs: this.nowMs(),
      on: new Map(),
    });
  }

  start(uid: string, task: number, place: { node: string; zone: string; spot: boolean }): void {
    const seen = this.jobs.get(uid)!;
    const { job } = seen;
    this.started++;
    if (this.begun.has(`${uid}/${task}`)) this.startedAgain++;
    this.begun.add(`${uid}/${task}`);
    const other = seen.on.get(task);
    if (other) this.broke(`ran_twice: ${uid}/${task} on ${other.node} and ${place.node}`);
    if (place.spot && !job.spot) this.broke(`wrong_place: ${uid}/${task} on spot`);
    const undone = job.dependencies.find((before) => !this.isDone(before));
    if (undone !== undefined) this.broke(`too_early: ${uid}/${task} before ${undone}`);
    const elsewhere = [...seen.on.values()].some((p) => p.zone !== place.zone);
    if ((job.oneZone && elsewhere) || (job.zone !== null && job.zone !== place.zone))
      this.broke(`wrong_place: ${uid}/${task} in ${place.zone}`);
    if (job.scatter && this.inZone(seen, place.zone) + 1 > Math.ceil(job.tasks / 2))
      this.broke(`wrong_place: ${uid} in ${place.zone}`);
    if (this.nowMs() > seen.cancelledMs + this.cancelS * 1000)
      this.broke(`ran_cancelled: ${uid}/${task} starts`);
    else if (this.nowMs() > seen.cancelledMs + this.underWayS * 1000)
      this.startedCancelled.push(`${(this.nowMs() / 1000).toFixed(3)} ${uid}/${task}`);
    seen.on.set(task, place);
    seen.begunMs = Math.min(seen.begunMs, this.nowMs());
    let used = 0;
    for (const each of this.jobs.values())
      if (each.job.team === job.team) used += each.on.size * each.job.cpus;
    if (used > (this.limits.get(job.team) ?? 0) + 1e-6) this.broke(`quota: ${job.team} uses ${used}`);
  }

  /** Its user asked for its cancellation, or for that of a job that it needs. */
  calledOff(uid: string): void {
    this.jobs.get(uid)!.calledOff = true;
  }

  private isCalledOff(uid: string): boolean {
    const seen = this.jobs.get(uid);
    return seen !== undefined && (seen.calledOff || seen.job.dependencies.some((b) => this.isCalledOff(b)));
  }

  private isDone(uid: string): boolean {
    const seen = this.jobs.get(uid)!;
    return seen.done.size === seen.job.tasks;
  }

  /** When a user was first told that a job, or one that it needs, is cancelled. */
  private cancelledMs(uid: string): number {
    const seen = this.jobs.get(uid);
    if (!seen) return Infinity;
    return Math.min(seen.cancelledMs, ...seen.job.dependencies.map((before) => this.cancelledMs(before)));
  }

  end(uid: string, task: number, node: string, done: boolean): void {
    const seen = this.jobs.get(uid)!;
    if (seen.on.get(task)?.node === node) seen.on.delete(task);
    if (!done || seen.done.has(task)) return;
    seen.done.add(task);
    if (seen.done.size === seen.job.tasks) for (const listener of this.onLastDone) listener(uid);
  }

  submitted(uid: string, status: number): void {
    const seen = this.jobs.get(uid)!;
    if (status === 200 || status === 201) seen.accepted = true;
    else if (seen.accepted && (status === 400 || status === 422))
      this.broke(`forgotten: ${uid} got ${status}`);
  }

  told(uid: string, status: number, phase: string | undefined): void {
    const seen = this.jobs.get(uid);
    if (!seen) {
      if (status === 200) this.broke(`invented: ${uid}`);
      return;
    }
    if (status === 404 && seen.accepted) this.broke(`forgotten: ${uid} got 404`);
    if (status !== 200) return;
    seen.answeredMs = this.nowMs();
    if (seen.told !== 'open' && phase !== seen.told) this.broke(`went_back: ${uid} ${seen.told} to ${phase}`);
    if (
      (phase === 'pending' || phase === 'running') &&
      this.nowMs() > this.cancelledMs(uid) + this.cancelS * 1000
    )
      this.broke(`orphaned: ${uid} is ${phase}`);
    if (phase === 'withdrawn' && !this.isCalledOff(uid)) this.broke(`went_back: ${uid} withdrawn by nobody`);
    if (phase === 'done') {
      if (seen.done.size < seen.job.tasks) this.broke(`not_done: ${uid} has ${seen.done.size}`);
      seen.told = 'done';
    }
    if (phase === 'withdrawn') {
      if (seen.told === 'open') seen.cancelledMs = this.nowMs();
      seen.told = 'withdrawn';
    }
  }

  /**
   * The users' addition, once all troubles are over: no accepted job goes unanswered for 75 s, at least half of each
   * class, team and of a class's largest jobs is served, and the largest began within 4 minutes.
   */
  checkServed(calmMs: number): void {
    const now = this.nowMs();
    const groups = new Map<string, { all: number; served: number }>();
    const count = (name: string, served: boolean): void => {
      const group = groups.get(name) ?? { all: 0, served: 0 };
      groups.set(name, group);
      group.all++;
      if (served) group.served++;
    };
    const wanted = [...this.jobs.values()].filter((seen) => seen.accepted && seen.told !== 'withdrawn');
    for (const seen of wanted) {
      const { uid, kind, team, tasks } = seen.job;
      const unanswered = now - Math.max(seen.answeredMs, calmMs);
      if (unanswered > 75_000) this.broke(`forgotten: ${uid} not answered for ${unanswered} ms`);
      // What came a moment ago could not be served yet.
      if (now - seen.submittedMs < 60_000) continue;
      const served = kind === 'service' ? seen.on.size > 0 : seen.told === 'done';
      count(kind, served);
      count(team, served);
      const most = Math.max(...wanted.filter((w) => w.job.kind === kind).map((w) => w.job.tasks));
      if (tasks < most) continue;
      count(`largest ${kind}`, served);
      if (seen.begunMs - seen.submittedMs > 240_000) this.broke(`starved: ${uid}, of the largest, not begun`);
    }
    for (const [name, { all, served }] of groups)
      if (served * 2 < all) this.broke(`starved: ${served} of ${all} of ${name} served`);
  }

  /** Called now and then. */
  check(): void {
    for (const [uid, seen] of this.jobs) {
      if (seen.on.size > 0 && this.nowMs() > seen.cancelledMs + this.cancelS * 1000)
        this.broke(`ran_cancelled: ${uid} has ${seen.on.size}`);
    }
  }

  /**
   * The users' addition, once all troubles are over: no job waits for long with nothing running while a machine that
   * fits has room and its team is under its limit. `machines` are those that are up.
   */
  checkWaiting(
    calmMs: number,
    machines: { name: string; zone: string; spot: boolean; cpus: number }[],
  ): void {
    const now = this.nowMs();
    const used = new Map<string, number>();
    const teams = new Map<string, number>();
    for (const { job, on } of this.jobs.values()) {
      teams.set(job.team, (teams.get(job.team) ?? 0) + on.size * job.cpus);
      for (const { node } of on.values()) used.set(node, (used.get(node) ?? 0) + job.cpus);
    }
    for (const [uid, seen] of this.jobs) {
      const { job } = seen;
      const left =
        job.kind === 'service' ? job.tasks - seen.on.size : job.tasks - seen.done.size - seen.on.size;
      const fits = machines.some(
        (m) =>
          m.cpus - (used.get(m.name) ?? 0) >= job.cpus &&
          (job.spot || !m.spot) &&
          (job.zone ?? m.zone) === m.zone &&
          !(job.oneZone && seen.on.size > this.inZone(seen, m.zone)) &&
          !(job.scatter && this.inZone(seen, m.zone) >= Math.ceil(job.tasks / 2)),
      );
      const free = job.dependencies.every((before) => this.isDone(before));
      const under = (teams.get(job.team) ?? 0) + job.cpus <= (this.limits.get(job.team) ?? 0);
      const waits =
        seen.accepted && seen.told === 'open' && left > 0 && free && fits && under && now >= calmMs;
      if (!waits) seen.waitsSinceMs = Infinity;
      else seen.waitsSinceMs = Math.min(seen.waitsSinceMs, now);
      if (now - seen.waitsSinceMs <= 90_000) continue;
      this.broke(`left_waiting: ${uid} has ${left} tasks waiting`);
      seen.waitsSinceMs = Infinity;
    }
  }

  private inZone(seen: Seen, zone: string): number {
    return [...seen.on.values()].filter((place) => place.zone === zone).length;
  }

  private broke(line: string): void {
    this.broken.push(`${(this.nowMs() / 1000).toFixed(3)} ${line}`);
  }
}
