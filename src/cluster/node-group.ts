/** A group of nodes that share one value in the state store. The group also limits how often this value is written. */
import { MIN_NODE_GROUP_WRITE_INTERVAL_MS } from '../constants.js';
import { encodeNodeGroup } from '../state/records.js';
import type { Node } from './node.js';

/** The properties that all nodes of a group have in common. */
export type NodeGroupKind = Pick<Node, 'type' | 'zone' | 'spot'>;

/** Nodes of one kind that share a value in the state store. At most one write of the value is in progress at a time. */
export class NodeGroup {
  /** The properties that all nodes of the group have in common. */
  readonly kind: NodeGroupKind;
  /** For each node, whether it is used. A used node is one that may hold tasks. */
  private readonly isUsedByNode = new Map<Node, boolean>();
  private isBeingWritten = false;
  private lastWriteMs = -Infinity;

  constructor(
    /** Key of the group in the state store. */
    readonly key: string,
    { type, zone, spot }: NodeGroupKind,
  ) {
    this.kind = { type, zone, spot };
  }

  /** Number of nodes in the group. */
  get size(): number {
    return this.isUsedByNode.size;
  }

  /** Whether a write of the group is in progress. */
  get isWriteInProgress(): boolean {
    return this.isBeingWritten;
  }

  /** Adds a node. `isUsed` tells whether it may hold tasks. */
  add(node: Node, isUsed: boolean): void {
    this.isUsedByNode.set(node, isUsed);
  }

  /** Removes the node if it is in the group. */
  remove(node: Node): void {
    this.isUsedByNode.delete(node);
  }

  /** Marks a node as used: it may hold tasks. Returns false if it was already marked. */
  markUsed(node: Node): boolean {
    if (this.isUsedByNode.get(node)) return false;
    this.isUsedByNode.set(node, true);
    return true;
  }

  /** Returns the nodes that are in the group at this moment, each with whether it is used. */
  entries(): [node: Node, isUsed: boolean][] {
    return [...this.isUsedByNode];
  }

  /** Returns the nodes that may hold tasks. */
  listUsedNodes(): Node[] {
    return this.entries()
      .filter(([, isUsed]) => isUsed)
      .map(([node]) => node);
  }

  /** Removes all nodes and returns them, each with whether it is used. */
  removeAll(): [node: Node, isUsed: boolean][] {
    const entries = this.entries();
    this.isUsedByNode.clear();
    return entries;
  }

  /**
   * Returns the value of the group for the state store. Undefined if the group has no nodes, because its key is then
   * deleted.
   */
  toStoredValue(): unknown {
    return this.size > 0 ? this.encode() : undefined;
  }

  /** Returns the encoded value of the group, even if it has no nodes. */
  encode(): unknown {
    const nodeAddresses = new Map(
      this.entries().map(([node, isUsed]) => [node.name, isUsed ? node.address : undefined]),
    );
    return encodeNodeGroup({ ...this.kind, nodeAddresses });
  }

  /** Whether the group may be written now: no write of it is in progress, and the last one was long enough ago. */
  mayBeWritten(nowMs: number): boolean {
    return !this.isBeingWritten && nowMs - this.lastWriteMs >= MIN_NODE_GROUP_WRITE_INTERVAL_MS;
  }

  /** Returns the time in ms until the last write is long enough ago. Zero or less if it already is. */
  computeWriteDelayMs(nowMs: number): number {
    return this.lastWriteMs + MIN_NODE_GROUP_WRITE_INTERVAL_MS - nowMs;
  }

  /** Records that a write of the group has begun. */
  beginWrite(nowMs: number): void {
    this.isBeingWritten = true;
    this.lastWriteMs = nowMs;
  }

  /** Records that a write of the group has begun together with that of another group. */
  beginWriteWith(other: NodeGroup): void {
    this.isBeingWritten = true;
    this.lastWriteMs = other.lastWriteMs;
  }

  /** Records that the write of the group has ended. */
  endWrite(): void {
    this.isBeingWritten = false;
  }

  /** Postpones the next write by `delayMs` beyond the usual time between two writes. */
  postponeWrite(delayMs: number): void {
    this.lastWriteMs += delayMs;
  }
}
