/**
 * An attempt is one start of a task on one node. Its state changes only through the transition methods of `Attempt`.
 */
import type { Job as PipelineJob } from '../pipeline/job.js';
import type { WireInt } from '../wire/json.js';
import type { ExitCause, TaskState } from './worker-messages.js';
import type { Node } from './node.js';
import { NO_RESOURCES, type Resources } from './resources.js';

/** A job whose tasks are allocated to the nodes of the cluster. */
export type Job = PipelineJob<Attempt>;

/**
 * The state of an attempt.
 *
 * - `planned`: No start command was sent yet.
 * - `sent`: A start command was sent, and no heartbeat has listed the attempt since.
 * - The other states are those that the worker reports.
 */
export type AttemptState = 'planned' | 'sent' | TaskState;

/**
 * Why an attempt should stop.
 *
 * - `jobEnded`: Its job was cancelled or is done.
 * - `preempted`: Its room is needed for another job.
 * - `nodeInterrupted`: The cloud will reclaim its node.
 * - `unwanted`: A worker lists it, and its task is not meant to run there: another attempt of it is allocated, it is completed, or
 *   its job has ended or is not known.
 */
export type StopReason = 'jobEnded' | 'preempted' | 'nodeInterrupted' | 'unwanted';

/** A request to stop an attempt. */
export interface StopRequest {
  /** Seconds for which the task may save a checkpoint. */
  readonly gracePeriodS: number;
  readonly reason: StopReason;
}

/** The identity of an attempt, and the job that it belongs to. */
export interface AttemptIdentity {
  /** Undefined if a worker lists a task of a job that is not known here. */
  readonly job: Job | undefined;
  readonly jobUid: string;
  /** Index of the task within its job, starting at 0. */
  readonly taskIndex: number;
  /**
   * The number of the attempt, which is unique among all attempts of all terms. Its high bits are the number of the
   * term.
   */
  readonly number: WireInt;
  readonly node: Node;
}

/** One start of a task on one node, from the scheduling decision until the attempt is known to have ended. */
export interface Attempt extends AttemptIdentity {
  /** Resources that the attempt takes from its node and from the quota of its team. */
  readonly resources: Resources;
  readonly state: AttemptState;
  /**
   * Sequence number of the heartbeat whose response last carried the start command. 0 if no start command was sent.
   */
  readonly startSentSequence: WireInt;
  /** Steady time in ms at which the start command was last sent. -Infinity if none was sent. */
  readonly startSentMs: number;
  /**
   * Steady time in ms at which the worker first listed the attempt as running. Until then, the time at which the
   * attempt was planned, or first listed if it was not planned in this term.
   */
  readonly startedMs: number;
  /** The request to stop the attempt. Undefined if the attempt should keep running. */
  readonly stopRequest: StopRequest | undefined;
  /** Why the attempt exited. Undefined while it has not exited. */
  readonly exitCause: ExitCause | undefined;

  /** Records that a start command was sent in the response to the heartbeat with this sequence number. */
  markStartSent(sequence: WireInt, nowMs: number): void;
  /** Changes the state back to `planned`, because the start command was certainly not executed. */
  returnToPlanned(): void;
  /** Requests that the attempt stop. */
  requestStop(request: StopRequest): void;
  /** Records that the worker lists the attempt in a state other than exited. */
  recordState(state: Exclude<TaskState, 'exited'>, nowMs: number): void;
  /** Records that the worker lists the attempt as exited. */
  recordExit(cause: ExitCause): void;
}

class TrackedAttempt implements Attempt {
  readonly job: Job | undefined;
  readonly jobUid: string;
  readonly taskIndex: number;
  readonly number: WireInt;
  readonly node: Node;
  readonly resources: Resources;
  state: AttemptState;
  startSentSequence: WireInt = 0;
  startSentMs = -Infinity;
  startedMs: number;
  stopRequest: StopRequest | undefined = undefined;
  exitCause: ExitCause | undefined = undefined;

  constructor(identity: AttemptIdentity, state: AttemptState, nowMs: number) {
    this.job = identity.job;
    this.jobUid = identity.jobUid;
    this.taskIndex = identity.taskIndex;
    this.number = identity.number;
    this.node = identity.node;
    this.resources = getRequestedResources(identity.job);
    this.state = state;
    this.startedMs = nowMs;
  }

  markStartSent(sequence: WireInt, nowMs: number): void {
    this.state = 'sent';
    this.startSentSequence = sequence;
    this.startSentMs = nowMs;
  }

  returnToPlanned(): void {
    this.state = 'planned';
  }

  requestStop(request: StopRequest): void {
    this.stopRequest = request;
  }

  recordState(state: Exclude<TaskState, 'exited'>, nowMs: number): void {
    if (state === 'running' && this.state !== 'running') this.startedMs = nowMs;
    this.state = state;
  }

  recordExit(cause: ExitCause): void {
    this.state = 'exited';
    this.exitCause = cause;
  }
}

/** Creates an attempt that the scheduler planned or that a heartbeat listed. It is not part of a cluster state yet. */
export function createAttempt(identity: AttemptIdentity, state: AttemptState, nowMs: number): Attempt {
  return new TrackedAttempt(identity, state, nowMs);
}

/** Returns the key of an attempt among the attempts of its node. */
export function formatAttemptKey(jobUid: string, taskIndex: number, number: WireInt): string {
  return `${jobUid}/${taskIndex}#${number}`;
}

/** Returns the name of the attempt's task, as it appears in commands, in logs and to users. */
export function formatTaskName({ jobUid, taskIndex }: Pick<Attempt, 'jobUid' | 'taskIndex'>): string {
  return `${jobUid}/${taskIndex}`;
}

function getRequestedResources(job: Job | undefined): Resources {
  if (!job) return NO_RESOURCES;
  const { cpus, accelerators, memGb } = job.spec;
  return { cpus, accelerators, memGb };
}
