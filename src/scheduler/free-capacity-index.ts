/** Groups the nodes of one scheduling cycle and their free resources by zone. */
import type { Node } from '../cluster/cluster-state.js';
import type { JobSpec } from '../state/records.js';
import { hasFreeCapacity, type NodeCapacity } from './node-filter.js';
import { allowsZone } from './placement-constraints.js';

/**
 * Nodes and their free resources, grouped by zone. A job that may not use a zone any further, for example because its
 * replicas must be spread, skips all nodes of the zone at once.
 */
export class FreeCapacityIndex {
  private readonly nodesByZone = new Map<string, NodeCapacity[]>();

  constructor(nodes: Iterable<NodeCapacity>) {
    for (const nodeCapacity of nodes) {
      const nodesInZone = this.nodesByZone.get(nodeCapacity.node.zone);
      if (nodesInZone) nodesInZone.push(nodeCapacity);
      else this.nodesByZone.set(nodeCapacity.node.zone, [nodeCapacity]);
    }
  }

  /** The zones that have nodes. */
  get zones(): Iterable<string> {
    return this.nodesByZone.keys();
  }

  /** Returns the nodes of all zones in which one more task of the job may run, given the zones of its other tasks. */
  *findCandidates(spec: JobSpec, allocationsPerZone: ReadonlyMap<string, number>): Iterable<NodeCapacity> {
    for (const [zone, nodes] of this.nodesByZone)
      if (allowsZone(spec, allocationsPerZone, zone)) yield* nodes;
  }

  /** Whether the predicate holds for any node. */
  hasNodeMatching(predicate: (nodeCapacity: NodeCapacity) => boolean): boolean {
    for (const nodes of this.nodesByZone.values()) if (nodes.some(predicate)) return true;
    return false;
  }

  /** Returns the free room on a node. Undefined if the node is not in the index. */
  findNode(node: Node): NodeCapacity | undefined {
    return this.nodesByZone.get(node.zone)?.find((nodeCapacity) => nodeCapacity.node === node);
  }

  /** Returns the nodes of one zone. */
  getNodesInZone(zone: string): readonly NodeCapacity[] {
    return this.nodesByZone.get(zone) ?? [];
  }

  /** Removes the nodes that have no free capacity left. */
  removeFullNodes(): void {
    for (const [zone, nodes] of this.nodesByZone) {
      const remaining = nodes.filter(hasFreeCapacity);
      if (remaining.length > 0) this.nodesByZone.set(zone, remaining);
      else this.nodesByZone.delete(zone);
    }
  }
}
