/**
 * A job in the memory of the leader, with its phase, pipeline and priority. Its allocations, the progress of its tasks,
 * its queue times and its persisted state are in separate modules. Its state changes only through named methods.
 */
import { DEPENDENT_START_DELAY_MS, MIN_RUN_TIME_ESTIMATE_SHARE } from '../constants.js';
import type { JobPhase, JobSpec, Rank } from '../state/records.js';
import { higherRank, minDeadlines, type Priority, type PrioritizedJob } from './inherited-priority.js';
import { JobAllocations, type TaskAttempt } from './job-allocations.js';
import type { JobOptions } from './job-options.js';
import { JobPersistence, type JobRecordState, type JobWrite } from './job-persistence.js';
import {
  ANY_CAPACITY_MEMBER,
  createJobPipeline,
  createSuccessorPipeline,
  SPOT_CAPACITY_MEMBER,
} from './job-pipeline.js';
import { JobProgress } from './job-progress.js';
import { isExecuting, type MemberStates, type PipelineEnding } from './pipeline.js';
import { PipelineExecution } from './pipeline-execution.js';
import { QueueTimes } from './queue-times.js';
import { RunTimeEstimator } from './run-time-estimator.js';

/** A job with a specification. `Attempt` is the type of the attempts to run its tasks on nodes. */
export class Job<Attempt extends TaskAttempt> implements PrioritizedJob, JobRecordState {
  /** Identifies the job. It is part of the job's key in the state store. */
  readonly uid: string;
  /** The specification that the user submitted. */
  readonly spec: JobSpec;
  /** Uids of the jobs that must be done before any task of this job starts. */
  readonly dependencies: readonly string[];
  /** Its priority as it was submitted. */
  readonly ownPriority: Priority;
  /** Whether an earlier term may have started its tasks. If so, nodes that are not reconciled yet may run them. */
  readonly startedInEarlierTerm: boolean;

  /** The job's record and completed tasks in the state store, and the writes to them. */
  readonly persistence: JobPersistence;
  /** The run times and failures of its tasks. */
  readonly progress: JobProgress;
  /** The times since which its dependencies are done, and since which it waits for capacity. */
  readonly queueTimes = new QueueTimes();

  private readonly jobAllocations: JobAllocations<Attempt>;
  private readonly pipelineExecution: PipelineExecution;
  private currentPhase: JobPhase;
  private isRunningSuccessor: boolean;
  private finishedAtMs: number | undefined;
  private highestInheritedPriority: Priority | undefined;
  private shouldAvoidSpot = false;

  constructor(options: JobOptions) {
    const { uid, record, spec, modRevision, deadlineObjectives } = options;
    this.uid = uid;
    this.spec = spec;
    this.dependencies = options.dependencies ?? [];
    this.startedInEarlierTerm = isExecuting(record.memberStates);
    this.persistence = new JobPersistence(record, modRevision);
    this.jobAllocations = new JobAllocations(spec.tasks, this.persistence);
    this.progress = new JobProgress(uid, spec, options.runTimeEstimator ?? new RunTimeEstimator());
    this.currentPhase = record.phase;
    this.isRunningSuccessor = record.isSuccessorRunning;
    const pipelineWithDeadlines = createJobPipeline(spec, deadlineObjectives);
    this.pipelineExecution = new PipelineExecution(
      record.isSuccessorRunning ? createSuccessorPipeline(spec) : pipelineWithDeadlines,
      record.memberStates,
    );
    const deadlinesMs = pipelineWithDeadlines.valueSteps.map(
      (step) => record.acceptedMs + step.untilS * 1000,
    );
    this.ownPriority = { rank: spec.rank, deadlinesMs };
  }

  // --- phase and pipeline ----------------------------------------------------------------------------

  /** Whether the job is open, done or cancelled. */
  get phase(): JobPhase {
    return this.currentPhase;
  }

  /** Whether the job is neither done nor cancelled. */
  get isOpen(): boolean {
    return this.currentPhase === 'open';
  }

  /** Whether the job runs until it is cancelled. */
  get isService(): boolean {
    return this.spec.kind === 'service';
  }

  /** The states of the members of its pipeline. */
  get memberStates(): MemberStates {
    return this.pipelineExecution.memberStates;
  }

  /** Whether the job's deadlines have passed, so that it now runs the successor pipeline without deadlines. */
  get isSuccessorRunning(): boolean {
    return this.isRunningSuccessor;
  }

  /** Whether the state store records that its tasks may have started. This must be so before the first task starts. */
  get isStartPersisted(): boolean {
    return this.pipelineExecution.isExecuting && isExecuting(this.persistence.record.memberStates);
  }

  /** Whether on-demand instances may be launched for the job. */
  get mayLaunchOnDemand(): boolean {
    return this.pipelineExecution.getMemberState(ANY_CAPACITY_MEMBER) === 'E';
  }

  /** Whether only spot instances may be launched for the job. */
  get mayLaunchSpotOnly(): boolean {
    return this.spec.spot && this.pipelineExecution.getMemberState(SPOT_CAPACITY_MEMBER) === 'E';
  }

  /** Submits the members of its pipeline that are currently executable. */
  submitExecutableMembers(): void {
    this.pipelineExecution.submitExecutableMembers();
  }

  /** Allows on-demand instances for a job that preferred spot instances. */
  fallBackFromSpot(): void {
    if (this.mayLaunchSpotOnly) this.pipelineExecution.failMember(SPOT_CAPACITY_MEMBER);
  }

  /**
   * Ends the job's pipeline if it is due to end. Returns how it ended, or undefined if it goes on or the job was
   * already done or cancelled.
   */
  endPipelineIfDue(wallMs: number): PipelineEnding | undefined {
    if (!this.isOpen) return undefined;
    if (!this.isService && this.unfinishedTaskCount === 0) {
      if (!this.pipelineExecution.isExecuting) this.pipelineExecution.submitExecutableMembers();
      this.pipelineExecution.succeedExecutingMembers();
    }
    const ending = this.pipelineExecution.determineEnding((wallMs - this.acceptedMs) / 1000);
    if (ending === 'acceptable') {
      this.currentPhase = 'done';
      this.finishedAtMs = wallMs;
    } else if (ending === 'expired') {
      this.isRunningSuccessor = true;
      this.pipelineExecution.replaceWith(createSuccessorPipeline(this.spec));
    }
    return ending;
  }

  /** Cancels the job. Returns false if it was already cancelled. */
  cancel(): boolean {
    if (this.currentPhase === 'cancelled') return false;
    this.currentPhase = 'cancelled';
    return true;
  }

  // --- priority and position in the queue ------------------------------------------------------------

  /** Wall time, in milliseconds, at which a controller accepted the job. */
  get acceptedMs(): number {
    return this.persistence.record.acceptedMs;
  }

  /** Whether the job depends on other jobs. This is known even if the list of these jobs can't be read. */
  get hasDependencies(): boolean {
    return this.dependencies.length > 0 || this.spec.dependencyList !== undefined;
  }

  /** The highest priority inherited from its dependents. Undefined if it has not inherited any. */
  get inheritedPriority(): Priority | undefined {
    return this.highestInheritedPriority;
  }

  /** Replaces the inherited priority with a higher one. */
  inheritPriority(priority: Priority): void {
    this.highestInheritedPriority = priority;
  }

  /** The highest rank among the job and its dependents. */
  get rank(): Rank {
    const { rank } = this.spec;
    return this.highestInheritedPriority ? higherRank(rank, this.highestInheritedPriority.rank) : rank;
  }

  /** Expected duration, in milliseconds, from the end of its last dependency to its own end. */
  get expectedDurationMs(): number {
    return this.progress.expectedRunTimeS * 1000 + DEPENDENT_START_DELAY_MS;
  }

  /**
   * Wall time, in milliseconds, of the earliest among the job's own deadline and those inherited from its dependents.
   * Infinity if there are none.
   */
  get earliestDeadlineMs(): number {
    const { deadlineS } = this.spec;
    const ownDeadlineMs = deadlineS === null ? Infinity : this.acceptedMs + deadlineS * 1000;
    return Math.min(ownDeadlineMs, this.highestInheritedPriority?.deadlinesMs[0] ?? Infinity);
  }

  /**
   * Returns the wall time, in milliseconds, of the deadline that determines the job's position in the queue. This is
   * the earliest own or inherited deadline that can still be met, or Infinity if there is none. A deadline that can no
   * longer be met must not delay jobs whose deadlines can still be met.
   */
  getSchedulingDeadlineMs(wallMs: number): number {
    const minRunTimeMs =
      this.pendingTaskCount > 0 ? this.spec.estimatedRunS * 1000 * MIN_RUN_TIME_ESTIMATE_SHARE : 0;
    const ownDeadlinesMs = this.pipelineExecution.valueSteps.map(
      (step) => this.acceptedMs + step.untilS * 1000,
    );
    const inheritedPriority = this.highestInheritedPriority;
    const deadlinesMs = inheritedPriority
      ? minDeadlines(ownDeadlinesMs, inheritedPriority.deadlinesMs)
      : ownDeadlinesMs;
    return deadlinesMs.find((deadlineMs) => wallMs + minRunTimeMs <= deadlineMs) ?? Infinity;
  }

  /** Wall time, in milliseconds, since which the job is accepted and all its dependencies are done. */
  get queuedSinceMs(): number {
    const { dependenciesDoneSinceMs } = this.queueTimes;
    return Number.isNaN(dependenciesDoneSinceMs) ? this.acceptedMs : dependenciesDoneSinceMs;
  }

  /** Whether the job avoids spot instances because they are interrupted too often for its deadline. */
  get avoidsSpot(): boolean {
    return this.shouldAvoidSpot;
  }

  /** Sets whether the job avoids spot instances because they are interrupted too often for its deadline. */
  setAvoidsSpot(avoidsSpot: boolean): void {
    this.shouldAvoidSpot = avoidsSpot;
  }

  // --- tasks and allocations -------------------------------------------------------------------------

  /** Number of tasks that are neither completed nor allocated. */
  get pendingTaskCount(): number {
    return this.unfinishedTaskCount - this.attemptByTask.size;
  }

  /** Number of tasks that are not completed. */
  get unfinishedTaskCount(): number {
    return this.spec.tasks - this.persistence.completedTaskCount;
  }

  /** The attempts that are, may be, or are planned to be on a node, by task number. */
  get attemptByTask(): ReadonlyMap<number, Attempt> {
    return this.jobAllocations.attempts;
  }

  /** Number of allocated tasks per zone. Zones without allocated tasks are absent. */
  get allocationsPerZone(): ReadonlyMap<string, number> {
    return this.jobAllocations.allocationsPerZone;
  }

  /** Returns the number of the first pending task at or after `fromTask`, or -1 if there is none. */
  findNextPendingTask(fromTask = 0): number {
    return this.jobAllocations.findNextPendingTask(fromTask);
  }

  /** Allocates the attempt's task to this attempt. */
  addAllocation(attempt: Attempt, zone: string): void {
    this.jobAllocations.add(attempt, zone);
  }

  /** Makes the attempt's task pending again, unless the task is allocated to another attempt. */
  removeAllocation(attempt: Attempt, zone: string): void {
    this.jobAllocations.remove(attempt, zone);
  }

  /** Marks a task as completed. */
  completeTask(task: number): void {
    if (this.persistence.markCompleted(task)) this.progress.recordCompletion();
  }

  // --- persisted state -------------------------------------------------------------------------------

  /** Whether the state store holds an outdated state of the job. */
  get needsWrite(): boolean {
    const { phase, spec } = this.persistence.record;
    // A cancelled job stays stored with its specification until none of its tasks is left on a node, so that a new
    // leader accounts for these tasks.
    if (phase === 'cancelled') return spec !== undefined && this.attemptByTask.size === 0;
    return phase !== 'done' && this.persistence.differsFrom(this);
  }

  /**
   * Starts a write of the job with at most `maxSegments` segments of completed tasks. The result of the write must be
   * passed to `persistence`.
   */
  beginWrite(maxSegments: number): JobWrite {
    const shouldKeepSpec = this.isOpen || this.attemptByTask.size > 0;
    const record = {
      phase: this.currentPhase,
      memberStates: this.memberStates,
      isSuccessorRunning: this.isRunningSuccessor,
      taskCount: this.spec.tasks,
      spec: shouldKeepSpec ? (this.persistence.storedSpec ?? this.spec) : undefined,
      acceptedMs: this.acceptedMs,
      ...(this.finishedAtMs === undefined ? {} : { finishedMs: this.finishedAtMs }),
    };
    return this.persistence.beginWrite(record, maxSegments);
  }
}
