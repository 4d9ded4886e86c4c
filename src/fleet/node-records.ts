import { GROUP_SPACING_MS, MALFORMED_PAUSE_MS, NODE_RECORD_BYTES, RENT_MAX } from '../constants.js';
import type { Condition, Operation } from '../state/client.js';
import type { Mirror } from '../state/mirror.js';
import { decodeGroup, encodeGroup, GROUPS, groupKey, sizeOf } from '../state/records.js';
import type { WriteOutcome } from '../state/writer.js';
import type { WireInt } from '../wire/json.js';
import type { Ledger, Node, Resources } from './ledger.js';

export interface Group {
  readonly key: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** Whether each is used: recorded as possibly holding tasks. */
  readonly members: Map<Node, boolean>;
  writing: boolean;
  writtenMs: number;
}

export interface NodeRecordsDeps {
  mirror: Mirror;
  /** Number of the leader's term: names of groups are never used again. */
  term: number;
  valueBytes: number;
  txnOps: number;
  write: (conditions: Condition[], operations: Operation[]) => Promise<WriteOutcome>;
  /** The write of a group has ended; comes back through the leader's mailbox into `onWritten`. */
  written: (end: GroupEnd) => void;
}

export interface GroupEnd {
  group: Group;
  used: Node[];
  applied: boolean;
}

/**
 * The machines in the state service, so that the next leader knows where tasks may run: a machine stands there as used
 * before its first start command. Those rented together share a value, and what changes of them meanwhile goes out in
 * one write: hundreds of machines come up within seconds, and the service takes a few writes a second.
 */
export class NodeRecords {
  private readonly groups = new Map<Node, Group>();
  private readonly dirty = new Set<Group>();
  private readonly most: number;
  private seq = 0;

  constructor(private readonly deps: NodeRecordsDeps) {
    this.most = Math.max(1, Math.min(RENT_MAX, Math.floor(deps.valueBytes / NODE_RECORD_BYTES)));
  }

  /** The machines that earlier terms recorded; true for those that may hold tasks. */
  load(ledger: Ledger, capacityOf: (type: string) => Resources, now: number): Map<Node, boolean> {
    const loaded = new Map<Node, boolean>();
    for (const row of this.deps.mirror.startingWith(GROUPS)) {
      const record = decodeGroup(row.value);
      if (!record) continue;
      const { type, zone, spot } = record;
      const group = this.newGroup(row.key, { type, zone, spot });
      for (const [name, address] of record.members) {
        const capacity = capacityOf(type);
        const node = ledger.addNode({ name, address: address ?? '', type, zone, spot, capacity }, now);
        node.recorded = address !== undefined;
        group.members.set(node, node.recorded);
        this.groups.set(node, group);
        loaded.set(node, node.recorded);
      }
    }
    return loaded;
  }

  /** Machines of one offer that were rented together. */
  add(nodes: Node[]): void {
    let group: Group | undefined;
    for (const node of nodes) {
      if (!group || group.members.size >= this.most)
        group = this.newGroup(groupKey(`${this.deps.term}-${++this.seq}`), node);
      group.members.set(node, false);
      this.groups.set(node, group);
      this.touch(group);
    }
  }

  /** It reports: from now on it may be given tasks, once that is written. */
  use(node: Node): void {
    if (!this.groups.has(node)) this.add([node]);
    const group = this.groups.get(node)!;
    if (group.members.get(node)) return;
    group.members.set(node, true);
    this.touch(group);
  }

  forget(node: Node): void {
    const group = this.groups.get(node);
    if (!group) return;
    this.groups.delete(node);
    group.members.delete(node);
    this.touch(group);
  }

  /** Writes what changed, each group at most once at a time and not too often. */
  flush(now: number): void {
    for (const group of this.dirty) {
      if (group.writing || now - group.writtenMs < GROUP_SPACING_MS) continue;
      this.dirty.delete(group);
      this.write(group, now);
    }
  }

  /** Ms until a group may be written again; Infinity: nothing is to be written. */
  waitMs(now: number): number {
    let wait = Infinity;
    for (const group of this.dirty)
      if (!group.writing) wait = Math.min(wait, group.writtenMs + GROUP_SPACING_MS - now);
    return Math.max(0, wait);
  }

  onWritten({ group, used, applied }: GroupEnd): void {
    group.writing = false;
    if (applied) for (const node of used) node.recorded = true;
    else this.touch(group);
  }

  private newGroup(key: string, { type, zone, spot }: Pick<Group, 'type' | 'zone' | 'spot'>): Group {
    return { key, type, zone, spot, members: new Map(), writing: false, writtenMs: -Infinity };
  }

  private touch(group: Group): void {
    this.dirty.add(group);
  }

  private write(group: Group, now: number): void {
    group.writing = true;
    group.writtenMs = now;
    const { key, type, zone, spot } = group;
    const used = [...group.members].filter(([, isUsed]) => isUsed).map(([node]) => node);
    const members = new Map(
      [...group.members].map(([n, isUsed]) => [n.name, isUsed ? n.address : undefined]),
    );
    const row = this.deps.mirror.get(key);
    const value = members.size > 0 ? encodeGroup({ type, zone, spot, members }) : undefined;
    if (!row && !value) {
      group.writing = false;
      return;
    }
    // Written under larger limits: what no longer fits moves to groups of its own, in the same transaction, so that
    // no machine ever stands in two groups or in none.
    if (value !== undefined && members.size > 1 && sizeOf(value) > this.deps.valueBytes)
      return this.split(group, row?.stamp ?? 0);
    void this.deps
      .write([{ key, stamp: row?.stamp ?? 0 }], [{ key, value }])
      .then((result) => this.ended(group, used, result));
  }

  private ended(group: Group, used: Node[], result: WriteOutcome): void {
    // What the service calls malformed stays so: it is not sent again and again.
    if (result.outcome === 'refused' && result.malformed) group.writtenMs += MALFORMED_PAUSE_MS;
    this.deps.written({ group, used, applied: result.outcome === 'applied' });
  }

  private split(group: Group, stamp: WireInt): void {
    const all = [...group.members];
    const count = Math.min(this.deps.txnOps, Math.ceil(all.length / this.most));
    const each = Math.ceil(all.length / count);
    const parts = Array.from({ length: count }, (_, i) => all.slice(i * each, (i + 1) * each));
    const groups = parts.map((members, i) => {
      const part = i === 0 ? group : this.newGroup(groupKey(`${this.deps.term}-${++this.seq}`), group);
      part.writing = true;
      part.writtenMs = group.writtenMs;
      if (i === 0) part.members.clear();
      for (const [node, isUsed] of members) {
        part.members.set(node, isUsed);
        this.groups.set(node, part);
      }
      return part;
    });
    const { type, zone, spot } = group;
    const operations = groups.map(({ key, members }) => ({
      key,
      value: encodeGroup({
        type,
        zone,
        spot,
        members: new Map(
          [...members].map(([node, isUsed]) => [node.name, isUsed ? node.address : undefined]),
        ),
      }),
    }));
    const conditions = groups.map(({ key }, i) => ({ key, stamp: i === 0 ? stamp : 0 }));
    void this.deps.write(conditions, operations).then((result) => {
      // Not applied for sure: all stay one group, as the state service still has it, and it is written anew.
      if (result.outcome !== 'applied') for (const part of groups.slice(1)) this.join(part, group);
      groups.forEach((part, i) => {
        const used = parts[i]!.filter(([, isUsed]) => isUsed).map(([node]) => node);
        if (i === 0 || result.outcome === 'applied') this.ended(part, used, result);
      });
    });
  }

  private join(part: Group, group: Group): void {
    for (const [node, isUsed] of part.members) {
      group.members.set(node, isUsed);
      this.groups.set(node, group);
    }
    this.dirty.delete(part);
  }
}
