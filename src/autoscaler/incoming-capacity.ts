/** Finds the capacity that demands can rely on before instances are launched for them. */
import type { ClusterState, Node } from '../cluster/cluster-state.js';
import type { NodeHealth } from '../cluster/node-health.js';
import {
  addResources,
  createEmptyNodeCapacity,
  releaseTask,
  type Capacity,
  type MutableCapacity,
  type Resources,
} from '../cluster/resources.js';
import { ACKNOWLEDGEMENT_DELAY_S, NODE_START_OVERHEAD_S } from '../constants.js';
import { estimateRemainingRunS } from '../scheduler/time-estimates.js';
import type { InstanceOffering, InstanceType, LaunchRequest } from './cloud-codec.js';

/** Capacity that is free now or later. It belongs to a node, a launching instance or a running task. */
export interface IncomingCapacity extends InstanceOffering {
  readonly free: Capacity;
  /** Seconds until the capacity can be used. */
  readonly readyInS: number;
  /**
   * Whether a running task holds the capacity. It is not certain when that task completes, so services do not wait for
   * such capacity.
   */
  readonly isOccupied: boolean;
  /** The node, if its worker is up. Undefined for the capacity of a running task and of a node that is starting. */
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
   * Finds the capacity on on-demand nodes that a service of the rank `prod` can use at once: free room, and that of
   * tasks that the service may preempt. The room of exited tasks is about to become free. Nodes with the fewest such CPUs come first, so that idle nodes are
   * kept only for tasks that fit nowhere else.
   */
  findImmediate(nowMs: number): IncomingCapacity[] {
    const { clusterState, nodeHealth } = this.dependencies;
    const immediate: IncomingCapacity[] = [];
    for (const node of clusterState.nodes.values()) {
      if (node.spot || !node.isPersistedAsUsed || !nodeHealth.isSchedulable(node, nowMs)) continue;
      const free = clusterState.computeFreeCapacity(node);
      for (const attempt of node.attempts.values()) {
        const { job, resources } = attempt;
        if (attempt.state === 'exited') free.taskSlots++;
        else if (job && job.rank !== 'prod') releaseTask(free, resources);
      }
      const { type, zone, spot } = node;
      immediate.push({ type, zone, spot, free, readyInS: 0, isOccupied: false, node });
    }
    return immediate.sort((a, b) => a.free.cpus - b.free.cpus);
  }

  /** Finds the free room on the nodes on which tasks may be placed. */
  findFree(nowMs: number): IncomingCapacity[] {
    const { clusterState, nodeHealth } = this.dependencies;
    const free: IncomingCapacity[] = [];
    for (const node of clusterState.nodesWithFreeCapacity) {
      if (!node.isPersistedAsUsed || !nodeHealth.isSchedulable(node, nowMs)) continue;
      const { type, zone, spot } = node;
      const room = clusterState.computeFreeCapacity(node);
      free.push({ type, zone, spot, free: room, readyInS: 0, isOccupied: false, node });
    }
    return free;
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
      const free = createEmptyNodeCapacity(this.dependencies.getNodeCapacity(offering.type));
      const readyInS = this.getBootTimeS(offering.type) + NODE_START_OVERHEAD_S;
      for (let i = 0; i < nodeCount; i++) incoming.push({ ...offering, free, readyInS, isOccupied: false });
    }
    return incoming;
  }

  private addNodeCapacity(node: Node, nowMs: number, incoming: IncomingCapacity[]): void {
    const { nodeHealth } = this.dependencies;
    if (node.isTerminating || nodeHealth.isBootOverdue(node, nowMs)) return;
    const { type, zone, spot } = node;
    const free = createEmptyNodeCapacity(node.capacity);
    if (isRegistering(node)) {
      incoming.push({ type, zone, spot, free, readyInS: 1, isOccupied: false });
    } else if (nodeHealth.isBooting(node)) {
      const remainingBootS = Math.max(1, this.getBootTimeS(type) - (nowMs - node.launchedMs) / 1000);
      const readyInS = remainingBootS + NODE_START_OVERHEAD_S;
      incoming.push({ type, zone, spot, free, readyInS, isOccupied: false });
    } else if (nodeHealth.isSchedulable(node, nowMs)) {
      this.addTaskCapacity(node, nowMs, incoming);
    }
  }

  /**
   * Adds the capacity that the tasks of a node hold. If no task slot of the node is free, its free resources can be used
   * as soon as a slot is: that of an exited task, which its worker is about to forget, or that of the first running task
   * to complete.
   */
  private addTaskCapacity(node: Node, nowMs: number, incoming: IncomingCapacity[]): void {
    const { type, zone, spot } = node;
    const occupied: (IncomingCapacity & { readonly free: MutableCapacity })[] = [];
    let forgottenCount = 0;
    for (const attempt of node.attempts.values()) {
      if (attempt.state === 'exited') forgottenCount++;
      const readyInS = estimateRemainingRunS(attempt, nowMs);
      if (readyInS < Infinity)
        occupied.push({
          type,
          zone,
          spot,
          free: { ...attempt.resources, taskSlots: 1 },
          readyInS,
          isOccupied: true,
        });
    }
    incoming.push(...occupied);
    const free = this.dependencies.clusterState.computeFreeCapacity(node);
    if (free.taskSlots > 0) return;
    free.taskSlots += forgottenCount;
    if (free.taskSlots > 0)
      incoming.push({ type, zone, spot, free, readyInS: ACKNOWLEDGEMENT_DELAY_S, isOccupied: false, node });
    else addToFirst(occupied, free);
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

/** Adds resources to the capacity that is ready first. */
function addToFirst(
  occupied: readonly (IncomingCapacity & { readonly free: MutableCapacity })[],
  resources: Resources,
): void {
  let first = occupied[0];
  for (const capacity of occupied) if (first && capacity.readyInS < first.readyInS) first = capacity;
  if (first) addResources(first.free, resources, 1);
}
