/** Stores the nodes in the state store, so that the next leader knows where tasks may run. */
import {
  MALFORMED_VALUE_RETRY_DELAY_MS,
  MAX_INSTANCES_PER_LAUNCH,
  MAX_NODE_RECORD_BYTES,
} from '../constants.js';
import { decodeNodeGroup, measureEncodedBytes, NODE_GROUPS_PREFIX, nodeGroupKey } from '../state/records.js';
import type { StateReplica } from '../state/state-replica.js';
import type { Condition, Operation } from '../state/store-client.js';
import type { CommitResult } from '../state/transaction-batcher.js';
import type { WireInt } from '../wire/json.js';
import type { ClusterState, Node, Resources } from './cluster-state.js';
import { NodeGroup, type NodeGroupKind } from './node-group.js';

/** Dependencies of `NodeRecords`. */
export interface NodeRecordsDependencies {
  readonly replica: StateReplica;
  /** Number of the leader's term. It is part of the names of groups, so that these names are never reused. */
  readonly termNumber: number;
  /** Maximum size in bytes of a value in the state store. */
  readonly maxValueBytes: number;
  /** Maximum number of operations in one transaction. */
  readonly maxOperations: number;
  readonly commit: (conditions: Condition[], operations: Operation[]) => Promise<CommitResult>;
  /** Called when a write has ended. The result comes back through the leader's mailbox to `handleWriteResult`. */
  readonly onWriteEnded: (result: NodeGroupWriteResult) => void;
}

/** The result of a write of one group. */
export interface NodeGroupWriteResult {
  readonly group: NodeGroup;
  /** The nodes that were marked as used in the written value. */
  readonly usedNodes: readonly Node[];
  /** Whether the state store certainly has that value. */
  readonly isApplied: boolean;
}

/** A write of a group, and the nodes that are marked as used in the written value. */
interface GroupWrite {
  readonly group: NodeGroup;
  readonly usedNodes: readonly Node[];
}

/**
 * Stores the nodes in the state store. Each node is marked there as used, that is, as possibly holding tasks, before
 * its first start command is sent. Nodes that were launched together share a value, and their changes are written
 * together, because hundreds of nodes boot within seconds and the store accepts only a few writes per second.
 */
export class NodeRecords {
  private readonly groupByNode = new Map<Node, NodeGroup>();
  private readonly changedGroups = new Set<NodeGroup>();
  private readonly maxGroupSize: number;
  private lastGroupNumber = 0;

  constructor(private readonly dependencies: NodeRecordsDependencies) {
    this.maxGroupSize = Math.max(
      1,
      Math.min(MAX_INSTANCES_PER_LAUNCH, Math.floor(dependencies.maxValueBytes / MAX_NODE_RECORD_BYTES)),
    );
  }

  /**
   * Adds to the cluster state the nodes that earlier terms recorded. Returns each node with whether it may hold
   * tasks.
   */
  load(
    clusterState: ClusterState,
    getCapacity: (typeName: string) => Resources,
    nowMs: number,
  ): Map<Node, boolean> {
    const isUsedByNode = new Map<Node, boolean>();
    for (const { key, value } of this.dependencies.replica.listPrefix(NODE_GROUPS_PREFIX)) {
      const record = decodeNodeGroup(value);
      if (!record) continue;
      const { type, zone, spot } = record;
      const group = new NodeGroup(key, { type, zone, spot });
      for (const [name, address] of record.nodeAddresses) {
        const capacity = getCapacity(type);
        const node = clusterState.addNode(
          { name, address: address ?? '', type, zone, spot, capacity },
          nowMs,
        );
        if (address !== undefined) node.markPersistedAsUsed();
        group.add(node, node.isPersistedAsUsed);
        this.groupByNode.set(node, group);
        isUsedByNode.set(node, node.isPersistedAsUsed);
      }
    }
    return isUsedByNode;
  }

  /** Records nodes of one offering that were launched together. */
  addLaunched(nodes: readonly Node[]): void {
    let group: NodeGroup | undefined;
    for (const node of nodes) {
      if (!group || group.size >= this.maxGroupSize) group = this.createGroup(node);
      this.addToGroup(group, node);
    }
  }

  /** Marks a node as used because its worker sent a heartbeat. The node may get tasks once the mark is stored. */
  markUsed(node: Node): void {
    let group = this.groupByNode.get(node);
    if (!group) {
      group = this.createGroup(node);
      this.addToGroup(group, node);
    }
    if (group.markUsed(node)) this.changedGroups.add(group);
  }

  /** Removes a node that was deleted. */
  remove(node: Node): void {
    const group = this.groupByNode.get(node);
    if (!group) return;
    this.groupByNode.delete(node);
    group.remove(node);
    this.changedGroups.add(group);
  }

  /** Writes the groups that have changed, each with at most one write at a time and not too often. */
  flush(nowMs: number): void {
    for (const group of this.changedGroups) {
      if (!group.mayBeWritten(nowMs)) continue;
      this.changedGroups.delete(group);
      this.writeGroup(group, nowMs);
    }
  }

  /**
   * Returns the time in ms until a changed group may be written. Groups with a write in progress do not count. The
   * result is Infinity if no other group has changed.
   */
  computeFlushDelayMs(nowMs: number): number {
    let delayMs = Infinity;
    for (const group of this.changedGroups)
      if (!group.isWriteInProgress) delayMs = Math.min(delayMs, group.computeWriteDelayMs(nowMs));
    return Math.max(0, delayMs);
  }

  /** Applies the result of a write. A group whose write was not applied is written again. */
  handleWriteResult({ group, usedNodes, isApplied }: NodeGroupWriteResult): void {
    group.endWrite();
    if (isApplied) for (const node of usedNodes) node.markPersistedAsUsed();
    else this.changedGroups.add(group);
  }

  private createGroup(kind: NodeGroupKind): NodeGroup {
    return new NodeGroup(nodeGroupKey(`${this.dependencies.termNumber}-${++this.lastGroupNumber}`), kind);
  }

  private addToGroup(group: NodeGroup, node: Node): void {
    group.add(node, false);
    this.groupByNode.set(node, group);
    this.changedGroups.add(group);
  }

  private writeGroup(group: NodeGroup, nowMs: number): void {
    group.beginWrite(nowMs);
    const { key } = group;
    const usedNodes = group.listUsedNodes();
    const stored = this.dependencies.replica.get(key);
    const value = group.toStoredValue();
    if (!stored && value === undefined) {
      group.endWrite();
      return;
    }
    const modRevision = stored?.modRevision ?? 0;
    // The value is too large if the group was created under larger limits, or if its nodes have longer names than
    // expected.
    if (
      value !== undefined &&
      group.size > 1 &&
      measureEncodedBytes(value) > this.dependencies.maxValueBytes
    ) {
      this.splitGroup(group, modRevision);
      return;
    }
    void this.dependencies
      .commit([{ key, modRevision }], [{ key, value }])
      .then((result) => this.deliverWriteResult({ group, usedNodes }, result));
  }

  private deliverWriteResult({ group, usedNodes }: GroupWrite, result: CommitResult): void {
    // A value that the store rejects as malformed would be rejected again, so it is not resent at once.
    if (result.outcome === 'refused' && result.isMalformed)
      group.postponeWrite(MALFORMED_VALUE_RETRY_DELAY_MS);
    this.dependencies.onWriteEnded({ group, usedNodes, isApplied: result.outcome === 'applied' });
  }

  /**
   * Moves the nodes that no longer fit into the value of the group to new groups. One transaction writes all these
   * groups, so that no node is ever stored in two groups or in none.
   */
  private splitGroup(group: NodeGroup, modRevision: WireInt): void {
    const members = group.removeAll();
    const partCount = Math.min(
      this.dependencies.maxOperations,
      Math.ceil(members.length / this.maxGroupSize),
    );
    const partSize = Math.ceil(members.length / partCount);
    const parts = Array.from({ length: partCount }, (_, index): GroupWrite => {
      const part = index === 0 ? group : this.createGroup(group.kind);
      part.beginWriteWith(group);
      for (const [node, isUsed] of members.slice(index * partSize, (index + 1) * partSize)) {
        part.add(node, isUsed);
        this.groupByNode.set(node, part);
      }
      return { group: part, usedNodes: part.listUsedNodes() };
    });
    const operations = parts.map((part) => ({ key: part.group.key, value: part.group.encode() }));
    const conditions = parts.map((part, index) => ({
      key: part.group.key,
      modRevision: index === 0 ? modRevision : 0,
    }));
    void this.dependencies
      .commit(conditions, operations)
      .then((result) => this.handleSplitResult(group, parts, result));
  }

  private handleSplitResult(group: NodeGroup, parts: readonly GroupWrite[], result: CommitResult): void {
    if (result.outcome === 'applied') {
      for (const part of parts) this.deliverWriteResult(part, result);
      return;
    }
    // All nodes stay in one group, because the state store may still have that group. It is written again.
    for (const part of parts) if (part.group !== group) this.mergeInto(group, part.group);
    for (const part of parts) if (part.group === group) this.deliverWriteResult(part, result);
  }

  private mergeInto(group: NodeGroup, part: NodeGroup): void {
    for (const [node, isUsed] of part.entries()) {
      group.add(node, isUsed);
      this.groupByNode.set(node, group);
    }
    this.changedGroups.delete(part);
  }
}
