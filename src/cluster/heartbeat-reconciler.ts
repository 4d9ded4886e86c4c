/** Reconciles the attempts that the cluster state holds with the tasks that the workers list. */
import type { Logger } from 'pino';
import type { Heartbeat, TaskState, TaskStatus } from './worker-messages.js';
import { formatAttemptKey, formatTaskName, type Attempt, type AttemptState, type Job } from './attempt.js';
import type { ClusterState } from './cluster-state.js';
import {
  classifyUnlistedAttempt,
  hasExpiredDespiteResponse,
  isNewerHeartbeat,
  computeLeaseExpiryMs,
  type HeartbeatSource,
} from './lease-rules.js';
import type { Node } from './node.js';

/** The tasks that a worker lists, by the keys of their attempts. */
type ListedTasks = ReadonlyMap<string, TaskStatus>;

/** Dependencies of `HeartbeatReconciler`. */
export interface HeartbeatReconcilerDependencies {
  readonly clusterState: ClusterState;
  /**
   * Duration of a lease in seconds. A worker keeps running its tasks for this time after its last answered heartbeat.
   */
  readonly leaseS: number;
  readonly findJob: (uid: string) => Job | undefined;
  readonly log: Logger;
}

/** Applies heartbeats, and the responses to them, to the nodes and attempts of the cluster state. */
export class HeartbeatReconciler {
  constructor(private readonly dependencies: HeartbeatReconcilerDependencies) {}

  /**
   * Applies the status that a worker sent in a heartbeat or in its response to a command. Returns false and changes
   * nothing if the status is no newer than the last known one, or if it belongs to a fenced incarnation. Returns false
   * and marks the worker as replaced if the status cannot follow the last known one.
   */
  apply(node: Node, heartbeat: Heartbeat, source: HeartbeatSource, nowMs: number): boolean {
    if (node.isWorkerReplaced) return false;
    if (heartbeat.incarnation <= node.fencedIncarnation || !isNewerHeartbeat(heartbeat, node)) return false;
    const listedTasks = indexTasks(heartbeat);
    if (source === 'heartbeat' && lacksKnownTask(node, heartbeat, listedTasks)) {
      this.markWorkerReplaced(node, nowMs);
      return false;
    }
    this.applyIncarnation(node, heartbeat, nowMs);
    node.recordStatus(heartbeat, nowMs);
    // A worker that responds to commands may still be unable to reach any controller. Only its heartbeats show that
    // its lease is renewed.
    if (source === 'heartbeat') node.recordHeartbeat(nowMs);
    const hasAcknowledgedStart = [...listedTasks.keys()].some(
      (key) => node.attempts.get(key)?.state === 'sent',
    );
    this.applyListedTasks(node, listedTasks, nowMs);
    const hasUnexecutedStart = this.applyUnlistedAttempts(node, listedTasks, source);
    if (hasAcknowledgedStart) node.acknowledgeResponses();
    else if (hasUnexecutedStart) node.countUnacknowledgedResponse();
    return true;
  }

  /**
   * Records that a heartbeat is answered with status 200, and that the response reaches the worker at the steady time
   * `responseMs` at the latest. This has to be called before the response is sent.
   */
  recordResponse(node: Node, responseMs: number): void {
    node.recordResponse(responseMs);
    this.extendLease(node, responseMs);
  }

  /**
   * Applies the status of a new worker that has replaced the known one, according to its response to a direct call. What
   * the response does not list has ended with the former worker. No further message of the node is applied.
   */
  applyReplacement(node: Node, response: Heartbeat, nowMs: number): void {
    this.markWorkerReplaced(node, nowMs);
    const listedTasks = indexTasks(response);
    this.applyListedTasks(node, listedTasks, nowMs);
    this.applyUnlistedAttempts(node, listedTasks, 'commandResponse');
  }

  /** Marks the worker as replaced. The lease of the new worker started with the worker, which was before now. */
  private markWorkerReplaced(node: Node, nowMs: number): void {
    node.markWorkerReplaced();
    this.extendLease(node, nowMs);
  }

  private extendLease(node: Node, leaseStartMs: number): void {
    node.extendLease(computeLeaseExpiryMs(leaseStartMs, this.dependencies.leaseS));
  }

  /**
   * If the heartbeat belongs to a newer incarnation, ends all attempts of the previous one and extends the lease. Also
   * detects that the previous incarnation ended because responses did not reach the worker.
   */
  private applyIncarnation(node: Node, heartbeat: Heartbeat, nowMs: number): void {
    const { lastResponseMs } = node;
    if (
      hasExpiredDespiteResponse({
        heartbeat,
        lastKnown: node,
        lastResponseMs,
        nowMs,
        leaseS: this.dependencies.leaseS,
      })
    )
      node.markResponsesLost();
    if (heartbeat.incarnation <= node.incarnation) return;
    this.dependencies.clusterState.releaseAllAttempts(node);
    // The new incarnation starts with a lease of its own, even if this heartbeat gets no response.
    this.extendLease(node, nowMs);
  }

  private applyListedTasks(node: Node, listedTasks: ListedTasks, nowMs: number): void {
    for (const [key, task] of listedTasks) {
      const attempt = node.attempts.get(key) ?? this.addListedAttempt(node, task, nowMs);
      this.applyListedTask(node, attempt, task, nowMs);
    }
  }

  private applyListedTask(node: Node, attempt: Attempt, task: TaskStatus, nowMs: number): void {
    if (attempt.state === 'exited') return;
    if (task.state === 'exited') {
      this.dependencies.clusterState.exitAttempt(attempt, task.exitCause ?? 'stopped');
      return;
    }
    if (task.state === 'running' && attempt.state !== 'running' && attempt.job) {
      const { image, imageGb } = attempt.job.spec;
      node.cacheImage(image, imageGb);
    }
    attempt.recordState(task.state, nowMs);
  }

  /** Adds an attempt of an earlier term, or one that kept running after it was released. */
  private addListedAttempt(node: Node, task: TaskStatus, nowMs: number): Attempt {
    const { clusterState, findJob } = this.dependencies;
    const job = findJob(task.jobUid);
    const attempt = clusterState.addListedAttempt(
      { job, jobUid: task.jobUid, taskIndex: task.taskIndex, number: task.attemptNumber, node },
      nowMs,
    );
    const isWanted =
      job?.isOpen &&
      job.attemptByTask.get(task.taskIndex) === attempt &&
      !job.persistence.isCompleted(task.taskIndex);
    if (!isWanted) {
      attempt.requestStop({ gracePeriodS: 0, reason: 'unwanted' });
      clusterState.markAwaitingStops(node);
      this.logUnwantedAttempt(attempt);
    }
    return attempt;
  }

  /** Logs which attempt of the task is wanted instead, if one is. */
  private logUnwantedAttempt({ jobUid, taskIndex, number, node, job }: Attempt): void {
    const wanted = job?.attemptByTask.get(taskIndex);
    this.dependencies.log.info(
      {
        task: formatTaskName({ jobUid, taskIndex }),
        attempt: number,
        node: node.name,
        jobPhase: job?.phase,
        ...(wanted ? { wantedAttempt: wanted.number, wantedNode: wanted.node.name } : {}),
      },
      'unwanted attempt listed by its worker',
    );
  }

  /**
   * Classifies each attempt that the worker does not list, and removes those that have ended. Returns true if a start
   * command that was sent has had no effect.
   */
  private applyUnlistedAttempts(node: Node, listedTasks: ListedTasks, source: HeartbeatSource): boolean {
    let hasUnexecutedStart = false;
    for (const [key, attempt] of node.attempts) {
      if (listedTasks.has(key)) continue;
      if (this.applyUnlistedAttempt(node, attempt, source)) hasUnexecutedStart = true;
      // A planned attempt that should be stopped has ended, because its start command was certainly not executed.
      if (attempt.state === 'planned' && attempt.stopRequest)
        this.dependencies.clusterState.removeAttempt(attempt);
    }
    return hasUnexecutedStart;
  }

  /**
   * Classifies an attempt that the worker does not list, and applies the verdict. Returns true if a start command
   * that was sent has had no effect, so that the attempt is planned again.
   */
  private applyUnlistedAttempt(node: Node, attempt: Attempt, source: HeartbeatSource): boolean {
    const { startSentSequence } = attempt;
    const state = isListedState(attempt.state) ? 'listed' : attempt.state;
    const verdict = classifyUnlistedAttempt({
      state,
      startSentSequence,
      source,
      listSequence: node.sequence,
    });
    switch (verdict) {
      case 'unknown':
        return false;
      case 'notExecuted':
        attempt.returnToPlanned();
        return true;
      case 'gone':
        this.dependencies.clusterState.removeAttempt(attempt);
        return false;
    }
  }
}

function indexTasks({ tasks }: Heartbeat): ListedTasks {
  return new Map(
    tasks.map((task) => [formatAttemptKey(task.jobUid, task.taskIndex, task.attemptNumber), task]),
  );
}

/**
 * Whether the heartbeat lacks a task that its incarnation has listed and has not reported as exited. A worker forgets
 * no such task, so one of the two messages is of a new worker on the same machine. It is unknown which, as messages may
 * arrive late, so the heartbeat does not prove that the task has ended.
 */
function lacksKnownTask(node: Node, heartbeat: Heartbeat, listedTasks: ListedTasks): boolean {
  if (heartbeat.incarnation !== node.incarnation) return false;
  for (const [key, { state }] of node.attempts)
    if (isListedState(state) && state !== 'exited' && !listedTasks.has(key)) return true;
  return false;
}

function isListedState(state: AttemptState): state is TaskState {
  return state !== 'planned' && state !== 'sent';
}
