/** Reconciles the attempts that the cluster state holds with the tasks that the workers list. */
import type { Heartbeat, TaskStatus } from './worker-messages.js';
import { formatAttemptKey, type Attempt, type Job } from './attempt.js';
import type { ClusterState } from './cluster-state.js';
import {
  classifyUnlistedAttempt,
  hasExpiredDespiteResponse,
  isNewerHeartbeat,
  computeLeaseExpiryMs,
  type HeartbeatSource,
} from './lease-rules.js';
import type { Node } from './node.js';

/** Dependencies of `HeartbeatReconciler`. */
export interface HeartbeatReconcilerDependencies {
  readonly clusterState: ClusterState;
  /**
   * Duration of a lease in seconds. A worker keeps running its tasks for this time after its last answered heartbeat.
   */
  readonly leaseS: number;
  readonly findJob: (uid: string) => Job | undefined;
}

/** Applies heartbeats, and the responses to them, to the nodes and attempts of the cluster state. */
export class HeartbeatReconciler {
  constructor(private readonly dependencies: HeartbeatReconcilerDependencies) {}

  /**
   * Applies the status that a worker sent in a heartbeat or in its response to a command. Returns false and changes
   * nothing if the status is no newer than the last known one, or if it belongs to a fenced incarnation.
   */
  apply(node: Node, heartbeat: Heartbeat, source: HeartbeatSource, nowMs: number): boolean {
    if (heartbeat.incarnation <= node.fencedIncarnation || !isNewerHeartbeat(heartbeat, node)) return false;
    this.applyIncarnation(node, heartbeat, nowMs);
    node.recordStatus(heartbeat, nowMs);
    // A worker that responds to commands may still be unable to reach any controller. Only its heartbeats show that
    // its lease is renewed.
    if (source === 'heartbeat') node.recordHeartbeat(nowMs);
    const hasAcknowledgedStart = heartbeat.tasks.some(
      (task) => node.attempts.get(getAttemptKey(task))?.state === 'sent',
    );
    const listedKeys = new Set<string>();
    for (const task of heartbeat.tasks) listedKeys.add(this.applyListedTask(node, task, nowMs));
    const hasUnexecutedStart = this.applyUnlistedAttempts(node, listedKeys, source);
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

  /** Applies the state of one listed task, and returns the key of its attempt. */
  private applyListedTask(node: Node, task: TaskStatus, nowMs: number): string {
    const key = getAttemptKey(task);
    const attempt = node.attempts.get(key) ?? this.addListedAttempt(node, task, nowMs);
    if (attempt.state === 'exited') return key;
    if (task.state === 'exited') {
      this.dependencies.clusterState.exitAttempt(attempt, task.exitCause ?? 'stopped');
      return key;
    }
    if (task.state === 'running' && attempt.state !== 'running' && attempt.job) {
      const { image, imageGb } = attempt.job.spec;
      node.cacheImage(image, imageGb);
    }
    attempt.recordState(task.state, nowMs);
    return key;
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
      attempt.requestStop(0);
      clusterState.markAwaitingCommands(node);
    }
    return attempt;
  }

  /**
   * Classifies each attempt that the worker does not list, and removes those that have ended. Returns true if a start
   * command that was sent has had no effect.
   */
  private applyUnlistedAttempts(
    node: Node,
    listedKeys: ReadonlySet<string>,
    source: HeartbeatSource,
  ): boolean {
    let hasUnexecutedStart = false;
    for (const [key, attempt] of node.attempts) {
      if (listedKeys.has(key)) continue;
      if (this.applyUnlistedAttempt(node, attempt, source)) hasUnexecutedStart = true;
      // A planned attempt that should be stopped has ended if none of its start commands can still be executed.
      if (attempt.state === 'planned' && attempt.stopRequest && attempt.directStart === 'none')
        this.dependencies.clusterState.removeAttempt(attempt);
    }
    return hasUnexecutedStart;
  }

  /**
   * Classifies an attempt that the worker does not list, and applies the verdict. Returns true if a start command
   * that was sent has had no effect, so that the attempt is planned again.
   */
  private applyUnlistedAttempt(node: Node, attempt: Attempt, source: HeartbeatSource): boolean {
    const { startSentSequence, directStart } = attempt;
    const state = attempt.state === 'planned' || attempt.state === 'sent' ? attempt.state : 'listed';
    const verdict = classifyUnlistedAttempt({
      state,
      startSentSequence,
      directStart,
      source,
      listSequence: node.sequence,
    });
    switch (verdict) {
      case 'unknown':
        return false;
      case 'resend':
      case 'notExecuted':
        attempt.returnToPlanned();
        this.dependencies.clusterState.markAwaitingCommands(node);
        return true;
      case 'gone':
        this.dependencies.clusterState.removeAttempt(attempt);
        return false;
    }
  }
}

function getAttemptKey(task: TaskStatus): string {
  return formatAttemptKey(task.jobUid, task.taskIndex, task.attemptNumber);
}
