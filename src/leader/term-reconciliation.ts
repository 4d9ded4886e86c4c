/**
 * Reconciliation at the start of a term. It tracks which nodes may still run tasks of earlier terms, which leases are
 * renewed by lease renewal proxies, and when a lease has certainly expired.
 */
import type { Logger } from 'pino';
import type { ClusterState, Node, Resources } from '../cluster/cluster-state.js';
import { computeLeaseExpiryMs } from '../cluster/lease-rules.js';
import type { NodeRecords } from '../cluster/node-records.js';
import {
  COMMAND_CALL_TIMEOUT_MS,
  LEASE_PROXY_READ_VALIDITY_MS,
  RELAY_RESPONSE_VALIDITY_MS,
} from '../constants.js';
import { DELEGATED_LEASES_PREFIX, decodeDelegatedLeases } from '../state/records.js';
import type { StateReplica } from '../state/state-replica.js';
import type { KeyChange } from '../state/store-client.js';
import type { CommitInTerm } from './term-transactions.js';

/**
 * Longest time in ms, from the start of a term, until the last lease that depends on an earlier term starts. The previous
 * leader answered a node for the last time before this term began, but a proxy may have answered it for a moment longer,
 * a response may have been in transit through a relay, and a leader of a former version may have started a task by a direct
 * call, which a new worker on a machine that has restarted accepts until it times out.
 */
const MAX_EARLIER_TERM_DELAY_MS = Math.max(
  LEASE_PROXY_READ_VALIDITY_MS,
  RELAY_RESPONSE_VALIDITY_MS,
  COMMAND_CALL_TIMEOUT_MS,
);

/** The result of the read that confirms the expiry of a node's lease. */
export interface LeaseCheckResult {
  readonly node: Node;
  /** Steady time in ms of the expiry that the read had to confirm. */
  readonly leaseExpiryMs: number;
  /**
   * Whether the read succeeded. In that case all lease delegations that were stored before the read began are known.
   */
  readonly isConfirmed: boolean;
}

/** Dependencies of `TermReconciliation`. */
export interface TermReconciliationDependencies {
  /** Fencing token of the term. */
  readonly fencingToken: number;
  /** Duration of a node's lease in seconds. */
  readonly leaseS: number;
  readonly clusterState: ClusterState;
  readonly replica: StateReplica;
  readonly commit: CommitInTerm;
  readonly nowMs: () => number;
  readonly log: Logger;
  /**
   * Called when a lease check has ended. The result comes back through the leader's mailbox to
   * `handleLeaseCheckResult`.
   */
  readonly onLeaseCheckEnded: (result: LeaseCheckResult) => void;
  readonly requestSchedulingCycle: () => void;
}

/**
 * Tracks the nodes that may still run tasks because of earlier terms or lease renewal proxies. A node that an earlier
 * term used counts as holding tasks until it sends a heartbeat with this term's fencing token, it is deleted, or its
 * lease has certainly expired.
 */
export class TermReconciliation {
  private readonly startMs: number;
  /** Nodes that earlier terms used, on which unknown tasks may run. */
  private readonly unreconciledNodes = new Set<Node>();
  /** Names of the nodes whose leases a proxy renews, by the key of the proxy's record. */
  private readonly delegatedNodeNamesByKey = new Map<string, readonly string[]>();
  private delegatedNodeNames: ReadonlySet<string> = new Set<string>();
  /** Nodes whose lease expiry is being confirmed. */
  private readonly pendingLeaseChecks = new Set<Node>();

  constructor(private readonly dependencies: TermReconciliationDependencies) {
    this.startMs = dependencies.nowMs();
  }

  /** Loads the nodes of earlier terms into the cluster state, and deletes the lease delegations of earlier terms. */
  load(nodeRecords: NodeRecords, getCapacity: (typeName: string) => Resources): void {
    const nowMs = this.dependencies.nowMs();
    for (const [node, isUsed] of nodeRecords.load(this.dependencies.clusterState, getCapacity, nowMs)) {
      if (!isUsed) continue;
      node.extendLease(computeLeaseExpiryMs(nowMs + MAX_EARLIER_TERM_DELAY_MS, this.dependencies.leaseS));
      this.unreconciledNodes.add(node);
    }
    for (const { key, modRevision } of [...this.dependencies.replica.listPrefix(DELEGATED_LEASES_PREFIX)]) {
      // This record is from an earlier term. Its proxy either registers the nodes again or no longer exists.
      void this.dependencies.commit([{ key, modRevision }], [{ key, value: undefined }]);
    }
  }

  /** Whether all nodes of earlier terms are reconciled. */
  get isComplete(): boolean {
    return this.unreconciledNodes.size === 0;
  }

  /** Number of nodes that are not reconciled yet. */
  get unreconciledCount(): number {
    return this.unreconciledNodes.size;
  }

  /** Records that all tasks on the node are known from now on. */
  markReconciled(node: Node): void {
    if (!this.unreconciledNodes.delete(node) || !this.isComplete) return;
    const elapsedMs = Math.round(this.dependencies.nowMs() - this.startMs);
    this.dependencies.log.info({ elapsedMs }, 'all nodes reconciled');
  }

  /**
   * Applies a change of the record in which a proxy lists the nodes whose leases it renews while the leader cannot
   * reach them.
   */
  handleDelegatedLease(change: KeyChange): void {
    const record = decodeDelegatedLeases(change.value);
    const previousNames = this.delegatedNodeNamesByKey.get(change.key) ?? [];
    if (record?.term === this.dependencies.fencingToken)
      this.delegatedNodeNamesByKey.set(change.key, record.nodeNames);
    else this.delegatedNodeNamesByKey.delete(change.key);
    this.delegatedNodeNames = new Set([...this.delegatedNodeNamesByKey.values()].flat());
    for (const name of previousNames) {
      const node = this.dependencies.clusterState.nodes.get(name);
      // The proxy may have renewed the lease of this node until just now.
      if (node && !this.delegatedNodeNames.has(name))
        node.extendLease(computeLeaseExpiryMs(this.dependencies.nowMs(), this.dependencies.leaseS));
    }
  }

  /** Whether a lease renewal proxy renews the node's lease. */
  isLeaseDelegated(node: Node): boolean {
    return this.delegatedNodeNames.size > 0 && this.delegatedNodeNames.has(node.name);
  }

  /**
   * Starts a read of the state store if the node's lease seems to have expired, because a proxy may have renewed it.
   */
  confirmLeaseExpiry(node: Node, nowMs: number): void {
    if (nowMs <= node.leaseExpiryMs || node.leaseExpiryMs === -Infinity) return;
    if (this.pendingLeaseChecks.has(node) || this.isLeaseDelegated(node)) return;
    this.pendingLeaseChecks.add(node);
    const { leaseExpiryMs } = node;
    const { replica, onLeaseCheckEnded } = this.dependencies;
    replica.linearizableRead().then(
      () => onLeaseCheckEnded({ node, leaseExpiryMs, isConfirmed: true }),
      () => onLeaseCheckEnded({ node, leaseExpiryMs, isConfirmed: false }),
    );
  }

  /** Releases all attempts on the node if the expiry of its lease is confirmed. */
  handleLeaseCheckResult({ node, leaseExpiryMs, isConfirmed }: LeaseCheckResult): void {
    this.pendingLeaseChecks.delete(node);
    if (!isConfirmed || this.isLeaseDelegated(node) || node.leaseExpiryMs !== leaseExpiryMs) return;
    // No controller answered the node for the duration of a lease, so its worker has killed all tasks.
    if (node.attempts.size > 0) this.logLeaseExpiry(node);
    this.dependencies.clusterState.fenceIncarnation(node);
    node.expireLease();
    this.markReconciled(node);
    this.dependencies.requestSchedulingCycle();
  }

  /** Logs what the expired lease was counted from: the newest message of the worker, and the last response to it. */
  private logLeaseExpiry({ name, incarnation, sequence, lastResponseMs }: Node): void {
    const sinceResponseMs = Math.round(this.dependencies.nowMs() - lastResponseMs);
    this.dependencies.log.info({ node: name, incarnation, sequence, sinceResponseMs }, 'node lease expired');
  }
}
