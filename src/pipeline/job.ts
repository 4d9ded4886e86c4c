import {
  DONE_CHUNK_TASKS,
  ERROR_BACKOFF_MAX_MS,
  ERROR_BACKOFF_MS,
  FOLLOW_MS,
  LEAST_RUN_SHARE,
  RAN_MARGIN,
} from '../constants.js';
import type { Attempt } from '../fleet/ledger.js';
import {
  decodeDone,
  encodeDone,
  type JobRecord,
  type JobSpec,
  type Phase,
  type Rank,
} from '../state/records.js';
import { RunTimes } from './run-times.js';
import { mostUrgent, type Urgency } from './urgency.js';
import { TaskSet } from '../state/task-set.js';
import type { WireInt } from '../wire/json.js';
import { ANY, SPOT, pipelineOf, type Objective } from './job-pipeline.js';
import {
  ending,
  executable,
  expiryS,
  initialState,
  letterOf,
  withLetter,
  type Ending,
  type Pipeline,
} from './pipeline.js';

/**
 * A job as the leader holds it. Waiting tasks are not objects: they are the numbers that are neither finished nor
 * bound to a machine.
 */
export class Job {
  readonly uid: string;
  readonly spec: JobSpec;
  phase: Phase;
  tuple: string;
  successor: boolean;
  /** What the state service surely holds, and its stamp. */
  stored: JobRecord;
  stamp: WireInt;
  readonly done: TaskSet;
  /** Chunks beyond the first, by number: the stamp of each key (0: none yet). */
  readonly chunkStamps = new Map<number, WireInt>();
  readonly dirtyChunks = new Set<number>();
  /** Finished tasks whose finish is stored: their attempts may be cleared. */
  readonly storedDone: TaskSet;
  /** Tasks that are, or may be, on a machine, or are planned for one. */
  readonly bound = new Map<number, Attempt>();
  readonly zones = new Map<string, number>();
  writing = false;
  /** Wall ms before which it is not written again. */
  storeNotBeforeMs = -Infinity;
  /** E stood in the state service before this term: its tasks may be on machines not yet accounted for. */
  inherited: boolean;
  /** Steady ms since when a task of it waits for room; NaN while none does. */
  waitingSinceMs = NaN;
  /** Whether spot machines are taken back too often for its deadline: ordinary ones are preferred. */
  shunsSpot = false;
  /** Steady ms since when it waits with no task on a machine; Infinity while one is. */
  starvingSinceMs = Infinity;
  notBeforeMs = 0;
  private errors = 0;
  private ranS = 0;
  private ranTasks = 0;
  /** Machines on which a task of it failed. */
  readonly failedOn = new Set<string>();
  private cursor = 0;
  private pipeline: Pipeline;
  /** Jobs that must be done before any task of it starts. */
  readonly dependencies: readonly string[];
  /** Its own urgency as it was submitted, and what the jobs after it pass on (urgency.ts). */
  readonly own: Urgency;
  passedOn: Urgency | undefined;
  /** Wall ms at which the last job that it needs was done; NaN while that is not so. */
  releasedMs = NaN;
  /** Wall ms at which it was done. */
  finishedMs: number | undefined;

  constructor(
    uid: string,
    record: JobRecord,
    stamp: WireInt,
    private readonly objectives: Objective[],
    private readonly runTimes: RunTimes = new RunTimes(),
    dependencies: readonly string[] = [],
  ) {
    this.uid = uid;
    this.spec = record.spec!;
    this.stored = record;
    this.stamp = stamp;
    this.phase = record.phase;
    this.successor = record.successor;
    this.tuple = record.tuple;
    this.pipeline = pipelineOf(this.spec, objectives, record.successor);
    this.dependencies = dependencies;
    const steps = pipelineOf(this.spec, objectives, false).value;
    this.own = {
      rank: this.spec.rank,
      dueMs: steps.map((step) => record.acceptedMs + step.untilS * 1000),
    };
    this.done = new TaskSet(this.spec.tasks);
    this.storedDone = new TaskSet(this.spec.tasks);
    this.inherited = record.tuple.includes('E');
    this.learnDone(0, record.done);
  }

  /** Whether it has to wait for other jobs; so also where their list can't be read. */
  get isDependent(): boolean {
    return this.dependencies.length > 0 || this.spec.dependencySet !== undefined;
  }

  /** The most urgent rank among itself and the jobs that need it. */
  get rank(): Rank {
    return this.passedOn ? mostUrgent(this.own, this.passedOn).rank : this.spec.rank;
  }

  /** Ms from when all before it is done until it is, as expected. */
  get followMs(): number {
    return this.expectedS * 1000 + FOLLOW_MS;
  }

  /** Wall ms since when it may run: accepted, and all before it done. */
  get queuedMs(): number {
    return Number.isNaN(this.releasedMs) ? this.acceptedMs : this.releasedMs;
  }

  /** Wall ms of the first deadline that it, or a job that needs it, was given; Infinity: there is none. */
  get firstDueMs(): number {
    const { dueS } = this.spec;
    const own = dueS === null ? Infinity : this.acceptedMs + dueS * 1000;
    return Math.min(own, this.passedOn?.dueMs[0] ?? Infinity);
  }

  get isService(): boolean {
    return this.spec.kind === 'service';
  }

  get isOpen(): boolean {
    return this.phase === 'open';
  }

  /** Tasks neither finished nor bound. */
  get pending(): number {
    return this.spec.tasks - this.done.length - this.bound.size;
  }

  get unfinished(): number {
    return this.spec.tasks - this.done.length;
  }

  get acceptedMs(): number {
    return this.stored.acceptedMs;
  }

  /**
   * Wall ms of the deadline that orders releases: the end of the first step of the value function that can still be
   * reached, or Infinity. What can't be in time any more must not hold up what can.
   */
  dueMs(wallMs: number): number {
    const neededMs = this.pending > 0 ? this.spec.guessS * 1000 * LEAST_RUN_SHARE : 0;
    const own = this.pipeline.value.map((step) => this.stored.acceptedMs + step.untilS * 1000);
    const steps = this.passedOn ? mostUrgent({ rank: this.rank, dueMs: own }, this.passedOn).dueMs : own;
    return steps.find((endMs) => wallMs + neededMs <= endMs) ?? Infinity;
  }

  learnDone(chunk: number, text: string): void {
    decodeDone(this.done, chunk, text);
    decodeDone(this.storedDone, chunk, text);
  }

  /** The next waiting task at or after `from`, or -1. */
  nextPending(from = 0): number {
    for (let task = Math.max(from, this.cursor); task < this.spec.tasks; task++) {
      if (!this.done.has(task) && !this.bound.has(task)) {
        if (from <= this.cursor) this.cursor = task;
        return task;
      }
    }
    return -1;
  }

  bind(attempt: Attempt, zone: string): void {
    this.bound.set(attempt.index, attempt);
    this.zones.set(zone, (this.zones.get(zone) ?? 0) + 1);
  }

  unbind(attempt: Attempt, zone: string): void {
    if (this.bound.get(attempt.index) !== attempt) return;
    this.bound.delete(attempt.index);
    this.cursor = Math.min(this.cursor, attempt.index);
    const left = (this.zones.get(zone) ?? 1) - 1;
    if (left > 0) this.zones.set(zone, left);
    else this.zones.delete(zone);
  }

  finish(task: number): void {
    if (!this.done.add(task)) return;
    this.errors = 0;
    const chunk = this.chunkOf(task);
    if (chunk > 0) this.dirtyChunks.add(chunk);
  }

  /** A task of it completed after running this long. */
  ran(seconds: number): void {
    this.ranS += seconds;
    this.ranTasks++;
    this.runTimes.ran(this.spec.cohort, this.uid, this.ranS / this.ranTasks, this.spec.guessS);
  }

  /**
   * Seconds that a task of it is expected to run, on the safe side: what its tasks took so far, or else its owner's
   * guess, which is often wrong by half, and what the class's jobs took against theirs.
   */
  get expectedS(): number {
    if (this.ranTasks > 0) return (this.ranS / this.ranTasks) * RAN_MARGIN;
    return this.spec.guessS * this.runTimes.margin(this.spec.cohort);
  }

  /** A task failed on `node`: retried elsewhere, later and later. */
  fail(node: string, nowMs: number): void {
    this.failedOn.add(node);
    this.notBeforeMs =
      nowMs + Math.min(ERROR_BACKOFF_MAX_MS, ERROR_BACKOFF_MS * 2 ** Math.min(10, this.errors++));
  }

  private chunkOf(task: number): number {
    return Math.floor(task / DONE_CHUNK_TASKS);
  }

  // --- the pipeline ----------------------------------------------------------------------------------

  /** Submits what the predicates release: E in the tuple. True if anything was. */
  release(): boolean {
    const members = executable(this.pipeline, this.tuple);
    for (const member of members) this.tuple = withLetter(this.pipeline, this.tuple, member, 'E');
    return members.length > 0;
  }

  get running(): boolean {
    return this.tuple.includes('E');
  }

  /** Whether E is stored, as it must be before a task starts. */
  get released(): boolean {
    return this.running && this.stored.tuple.includes('E');
  }

  /** Whether ordinary machines may be rented for it. */
  get mayRentOrdinary(): boolean {
    return letterOf(this.pipeline, this.tuple, ANY) === 'E';
  }

  get prefersSpot(): boolean {
    return this.spec.spot && letterOf(this.pipeline, this.tuple, SPOT) === 'E';
  }

  /** The preferred member failed: its alternative is released. */
  failSpot(): void {
    if (!this.prefersSpot) return;
    this.tuple = withLetter(this.pipeline, this.tuple, SPOT, 'F');
    this.release();
  }

  /** Called on each finish: sets S when the member reached its objective and takes the ending, if there is one. */
  settle(ageS: number): Ending | undefined {
    if (!this.isOpen) return undefined;
    if (!this.isService && this.done.length === this.spec.tasks) {
      if (!this.running) this.release();
      for (const { name } of this.pipeline.members) {
        if (letterOf(this.pipeline, this.tuple, name) === 'E')
          this.tuple = withLetter(this.pipeline, this.tuple, name, 'S');
      }
    }
    const end = ending(this.pipeline, this.tuple, ageS);
    if (end === 'acceptable') this.phase = 'done';
    else if (end === 'expired') this.succeed();
    return end;
  }

  /** t0: the dated pipeline has ended; an undated one adopts its running tasks. */
  private succeed(): void {
    const ran = this.running;
    this.successor = true;
    this.pipeline = pipelineOf(this.spec, this.objectives, true);
    this.tuple = initialState(this.pipeline);
    if (ran) this.release();
  }

  expiresAtS(): number | null {
    return expiryS(this.pipeline);
  }

  // --- the stored form -------------------------------------------------------------------------------

  record(): JobRecord {
    return {
      phase: this.phase,
      tasks: this.spec.tasks,
      spec: this.isOpen || this.bound.size > 0 ? this.spec : undefined,
      acceptedMs: this.stored.acceptedMs,
      tuple: this.tuple,
      successor: this.successor,
      done: encodeDone(this.done, 0),
      ...(this.finishedMs === undefined ? {} : { finishedMs: this.finishedMs }),
    };
  }

  /** The write of these finishes was confirmed. */
  learnStored(done: string, chunks: [chunk: number, text: string][], epoch: WireInt): void {
    decodeDone(this.storedDone, 0, done);
    for (const [chunk, text] of chunks) {
      this.chunkStamps.set(chunk, epoch);
      decodeDone(this.storedDone, chunk, text);
    }
  }

  get needsWrite(): boolean {
    const stored = this.stored;
    // A cancelled job keeps its description until nothing of it is left, so that a new leader counts its tasks.
    if (stored.phase === 'cancelled') return stored.spec !== undefined && this.bound.size === 0;
    if (stored.phase === 'done') return false;
    return (
      this.dirtyChunks.size > 0 ||
      stored.phase !== this.phase ||
      stored.tuple !== this.tuple ||
      stored.successor !== this.successor ||
      this.done.length !== this.storedDone.length
    );
  }
}
