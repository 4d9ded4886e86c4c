/**
 * Detects violations of the rules of the service in simulations, for example a task that runs twice at the same time
 * or an accepted job that is forgotten. Simulated deployments and workers report events to it, and tests check the
 * violations that it recorded.
 */

/** A job as its user describes it. */
export interface SimulatedJob {
  uid: string;
  team: string;
  kind: 'array' | 'service';
  tasks: number;
  cpus: number;
  /** Memory of one task in GB. */
  memGb: number;
  spot: boolean;
  zoneSpread: boolean;
  singleZone: boolean;
  /** The only zone in which tasks may run. Null if any zone is allowed. */
  zone: string | null;
  runS: number;
  /** Seconds after its acceptance by which the job is due. Null if it has no deadline. */
  deadlineS: number | null;
  /** Jobs that must be done before any task of this job starts. */
  dependencies: string[];
}

/** What users were told about a job, and what its tasks did. */
interface TrackedJob {
  job: SimulatedJob;
  isAccepted: boolean;
  /** The final phase that the job's user was told. `open` until the user is told one. */
  reportedPhase: 'open' | 'done' | 'withdrawn';
  isCancelRequested: boolean;
  cancelConfirmedMs: number;
  completedTasks: Set<number>;
  submittedMs: number;
  /** When the first of the job's tasks started. Infinity if none has started. */
  firstStartMs: number;
  /** Since when tasks have been waiting although a machine has room for one. Infinity if none is waiting. */
  waitingSinceMs: number;
  /** When the user last got an answer about the job. */
  lastAnswerMs: number;
  /** The machine of each running task, by the index of the task. */
  runningTasks: Map<number, { node: string; zone: string }>;
}

/**
 * Checks the rules of the protocol against what simulated machines and users see, and records each violation as a
 * line.
 */
export class RuleChecker {
  /** One line for each violation, with the time in seconds and the name of the rule. */
  readonly violations: string[] = [];
  readonly jobs = new Map<string, TrackedJob>();
  /** Called with the uid of a job when its last task completes. */
  readonly completionListeners: ((uid: string) => void)[] = [];
  /** Number of task starts. */
  startCount = 0;
  /** Task starts so long after a confirmed cancellation that the start command must have been sent after it. */
  readonly startsAfterCancellation: string[] = [];
  /** Number of starts of tasks that had started before. */
  restartCount = 0;
  private readonly startedTasks = new Set<string>();
  /** Number of tasks that ended because their machine was terminated or returned. */
  tasksKilledWithMachine = 0;
  /** Number of tasks that ended because their worker's lease expired. */
  tasksKilledByLeaseExpiry = 0;

  constructor(
    private readonly nowMs: () => number,
    private readonly teamCpuLimits: Map<string, number>,
    private readonly cancelDeadlineS: number,
    /** Seconds after a confirmed cancellation during which a task may start because of an earlier start command. */
    private readonly commandTransitS: number,
  ) {}

  /** Registers a job. This must happen before any other event of the job is recorded. */
  trackJob(job: SimulatedJob): void {
    this.jobs.set(job.uid, {
      job,
      isAccepted: false,
      reportedPhase: 'open',
      isCancelRequested: false,
      cancelConfirmedMs: Infinity,
      completedTasks: new Set(),
      submittedMs: this.nowMs(),
      firstStartMs: Infinity,
      waitingSinceMs: Infinity,
      lastAnswerMs: this.nowMs(),
      runningTasks: new Map(),
    });
  }

  /** Records that a machine starts a task, and checks every rule about starts. */
  recordTaskStart(uid: string, task: number, machine: { node: string; zone: string; spot: boolean }): void {
    const tracked = this.jobs.get(uid)!;
    const { job } = tracked;
    this.startCount++;
    if (this.startedTasks.has(`${uid}/${task}`)) this.restartCount++;
    this.startedTasks.add(`${uid}/${task}`);
    const otherMachine = tracked.runningTasks.get(task);
    if (otherMachine)
      this.recordViolation(`ran_twice: ${uid}/${task} on ${otherMachine.node} and ${machine.node}`);
    if (machine.spot && !job.spot) this.recordViolation(`wrong_place: ${uid}/${task} on spot`);
    const unfinishedDependency = job.dependencies.find((dependency) => !this.isDone(dependency));
    if (unfinishedDependency !== undefined)
      this.recordViolation(`too_early: ${uid}/${task} before ${unfinishedDependency}`);
    const runsInOtherZone = [...tracked.runningTasks.values()].some(
      (running) => running.zone !== machine.zone,
    );
    if ((job.singleZone && runsInOtherZone) || (job.zone !== null && job.zone !== machine.zone))
      this.recordViolation(`wrong_place: ${uid}/${task} in ${machine.zone}`);
    if (job.zoneSpread && this.countRunningInZone(tracked, machine.zone) + 1 > Math.ceil(job.tasks / 2))
      this.recordViolation(`wrong_place: too many tasks of ${uid} in ${machine.zone}`);
    if (this.nowMs() > tracked.cancelConfirmedMs + this.cancelDeadlineS * 1000)
      this.recordViolation(`ran_cancelled: ${uid}/${task} starts`);
    else if (this.nowMs() > tracked.cancelConfirmedMs + this.commandTransitS * 1000)
      this.startsAfterCancellation.push(`${(this.nowMs() / 1000).toFixed(3)} ${uid}/${task}`);
    tracked.runningTasks.set(task, machine);
    tracked.firstStartMs = Math.min(tracked.firstStartMs, this.nowMs());
    let usedCpus = 0;
    for (const other of this.jobs.values())
      if (other.job.team === job.team) usedCpus += other.runningTasks.size * other.job.cpus;
    if (usedCpus > (this.teamCpuLimits.get(job.team) ?? 0) + 1e-6)
      this.recordViolation(`quota: ${job.team} uses ${usedCpus} CPUs`);
  }

  /** Records that the user asked to cancel the job. */
  recordCancelRequest(uid: string): void {
    this.jobs.get(uid)!.isCancelRequested = true;
  }

  /** Whether a user asked to cancel the job or a job that it depends on. */
  private isCancelRequested(uid: string): boolean {
    const tracked = this.jobs.get(uid);
    return (
      tracked !== undefined &&
      (tracked.isCancelRequested ||
        tracked.job.dependencies.some((dependency) => this.isCancelRequested(dependency)))
    );
  }

  private isDone(uid: string): boolean {
    const tracked = this.jobs.get(uid)!;
    return tracked.completedTasks.size === tracked.job.tasks;
  }

  /** When a user was first told that the job, or one that it depends on, is cancelled. Infinity if never. */
  private cancelConfirmedMs(uid: string): number {
    const tracked = this.jobs.get(uid);
    if (!tracked) return Infinity;
    return Math.min(
      tracked.cancelConfirmedMs,
      ...tracked.job.dependencies.map((dependency) => this.cancelConfirmedMs(dependency)),
    );
  }

  /** Records that a task ended on a machine, completed or not. */
  recordTaskEnd(uid: string, task: number, node: string, isCompleted: boolean): void {
    const tracked = this.jobs.get(uid)!;
    if (tracked.runningTasks.get(task)?.node === node) tracked.runningTasks.delete(task);
    if (!isCompleted || tracked.completedTasks.has(task)) return;
    tracked.completedTasks.add(task);
    if (tracked.completedTasks.size === tracked.job.tasks)
      for (const listener of this.completionListeners) listener(uid);
  }

  /** Records the status of a response to a submission. */
  recordSubmissionResponse(uid: string, status: number): void {
    const tracked = this.jobs.get(uid)!;
    if (status === 200 || status === 201) tracked.isAccepted = true;
    else if (tracked.isAccepted && (status === 400 || status === 422))
      this.recordViolation(`forgotten: ${uid} got ${status}`);
  }

  /** Records a response about a job's phase. The phase is undefined if the response holds none. */
  recordStatusResponse(uid: string, status: number, phase: string | undefined): void {
    const tracked = this.jobs.get(uid);
    if (!tracked) {
      if (status === 200) this.recordViolation(`invented: ${uid} was never submitted`);
      return;
    }
    if (status === 404 && tracked.isAccepted) this.recordViolation(`forgotten: ${uid} got 404`);
    if (status !== 200) return;
    tracked.lastAnswerMs = this.nowMs();
    if (tracked.reportedPhase !== 'open' && phase !== tracked.reportedPhase)
      this.recordViolation(`went_back: ${uid} ${tracked.reportedPhase} to ${phase}`);
    if (
      (phase === 'pending' || phase === 'running') &&
      this.nowMs() > this.cancelConfirmedMs(uid) + this.cancelDeadlineS * 1000
    )
      this.recordViolation(`orphaned: ${uid} is ${phase}`);
    if (phase === 'withdrawn' && !this.isCancelRequested(uid))
      this.recordViolation(`went_back: ${uid} withdrawn without a cancel request`);
    if (phase === 'done') {
      if (tracked.completedTasks.size < tracked.job.tasks)
        this.recordViolation(`not_done: ${uid} has ${tracked.completedTasks.size} completed tasks`);
      tracked.reportedPhase = 'done';
    }
    if (phase === 'withdrawn') {
      if (tracked.reportedPhase === 'open') tracked.cancelConfirmedMs = this.nowMs();
      tracked.reportedPhase = 'withdrawn';
    }
  }

  /**
   * Checks that users are served after all faults have ended. No accepted job may go unanswered for 75 s. At least
   * half of the jobs of each kind, of each team, and of the largest jobs of a kind must be served. The largest jobs
   * of a kind must have started within 4 minutes.
   */
  checkServed(faultsEndMs: number): void {
    const nowMs = this.nowMs();
    const groups = new Map<string, { jobCount: number; servedCount: number }>();
    const countJob = (name: string, isServed: boolean): void => {
      const counts = groups.get(name) ?? { jobCount: 0, servedCount: 0 };
      groups.set(name, counts);
      counts.jobCount++;
      if (isServed) counts.servedCount++;
    };
    const expectedJobs = [...this.jobs.values()].filter(
      (tracked) => tracked.isAccepted && tracked.reportedPhase !== 'withdrawn',
    );
    for (const tracked of expectedJobs) {
      const { uid, kind, team, tasks } = tracked.job;
      const unansweredMs = nowMs - Math.max(tracked.lastAnswerMs, faultsEndMs);
      if (unansweredMs > 75_000)
        this.recordViolation(`forgotten: ${uid} not answered for ${unansweredMs} ms`);
      // Jobs that were submitted within the last minute need not be served yet.
      if (nowMs - tracked.submittedMs < 60_000) continue;
      const isServed = kind === 'service' ? tracked.runningTasks.size > 0 : tracked.reportedPhase === 'done';
      countJob(kind, isServed);
      countJob(team, isServed);
      const mostTasks = Math.max(
        ...expectedJobs.filter((other) => other.job.kind === kind).map((other) => other.job.tasks),
      );
      if (tasks < mostTasks) continue;
      countJob(`largest ${kind}`, isServed);
      if (tracked.firstStartMs - tracked.submittedMs > 240_000)
        this.recordViolation(`starved: ${uid}, one of the largest jobs, did not start in time`);
    }
    for (const [name, { jobCount, servedCount }] of groups)
      if (servedCount * 2 < jobCount)
        this.recordViolation(`starved: ${servedCount} of ${jobCount} of ${name} served`);
  }

  /** Checks that no task of a cancelled job still runs after the cancellation deadline. To be called periodically. */
  checkCancelledTasks(): void {
    for (const [uid, tracked] of this.jobs) {
      if (
        tracked.runningTasks.size > 0 &&
        this.nowMs() > tracked.cancelConfirmedMs + this.cancelDeadlineS * 1000
      )
        this.recordViolation(`ran_cancelled: ${uid} has ${tracked.runningTasks.size} running tasks`);
    }
  }

  /**
   * Checks that, after all faults have ended, no job has tasks waiting for more than 90 s while a suitable machine
   * has room and its team is under its limit. To be called periodically with the machines that are up.
   */
  checkWaitingJobs(
    faultsEndMs: number,
    machines: { name: string; zone: string; spot: boolean; cpus: number }[],
  ): void {
    const nowMs = this.nowMs();
    const usedCpusByMachine = new Map<string, number>();
    const usedCpusByTeam = new Map<string, number>();
    for (const { job, runningTasks } of this.jobs.values()) {
      usedCpusByTeam.set(job.team, (usedCpusByTeam.get(job.team) ?? 0) + runningTasks.size * job.cpus);
      for (const { node } of runningTasks.values())
        usedCpusByMachine.set(node, (usedCpusByMachine.get(node) ?? 0) + job.cpus);
    }
    for (const [uid, tracked] of this.jobs) {
      const { job } = tracked;
      const remainingTasks =
        job.kind === 'service'
          ? job.tasks - tracked.runningTasks.size
          : job.tasks - tracked.completedTasks.size - tracked.runningTasks.size;
      const hasFittingMachine = machines.some(
        (machine) =>
          machine.cpus - (usedCpusByMachine.get(machine.name) ?? 0) >= job.cpus &&
          (job.spot || !machine.spot) &&
          (job.zone ?? machine.zone) === machine.zone &&
          !(job.singleZone && tracked.runningTasks.size > this.countRunningInZone(tracked, machine.zone)) &&
          !(job.zoneSpread && this.countRunningInZone(tracked, machine.zone) >= Math.ceil(job.tasks / 2)),
      );
      const hasDependenciesDone = job.dependencies.every((dependency) => this.isDone(dependency));
      const isUnderTeamLimit =
        (usedCpusByTeam.get(job.team) ?? 0) + job.cpus <= (this.teamCpuLimits.get(job.team) ?? 0);
      const isWaiting =
        tracked.isAccepted &&
        tracked.reportedPhase === 'open' &&
        remainingTasks > 0 &&
        hasDependenciesDone &&
        hasFittingMachine &&
        isUnderTeamLimit &&
        nowMs >= faultsEndMs;
      if (!isWaiting) tracked.waitingSinceMs = Infinity;
      else tracked.waitingSinceMs = Math.min(tracked.waitingSinceMs, nowMs);
      if (nowMs - tracked.waitingSinceMs <= 90_000) continue;
      this.recordViolation(`left_waiting: ${uid} has ${remainingTasks} tasks waiting`);
      tracked.waitingSinceMs = Infinity;
    }
  }

  private countRunningInZone(tracked: TrackedJob, zone: string): number {
    return [...tracked.runningTasks.values()].filter((machine) => machine.zone === zone).length;
  }

  private recordViolation(description: string): void {
    this.violations.push(`${(this.nowMs() / 1000).toFixed(3)} ${description}`);
  }
}
