/** Finds the capacity that demands can rely on before instances are launched for them. */
import type { ClusterState, Node } from '../cluster/cluster-state.js';
import type { NodeHealth } from '../cluster/node-health.js';
import { addResources, type Resources } from '../cluster/resources.js';
import { NODE_START_OVERHEAD_S } from '../constants.js';
import { estimateRemainingRunS } from '../scheduler/time-estimates.js';
import type { InstanceOffering, InstanceType, LaunchRequest } from './cloud-codec.js';

/** Capacity that is free now or later. It belongs to a node, a launching instance or a running task. */
export interface IncomingCapacity extends InstanceOffering {
  readonly free: Resources;
  /** Seconds until the capacity can be used. */
  readonly readyInS: number;
  /**
   * Whether a running task holds the capacity. It is not certain when that task completes, so services do not wait for
   * such capacity.
   */
  readonly isOccupied: boolean;
  /** The node, if the capacity can be used at once. Undefined if it can't be used yet. */
  readonly node?: Node;
}

/** Dependencies of IncomingCapacityFinder. */
export interface IncomingCapacityFinderDependencies {
  readonly clusterState: ClusterState;
  readonly nodeHealth: NodeHealth;
  /** Instance types by name. */
  readonly instanceTypes: () => ReadonlyMap<string, InstanceType>;
  /** The full resources of a node of this instance type. */
  readonly getNodeCapacity: (type: string) => Resources;
}

/** Finds the capacity that is free now or soon. */
export class IncomingCapacityFinder {
  constructor(private readonly dependencies: IncomingCapacityFinderDependencies) {}

  /**
   * Finds the capacity on on-demand nodes that a service of the rank `prod` can use at once: free resources, and
   * those of tasks that the service may preempt. Nodes with the fewest such CPUs come first, so that idle nodes are
   * kept only for tasks that fit nowhere else.
   */
  findImmediate(nowMs: number): IncomingCapacity[] {
    const { clusterState, nodeHealth } = this.dependencies;
    const immediate: IncomingCapacity[] = [];
    for (const node of clusterState.nodes.values()) {
      if (node.spot || !node.isPersistedAsUsed || !nodeHealth.isSchedulable(node, nowMs)) continue;
      const free = { ...clusterState.computeFreeResources(node) };
      for (const { state, job, resources } of node.attempts.values())
        if (state !== 'exited' && job && job.rank !== 'prod') addResources(free, resources, 1);
      const { type, zone, spot } = node;
      immediate.push({ type, zone, spot, free, readyInS: 0, isOccupied: false, node });
    }
    return immediate.sort((a, b) => a.free.cpus - b.free.cpus);
  }

  /**
   * Finds the capacity that becomes available later: of nodes that register or boot, of running tasks, and of launch
   * requests without a response.
   */
  findIncoming(pendingLaunches: Iterable<LaunchRequest>, nowMs: number): IncomingCapacity[] {
    const incoming: IncomingCapacity[] = [];
    for (const node of this.dependencies.clusterState.nodes.values())
      this.addNodeCapacity(node, nowMs, incoming);
    for (const { offering, nodeCount } of pendingLaunches) {
      const free = this.dependencies.getNodeCapacity(offering.type);
      const readyInS = this.getBootTimeS(offering.type) + NODE_START_OVERHEAD_S;
      for (let i = 0; i < nodeCount; i++) incoming.push({ ...offering, free, readyInS, isOccupied: false });
    }
    return incoming;
  }

  private addNodeCapacity(node: Node, nowMs: number, incoming: IncomingCapacity[]): void {
    const { nodeHealth } = this.dependencies;
    if (node.isTerminating || nodeHealth.isBootOverdue(node, nowMs)) return;
    const { type, zone, spot, capacity } = node;
    if (isRegistering(node)) {
      incoming.push({ type, zone, spot, free: capacity, readyInS: 1, isOccupied: false });
    } else if (nodeHealth.isBooting(node)) {
      const remainingBootS = Math.max(1, this.getBootTimeS(type) - (nowMs - node.launchedMs) / 1000);
      const readyInS = remainingBootS + NODE_START_OVERHEAD_S;
      incoming.push({ type, zone, spot, free: capacity, readyInS, isOccupied: false });
    } else if (nodeHealth.isSchedulable(node, nowMs)) {
      for (const attempt of node.attempts.values()) {
        const readyInS = estimateRemainingRunS(attempt, nowMs);
        if (readyInS < Infinity)
          incoming.push({ type, zone, spot, free: attempt.resources, readyInS, isOccupied: true });
      }
    }
  }

  private getBootTimeS(type: string): number {
    return this.dependencies.instanceTypes().get(type)?.bootS ?? 0;
  }
}

/**
 * Whether the node's worker has sent a heartbeat, but the node gets no tasks before it is marked as used in the state
 * store and all attempts on it are known.
 */
function isRegistering(node: Node): boolean {
  return node.firstContactMs > -Infinity && (!node.isPersistedAsUsed || !node.isReconciled);
}
