/** The distribution of the nodes over the zones, which decides which controllers should preferably lead. */
import { MIN_NODE_SAMPLE_SIZE, REMOTE_ZONE_MAX_NODE_SHARE } from '../constants.js';
import { decodeNodeGroup, NODE_GROUPS_PREFIX } from '../state/records.js';
import type { StateReplica } from '../state/state-replica.js';

/** The number of nodes in each zone, according to the node groups in the state store. */
export class NodeZones {
  private constructor(private readonly nodeCountsByZone: ReadonlyMap<string, number>) {}

  /** Counts the nodes in the current content of the replica. */
  static fromReplica(replica: Pick<StateReplica, 'listPrefix'>): NodeZones {
    const nodeCountsByZone = new Map<string, number>();
    for (const { value } of replica.listPrefix(NODE_GROUPS_PREFIX)) {
      const group = decodeNodeGroup(value);
      if (group)
        nodeCountsByZone.set(group.zone, (nodeCountsByZone.get(group.zone) ?? 0) + group.nodeAddresses.size);
    }
    return new NodeZones(nodeCountsByZone);
  }

  /**
   * Whether a zone has hardly any nodes compared with the largest zone. A leader in such a zone loses contact with nearly all
   * nodes if the network between the zones fails.
   */
  isRemote(zone: string): boolean {
    const largestNodeCount = Math.max(0, ...this.nodeCountsByZone.values());
    return (
      largestNodeCount >= MIN_NODE_SAMPLE_SIZE &&
      (this.nodeCountsByZone.get(zone) ?? 0) <= largestNodeCount * REMOTE_ZONE_MAX_NODE_SHARE
    );
  }
}
