/**
 * Reconciles the leader's nodes with the cloud's instances. It adopts the instances that the cloud lists, drains
 * nodes that the cloud is about to interrupt, and terminates nodes that are no longer useful.
 */
import type { Logger } from 'pino';
import type { TerminationRole } from '@pumicehinge/duties';
import type { Autoscaler } from '../autoscaler/autoscaler.js';
import type { CloudEvent } from '../autoscaler/cloud-client.js';
import type { CloudInstance } from '../autoscaler/cloud-codec.js';
import type { Provisioner } from '../autoscaler/provisioner.js';
import type { SpotInterruptionRate } from '../autoscaler/spot-interruption-rate.js';
import type { Attempt, ClusterState, Job, Node, Resources } from '../cluster/cluster-state.js';
import type { NodeHealth } from '../cluster/node-health.js';
import type { NodeRecords } from '../cluster/node-records.js';
import {
  CHECKPOINT_MARGIN_S,
  DELETED_NODE_RETENTION_MS,
  DRAIN_GRACE_PERIOD_S,
  INSTANCE_LIST_MARGIN_MS,
  MAX_UNACKNOWLEDGED_RESPONSES,
  MIN_BILLED_MS,
} from '../constants.js';
import type { LeadershipTerm } from '../election/leadership-term.js';
import { estimateRemainingRunS } from '../scheduler/time-estimates.js';
import type { Settings } from '../settings.js';
import type { CommandDispatcher } from '../workers/command-dispatcher.js';
import type { TermReconciliation } from './term-reconciliation.js';

/** Dependencies of `FleetReconciler`. */
export interface FleetReconcilerDependencies {
  readonly settings: Settings;
  readonly term: LeadershipTerm;
  readonly clusterState: ClusterState;
  readonly nodeHealth: NodeHealth;
  readonly reconciliation: Pick<TermReconciliation, 'confirmLeaseExpiry' | 'markReconciled'>;
  readonly nodeRecords: Pick<NodeRecords, 'remove'>;
  readonly commandDispatcher: Pick<CommandDispatcher, 'requestStop'>;
  readonly provisioner: Pick<Provisioner, 'terminate'>;
  readonly autoscaler: Pick<Autoscaler, 'isReservedForHeadroom'>;
  readonly spotInterruptionRate: SpotInterruptionRate;
  /** Returns the resources of a node of this instance type. */
  readonly getCapacity: (typeName: string) => Resources;
  readonly nowMs: () => number;
  readonly log: Logger;
}

type InstanceList = Extract<CloudEvent, { kind: 'listed' }>;

type TerminationReason =
  | 'idle'
  | 'interrupted'
  | 'failed'
  | 'quarantined'
  | 'not listed'
  | 'boot overdue'
  | 'unreachable'
  | 'responses not received'
  | 'worker replaced';

/**
 * Selects the role that terminates a node. A node that is idle, or that was emptied before an interruption, is
 * returned. All other nodes are reclaimed together with any tasks that are still on them.
 */
const selectTerminationRole = (reason: TerminationReason): TerminationRole =>
  reason === 'idle' || reason === 'interrupted' ? 'return' : 'reclaim';

/** Keeps the nodes of the cluster state consistent with the instances of the cloud. */
export class FleetReconciler {
  /** Steady time in ms at which each recently deleted node was deleted, by node name. */
  private readonly deletionTimesMs = new Map<string, number>();

  constructor(private readonly dependencies: FleetReconcilerDependencies) {}

  /** Whether the node was deleted recently, so that its late heartbeats and stale list entries have to be ignored. */
  wasRecentlyDeleted(name: string): boolean {
    return this.deletionTimesMs.has(name);
  }

  /** Removes nodes that the cloud has deleted, and releases the attempts on them. */
  handleTerminated(names: string[], nowMs: number): void {
    this.dependencies.log.info({ names }, 'nodes terminated');
    for (const name of names) {
      const node = this.dependencies.clusterState.nodes.get(name);
      if (node) this.removeNode(node);
      this.deletionTimesMs.set(name, nowMs);
    }
  }

  /** Adopts the terminations that earlier terms committed, both those in progress and those already completed. */
  adoptTerminations(terminatingNames: string[], terminatedNames: string[], nowMs: number): void {
    for (const name of terminatingNames) this.dependencies.clusterState.inheritTermination(name);
    if (terminatedNames.length > 0) this.handleTerminated(terminatedNames, nowMs);
  }

  private removeNode(node: Node): void {
    this.dependencies.clusterState.removeNode(node);
    this.dependencies.reconciliation.markReconciled(node);
    this.dependencies.nodeRecords.remove(node);
  }

  /** Merges the cloud's list of instances, which may be out of date, into the cluster state. */
  reconcileListing({ instances, requestedMs }: InstanceList, nowMs: number): void {
    const { clusterState, nodeHealth, settings } = this.dependencies;
    // Deleted nodes are remembered for much longer than the list lags, because copies of their heartbeats may arrive
    // late.
    for (const [name, deletionTimeMs] of this.deletionTimesMs)
      if (nowMs - deletionTimeMs > DELETED_NODE_RETENTION_MS) this.deletionTimesMs.delete(name);
    for (const instance of instances) {
      // The list lags, so it may still contain instances that were deleted a moment ago.
      if (!this.wasRecentlyDeleted(instance.name)) this.mergeInstance(instance, requestedMs, nowMs);
    }
    // Twice the longest lag of the list, converted from seconds, and a margin.
    const maxListLagMs = settings.cloudLimits.maxListLagS * 2000 + INSTANCE_LIST_MARGIN_MS;
    // A missing list entry does not prove that the tasks of the node have ended. Deleting the node proves it and
    // costs nothing.
    for (const node of clusterState.nodes.values()) {
      const isMissing = requestedMs - Math.max(node.lastListedMs, node.launchedMs) > maxListLagMs;
      if (isMissing && nodeHealth.isUnreachable(node, nowMs)) this.terminateNode(node, 'not listed');
    }
  }

  private mergeInstance(instance: CloudInstance, requestedMs: number, nowMs: number): void {
    const node =
      this.dependencies.clusterState.nodes.get(instance.name) ?? this.addUnknownNode(instance, nowMs);
    node.recordListing({ requestedMs, launchedMs: nowMs - instance.ageS * 1000 });
    if (instance.phase === 'failed') this.terminateNode(node, 'failed');
  }

  private addUnknownNode(instance: CloudInstance, nowMs: number): Node {
    const { name, address, type, zone, spot } = instance;
    this.dependencies.log.info({ node: name }, 'unknown instance added as a node');
    const capacity = this.dependencies.getCapacity(type);
    return this.dependencies.clusterState.addNode({ name, address, type, zone, spot, capacity }, nowMs);
  }

  private terminateNode(node: Node, reason: TerminationReason): void {
    if (node.isTerminating || !this.dependencies.term.authority.isValid(this.dependencies.nowMs())) return;
    node.markTerminating();
    this.dependencies.log.info({ node: node.name, reason }, 'node termination requested');
    if (node.spot && reason !== 'idle' && node.lastHeartbeatMs > -Infinity)
      this.dependencies.spotInterruptionRate.recordInterruption(this.dependencies.nowMs());
    this.dependencies.provisioner.terminate(selectTerminationRole(reason), [node.name]);
  }

  /**
   * Starts to confirm leases that seem to have expired, withdraws planned starts from nodes that are not schedulable,
   * and drains those nodes if necessary.
   */
  reviewNodes(nowMs: number): void {
    const { clusterState, nodeHealth, reconciliation } = this.dependencies;
    for (const node of clusterState.nodes.values()) {
      reconciliation.confirmLeaseExpiry(node, nowMs);
      if (nodeHealth.isSchedulable(node, nowMs)) continue;
      for (const attempt of [...node.attempts.values()])
        if (attempt.state === 'planned') clusterState.withdrawPlannedAttempt(attempt);
      this.drainNode(node, nowMs);
    }
  }

  /**
   * Stops the tasks of a node that the cloud will interrupt. Such a node, or a quarantined node, is terminated once
   * it is empty.
   */
  private drainNode(node: Node, nowMs: number): void {
    const isEmpty = node.attempts.size === 0;
    if (isEmpty && this.dependencies.nodeHealth.isQuarantined(node))
      return this.terminateNode(node, 'quarantined');
    const remainingS = (node.interruptionMs - nowMs) / 1000;
    if (remainingS === Infinity) return;
    if (isEmpty) return this.terminateNode(node, 'interrupted');
    for (const attempt of node.attempts.values()) {
      const { job } = attempt;
      if (!job || attempt.state === 'exited') continue;
      if (this.mustStopBeforeInterruption(job, attempt, { remainingS, nowMs }))
        this.dependencies.commandDispatcher.requestStop(attempt, {
          gracePeriodS: DRAIN_GRACE_PERIOD_S,
          reason: 'nodeInterrupted',
        });
    }
  }

  /**
   * Whether a task has to stop now because the cloud will interrupt its node. A replica of a service stops at once,
   * so that it restarts elsewhere. A task with checkpoints runs on as long as there is still time to save its last
   * one. A task without checkpoints stops if it cannot complete before the interruption.
   */
  private mustStopBeforeInterruption(
    job: Job,
    attempt: Attempt,
    { remainingS, nowMs }: { remainingS: number; nowMs: number },
  ): boolean {
    if (job.isService) return true;
    const { checkpointIntervalS, checkpointS } = job.spec;
    if (checkpointIntervalS > 0)
      return remainingS < checkpointS + this.dependencies.settings.heartbeatIntervalS + CHECKPOINT_MARGIN_S;
    // The work of this task would be lost anyway, so it restarts elsewhere as early as possible.
    return checkpointIntervalS === 0 && estimateRemainingRunS(attempt, nowMs) > remainingS;
  }

  /** Terminates nodes that are idle, are unreachable or never finished booting. */
  terminateUnneededNodes(nowMs: number): void {
    for (const node of this.dependencies.clusterState.nodes.values()) {
      if (node.isTerminating) continue;
      const reason = this.findTerminationReason(node, nowMs);
      if (reason) this.terminateNode(node, reason);
    }
  }

  private findTerminationReason(node: Node, nowMs: number): TerminationReason | undefined {
    const { nodeHealth } = this.dependencies;
    if (nodeHealth.isBooting(node)) return nodeHealth.isBootOverdue(node, nowMs) ? 'boot overdue' : undefined;
    if (node.isWorkerReplaced) return 'worker replaced';
    const isUnreachable = nodeHealth.isUnreachable(node, nowMs);
    if (nodeHealth.isZoneUnreachable(node.zone)) {
      // Nodes in a partitioned zone keep running and switch to the controllers in that zone.
      if (nowMs < node.leaseExpiryMs) return undefined;
    } else if (isUnreachable && nodeHealth.isZoneRecovering(node.zone, nowMs)) return undefined;
    if (isUnreachable && !nodeHealth.isMassOutage())
      return node.unacknowledgedResponses >= MAX_UNACKNOWLEDGED_RESPONSES
        ? 'responses not received'
        : 'unreachable';
    return nodeHealth.isSchedulable(node, nowMs) && this.isIdleLongEnough(node, nowMs) ? 'idle' : undefined;
  }

  private isIdleLongEnough(node: Node, nowMs: number): boolean {
    if (node.attempts.size > 0 || this.dependencies.autoscaler.isReservedForHeadroom(node)) return false;
    const idleKeepMs = this.dependencies.settings.operator.idleKeepS * 1000;
    return nowMs - node.idleSinceMs > idleKeepMs && nowMs - node.launchedMs > MIN_BILLED_MS;
  }
}
