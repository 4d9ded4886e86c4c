/**
 * Defers the responses to heartbeats until the next scheduling cycle, so that they can carry the starts that it plans.
 */
import type { Attempt, ClusterState, Node } from '../cluster/cluster-state.js';
import { MAX_RESPONSE_DEFERRAL_MS } from '../constants.js';
import type { ReceivedHeartbeat } from './received-heartbeat.js';

/** Dependencies of `DeferredResponses`. All times are steady times in milliseconds. */
export interface DeferredResponsesDependencies {
  readonly clusterState: Pick<ClusterState, 'nodesWithFreeCapacity'>;
  readonly nowMs: () => number;
  /** Whether a scheduling cycle is scheduled to run by then. */
  readonly isSchedulingCycleDueBy: (steadyMs: number) => boolean;
  /** Whether a planned attempt may be started now. */
  readonly mayStart: (attempt: Attempt) => boolean;
  /** Calls `DeferredResponses.takeReady` after the delay, through the leader's mailbox. */
  readonly requestReview: (delayMs: number) => void;
}

/** A heartbeat that was applied and not answered yet. */
export interface DeferredResponse {
  readonly received: ReceivedHeartbeat;
  readonly node: Node;
  /** Steady time in milliseconds by which the heartbeat has to be answered. */
  readonly deadlineMs: number;
}

/** The heartbeats whose responses wait for a scheduling cycle, in the order in which they arrived. */
export class DeferredResponses {
  private waiting: DeferredResponse[] = [];
  private isReviewRequested = false;

  constructor(private readonly dependencies: DeferredResponsesDependencies) {}

  /** Whether the response to a heartbeat of the node should wait, as a cycle is about to run that may use the node. */
  shouldDefer(node: Node): boolean {
    const { clusterState, nowMs, isSchedulingCycleDueBy } = this.dependencies;
    if (node.isTerminating || !isSchedulingCycleDueBy(nowMs() + MAX_RESPONSE_DEFERRAL_MS)) return false;
    return clusterState.nodesWithFreeCapacity.has(node) || hasPlannedStart(node);
  }

  /** Defers the response to a heartbeat that was applied to the node. */
  add(received: ReceivedHeartbeat, node: Node): void {
    this.waiting.push({ received, node, deadlineMs: this.dependencies.nowMs() + MAX_RESPONSE_DEFERRAL_MS });
    this.requestReview(MAX_RESPONSE_DEFERRAL_MS);
  }

  /**
   * Removes and returns the responses that need not wait any longer. A response waits on for planned starts that are not
   * allowed yet, because a write to the state store precedes them, but no longer than until its deadline.
   */
  takeReady(): DeferredResponse[] {
    const nowMs = this.dependencies.nowMs();
    const ready: DeferredResponse[] = [];
    const stillWaiting: DeferredResponse[] = [];
    for (const response of this.waiting) {
      const mustWait = nowMs < response.deadlineMs && this.waitsForStart(response.node);
      (mustWait ? stillWaiting : ready).push(response);
    }
    this.waiting = stillWaiting;
    return ready;
  }

  /** Removes and returns all responses, because the term has ended. */
  takeAll(): DeferredResponse[] {
    return this.waiting.splice(0);
  }

  /** Handles the review that `requestReview` asked for. */
  completeReview(): void {
    this.isReviewRequested = false;
    const [oldest] = this.waiting;
    if (oldest) this.requestReview(Math.max(1, oldest.deadlineMs - this.dependencies.nowMs()));
  }

  private requestReview(delayMs: number): void {
    if (this.isReviewRequested) return;
    this.isReviewRequested = true;
    this.dependencies.requestReview(delayMs);
  }

  /** Whether starts are planned on the node, and none of them is allowed yet. */
  private waitsForStart(node: Node): boolean {
    let hasPlanned = false;
    for (const attempt of node.attempts.values()) {
      if (!isPlannedStart(attempt)) continue;
      if (this.dependencies.mayStart(attempt)) return false;
      hasPlanned = true;
    }
    return hasPlanned;
  }
}

function hasPlannedStart(node: Node): boolean {
  for (const attempt of node.attempts.values()) if (isPlannedStart(attempt)) return true;
  return false;
}

function isPlannedStart({ state, stopRequest }: Attempt): boolean {
  return state === 'planned' && !stopRequest;
}
