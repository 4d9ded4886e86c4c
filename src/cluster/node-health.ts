/**
 * Judges the health of nodes by their silence and their failures. The result decides which nodes get new tasks and
 * which are replaced. It never decides whether a task has ended, because only the lease rules may conclude that from
 * the silence of a node.
 */
import {
  DEFAULT_BOOT_TIME_S,
  MAX_HEARTBEAT_GAP_RATIO,
  HEARTBEAT_REDIRECT_MARGIN_MS,
  MASS_OUTAGE_OVERDUE_SHARE,
  MAX_ISOLATED_OUTAGES,
  MAX_UNACKNOWLEDGED_RESPONSES,
  MIN_NODE_SAMPLE_SIZE,
  OVERDUE_AFTER_HEARTBEAT_INTERVALS,
  PARTITION_CHECK_MIN_TERM_MS,
  PARTITIONED_NODES_SHARE,
  QUARANTINE_AFTER_FAILED_JOBS,
  STUCK_BOOT_MIN_MS,
  STUCK_BOOT_TIME_RATIO,
  SUSPECT_CONTROLLER_OVERDUE_SHARE,
  UNREACHABLE_AFTER_HEARTBEAT_INTERVALS,
  UNSCHEDULABLE_AFTER_HEARTBEAT_INTERVALS,
  WORKER_RESPONSE_TIMEOUT_MS,
  WORKER_RETRY_DELAY_MS,
} from '../constants.js';
import type { ClusterState, Job, Node } from './cluster-state.js';

/** Dependencies of `NodeHealth`. */
export interface NodeHealthDependencies {
  readonly clusterState: Pick<ClusterState, 'nodes'>;
  /** Time between two heartbeats of a worker, in seconds. */
  readonly heartbeatIntervalS: number;
  /** Steady time in ms at which the term began. */
  readonly termStartMs: number;
  /** Finds an instance type by its name. Returns undefined if the catalog does not have it. */
  readonly findInstanceType: (typeName: string) => { readonly bootS: number } | undefined;
  readonly findJob: (uid: string) => Job | undefined;
  /** Whether another controller renews the lease of the node while a partition separates the node from the leader. */
  readonly isLeaseDelegated: (node: Node) => boolean;
  /** Whether a zone has controllers but none of them is alive. Such a zone may be partitioned from the leader. */
  readonly isZoneUnreachable: (zone: string) => boolean;
}

/** Counts of the nodes whose heartbeats come through one controller. */
interface RelayGroup {
  nodeCount: number;
  overdueCount: number;
}

/** Judges nodes by their heartbeats, by whether responses reach them, and by the jobs that failed on them. */
export class NodeHealth {
  private isMassOutageSuspected = false;
  /**
   * Controllers of which many nodes are overdue together. The empty name stands for the nodes that have sent no
   * heartbeat in this term.
   */
  private readonly suspectControllers = new Set<string>();
  /** Steady time in ms at which each zone was last found unreachable. */
  private readonly zoneLastUnreachableMs = new Map<string, number>();
  /** The results of `isZoneUnreachable` since the last evaluation, by zone. */
  private readonly isUnreachableByZone = new Map<string, boolean>();
  private readonly heartbeatIntervalMs: number;
  /**
   * Time for which a worker whose controller is unreachable may be silent until it is heard through another
   * controller.
   */
  private readonly controllerSwitchMs: number;

  constructor(private readonly dependencies: NodeHealthDependencies) {
    this.heartbeatIntervalMs = dependencies.heartbeatIntervalS * 1000;
    this.controllerSwitchMs =
      dependencies.heartbeatIntervalS * MAX_HEARTBEAT_GAP_RATIO * 1000 +
      WORKER_RESPONSE_TIMEOUT_MS +
      WORKER_RETRY_DELAY_MS +
      HEARTBEAT_REDIRECT_MARGIN_MS;
  }

  /** Whether the health of the node allows new tasks to be placed on it. */
  isSchedulable(node: Node, nowMs: number): boolean {
    return (
      node.lastHeartbeatMs > nowMs - UNSCHEDULABLE_AFTER_HEARTBEAT_INTERVALS * this.heartbeatIntervalMs &&
      node.isReconciled &&
      node.unacknowledgedResponses < MAX_UNACKNOWLEDGED_RESPONSES &&
      !node.isTerminating &&
      !node.isWorkerReplaced &&
      node.interruptionMs === Infinity &&
      !this.isQuarantined(node)
    );
  }

  /**
   * Whether tasks of several jobs failed on the node, and these jobs failed on few other nodes. The fault is then
   * probably that of the node.
   */
  isQuarantined(node: Node): boolean {
    // This is checked several times per scheduling cycle for each node, and on nearly all nodes no job has failed.
    if (node.failedJobs.size < QUARANTINE_AFTER_FAILED_JOBS) return false;
    let healthyJobsFailedHere = 0;
    for (const uid of node.failedJobs) {
      const job = this.dependencies.findJob(uid);
      // A job that failed on several nodes is probably faulty itself.
      if (job && job.progress.nodesWithFailedTask.size <= QUARANTINE_AFTER_FAILED_JOBS)
        healthyJobsFailedHere++;
    }
    return healthyJobsFailedHere >= QUARANTINE_AFTER_FAILED_JOBS;
  }

  /** Whether the node counts as lost: it has been silent for too long, or responses do not reach it. */
  isUnreachable(node: Node, nowMs: number): boolean {
    if (this.dependencies.isLeaseDelegated(node)) return false;
    if (node.unacknowledgedResponses >= MAX_UNACKNOWLEDGED_RESPONSES) return true;
    return this.computeSilenceMs(node, nowMs) > this.getMaxSilenceMs(node);
  }

  /** Whether the node has sent no heartbeat in this term and, according to the stored records, has never been used. */
  isBooting(node: Node): boolean {
    return node.lastHeartbeatMs === -Infinity && !node.isPersistedAsUsed;
  }

  /** Whether the node has been booting for so long that it will probably never send a heartbeat. */
  isBootOverdue(node: Node, nowMs: number): boolean {
    // A new leader gives nodes that were launched before its term some time to send a heartbeat.
    if (!this.isBooting(node) || nowMs - this.dependencies.termStartMs < STUCK_BOOT_MIN_MS / 2) return false;
    const bootMs = (this.dependencies.findInstanceType(node.type)?.bootS ?? DEFAULT_BOOT_TIME_S) * 1000;
    return nowMs - node.launchedMs > Math.max(STUCK_BOOT_MIN_MS, bootMs * STUCK_BOOT_TIME_RATIO);
  }

  /**
   * Whether most nodes fell silent together. It is then more likely that the leader is partitioned from them than
   * that all of them are lost, and another controller may reach them before their leases expire.
   */
  isLeaderPartitioned(nowMs: number): boolean {
    if (nowMs - this.dependencies.termStartMs < PARTITION_CHECK_MIN_TERM_MS) return false;
    const maxSilenceMs = UNREACHABLE_AFTER_HEARTBEAT_INTERVALS * this.heartbeatIntervalMs;
    let silentCount = 0;
    let nodeCount = 0;
    for (const node of this.dependencies.clusterState.nodes.values()) {
      if (node.lastHeartbeatMs === -Infinity || nowMs > node.leaseExpiryMs || node.isWorkerReplaced) continue;
      // If the leader cannot reach the controllers of the zone either, these renew the leases of the zone's nodes.
      if (this.isZoneUnreachable(node.zone)) continue;
      nodeCount++;
      if (this.computeSilenceMs(node, nowMs) > maxSilenceMs) silentCount++;
    }
    return nodeCount >= MIN_NODE_SAMPLE_SIZE && silentCount > nodeCount * PARTITIONED_NODES_SHARE;
  }

  /**
   * Finds outages that affect many nodes at once. This has to be called before nodes are judged one by one. Nodes are
   * counted as soon as their heartbeats are overdue, long before the first of them counts as lost, because a lost
   * node is terminated and then no longer counted.
   */
  evaluateNodes(nowMs: number): void {
    this.isUnreachableByZone.clear();
    const allNodes: RelayGroup = { nodeCount: 0, overdueCount: 0 };
    const groups = new Map<string, RelayGroup>();
    for (const node of this.dependencies.clusterState.nodes.values()) {
      // The heartbeats of a replaced worker are not accepted, so their absence is no sign of an outage.
      if (this.isBooting(node) || this.dependencies.isLeaseDelegated(node) || node.isWorkerReplaced) continue;
      let group = groups.get(node.relayedBy);
      if (!group) groups.set(node.relayedBy, (group = { nodeCount: 0, overdueCount: 0 }));
      if (this.isZoneUnreachable(node.zone)) this.zoneLastUnreachableMs.set(node.zone, nowMs);
      const isOverdue =
        this.computeSilenceMs(node, nowMs) > this.heartbeatIntervalMs * OVERDUE_AFTER_HEARTBEAT_INTERVALS;
      countNode(group, isOverdue);
      countNode(allNodes, isOverdue);
    }
    this.isMassOutageSuspected = isOutage(
      allNodes.overdueCount,
      allNodes.nodeCount,
      MASS_OUTAGE_OVERDUE_SHARE,
    );
    this.findSuspectControllers(groups, allNodes.nodeCount);
  }

  /** Whether many nodes are overdue at once. They are then more likely to be partitioned from the leader than lost. */
  isMassOutage(): boolean {
    return this.isMassOutageSuspected;
  }

  /**
   * Whether a zone was unreachable a moment ago, so that its nodes may soon be heard again. These nodes are worth
   * more than new nodes, which would have to boot.
   */
  isZoneRecovering(zone: string, nowMs: number): boolean {
    return nowMs - (this.zoneLastUnreachableMs.get(zone) ?? -Infinity) < this.controllerSwitchMs;
  }

  /**
   * Whether a zone may be partitioned from the leader because none of its controllers is alive. The result is kept
   * until the next evaluation.
   */
  isZoneUnreachable(zone: string): boolean {
    let isUnreachable = this.isUnreachableByZone.get(zone);
    if (isUnreachable === undefined) {
      isUnreachable = this.dependencies.isZoneUnreachable(zone);
      this.isUnreachableByZone.set(zone, isUnreachable);
    }
    return isUnreachable;
  }

  private findSuspectControllers(groups: ReadonlyMap<string, RelayGroup>, allNodesCount: number): void {
    this.suspectControllers.clear();
    for (const [controller, { nodeCount, overdueCount }] of groups) {
      // Nodes without a heartbeat in this term belong to no controller, so they are compared with the number of all
      // nodes.
      const groupSize = controller === '' ? allNodesCount : nodeCount;
      if (isOutage(overdueCount, groupSize, SUSPECT_CONTROLLER_OVERDUE_SHARE))
        this.suspectControllers.add(controller);
    }
  }

  private computeSilenceMs(node: Node, nowMs: number): number {
    // Only the first heartbeat without this term's fencing token counts, because responses may not reach the worker.
    return nowMs - Math.max(node.lastHeartbeatMs, node.firstContactMs, this.dependencies.termStartMs);
  }

  private getMaxSilenceMs(node: Node): number {
    // It is more likely that the controller is partitioned or has ended than that the node is lost. The worker then
    // gives up on this controller and switches to another one.
    if (this.suspectControllers.has(node.relayedBy)) return this.controllerSwitchMs;
    // If nearly all other nodes were heard in a new term, there is no reason to wait longer for the few that were
    // not heard.
    if (node.relayedBy === '') return this.controllerSwitchMs - WORKER_RESPONSE_TIMEOUT_MS;
    return UNREACHABLE_AFTER_HEARTBEAT_INTERVALS * this.heartbeatIntervalMs;
  }
}

function countNode(group: RelayGroup, isOverdue: boolean): void {
  group.nodeCount++;
  if (isOverdue) group.overdueCount++;
}

/** Whether more nodes are overdue than isolated failures of nodes would explain. */
function isOutage(overdueCount: number, nodeCount: number, maxOverdueShare: number): boolean {
  return overdueCount > Math.max(MAX_ISOLATED_OUTAGES, nodeCount * maxOverdueShare);
}
