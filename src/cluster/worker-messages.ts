/**
 * The messages between workers and the leader. Workers send heartbeats with the status of their tasks, and the leader
 * sends commands. `src/workers/codec.ts` translates these messages to and from their names on the wire.
 */
import type { WireInt } from '../wire/json.js';

/**
 * State of a task on its node. The task first waits for its image, then runs, then may save a checkpoint before its
 * exit, and finally has exited.
 */
export type TaskState = 'fetching' | 'running' | 'saving' | 'exited';

/**
 * Why a task exited. For `insufficientResources`, `conflictingAttempt` (the node holds another attempt of the task)
 * and `unknownTask` (there is no such job or task) the worker refused the start. `unknown` stands for any cause that
 * a later version of the protocol may add.
 */
export type ExitCause =
  | 'completed'
  | 'stopped'
  | 'failed'
  | 'insufficientResources'
  | 'conflictingAttempt'
  | 'unknownTask'
  | 'unknown';

/** One attempt of a task as its worker reports it. */
export interface TaskStatus {
  /** Uid of the job. */
  readonly jobUid: string;
  /** Index of the task within its job, starting at 0. */
  readonly taskIndex: number;
  readonly attemptNumber: WireInt;
  readonly state: TaskState;
  /** Why the task exited. Undefined unless the task has exited and its worker reports the cause. */
  readonly exitCause?: ExitCause;
}

/**
 * A worker's heartbeat. It tells which worker sent it, which fencing token the worker has seen, and which tasks are on
 * the worker's node. A worker also responds to a direct call with a message of this form.
 */
export interface Heartbeat {
  /** Name of the worker's node. */
  readonly nodeName: string;
  /** `host:port` at which the worker accepts commands. */
  readonly address: string;
  /** Instance type of the node. */
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** Number that grows each time the worker's lease expires, which ends all tasks of the worker. */
  readonly incarnation: WireInt;
  /**
   * Number that grows with each message of an incarnation. The message with the larger (incarnation, sequence) is the
   * newer one.
   */
  readonly sequence: WireInt;
  /** The highest fencing token that the worker has seen. */
  readonly fencingToken: WireInt;
  /** Seconds until the cloud reclaims the node. Null if there is no interruption notice. */
  readonly interruptionNoticeS: number | null;
  /** All tasks on the node, including exited tasks that were not acknowledged yet. */
  readonly tasks: readonly TaskStatus[];
}

/**
 * A command to a worker about one attempt of a task. Every command may be repeated, but no start command may follow
 * the acknowledgement of the same attempt.
 */
export type WorkerCommand = StartCommand | StopCommand | AcknowledgeCommand;

interface TaskCommand {
  /** `<job uid>/<task index>`. */
  readonly taskName: string;
  readonly attemptNumber: WireInt;
}

/** Starts the attempt. It has no effect if the worker already holds the attempt. */
interface StartCommand extends TaskCommand {
  readonly kind: 'start';
}

/**
 * Stops the attempt. Its task may save a checkpoint if that takes no longer than the grace period, which is in
 * seconds.
 */
interface StopCommand extends TaskCommand {
  readonly kind: 'stop';
  readonly gracePeriodS: number;
}

/**
 * Tells the worker to forget an exited attempt. Its end has been recorded, and heartbeats need not list it any
 * longer.
 */
interface AcknowledgeCommand extends TaskCommand {
  readonly kind: 'acknowledge';
}
