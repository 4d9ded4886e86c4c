/** Renews the leases of workers that a partition cuts off from the leader. */
import type { Logger } from 'pino';
import { Actor, assertNever, type Clock } from '@pumicehinge/runtime';
import type { Heartbeat } from '../cluster/worker-messages.js';
import {
  MAX_DELEGATED_LEASES_PER_KEY,
  LEASE_PROXY_ACTIVATION_MS,
  LEASE_PROXY_CHECK_INTERVAL_MS,
  LEASE_PROXY_READ_VALIDITY_MS,
  MAX_NODE_NAME_BYTES,
} from '../constants.js';
import type { HttpResponse, ResponseCallback } from '../http/message.js';
import {
  decodeLeader,
  delegatedLeasesKey,
  DELEGATED_LEASES_PREFIX,
  encodeDelegatedLeases,
  LEADER_KEY,
  nodeGroupContains,
  NODE_GROUPS_PREFIX,
} from '../state/records.js';
import type { KeyValue } from '../state/key-value.js';
import type { StateReplica } from '../state/state-replica.js';
import type { CommitResult, TransactionBatcher } from '../state/transaction-batcher.js';
import { formatJson, type WireInt } from '../wire/json.js';
import { encodeCommands } from './codec.js';
import { createStopCommandsForEndedJobs } from './stop-commands.js';

/** Dependencies of LeaseRenewalProxy. */
export interface LeaseRenewalProxyDependencies {
  /** Name of this controller. */
  readonly member: string;
  /** Largest size of a value in the state store, in bytes. */
  readonly maxValueBytes: number;
  readonly replica: Pick<StateReplica, 'get' | 'listPrefix' | 'linearizableRead'>;
  readonly batcher: Pick<TransactionBatcher, 'commit'>;
  readonly clock: Clock;
  readonly log: Logger;
  /**
   * Whether the member's host is up but refuses connections from this controller. There is no partition in that case.
   */
  readonly refusesConnections: (member: string) => boolean;
  /** Steady time in milliseconds of the last message from the member. */
  readonly getLastContactMs: (member: string) => number;
}

/** A heartbeat that waits for its response. */
interface PendingHeartbeat {
  readonly heartbeat: Heartbeat;
  readonly respond: ResponseCallback;
}

/** A heartbeat whose response may rely on what the state store held at the steady time `readMs`, in milliseconds. */
interface VerifiedHeartbeat extends PendingHeartbeat {
  readonly readMs: number;
}

/** The result of the write that delegates the leases of a batch of nodes in a term. */
interface DelegationResult {
  readonly batch: readonly PendingHeartbeat[];
  readonly term: number;
  readonly isCommitted: boolean;
}

type Message =
  | ({ readonly kind: 'heartbeat' } & PendingHeartbeat)
  | ({ readonly kind: 'stateRead' } & VerifiedHeartbeat)
  | ({ readonly kind: 'delegationWritten' } & DelegationResult)
  | { readonly kind: 'check' };

/** The leader according to the state replica. `revision` is the modification revision of the leader key. */
interface KnownLeader {
  readonly member: string;
  readonly term: number;
  readonly revision: WireInt;
}

const NOT_ENTITLED_RESPONSE: HttpResponse = { status: 503, body: '{}' };

/**
 * Renews workers' leases on behalf of a leader that can't be reached, and starts no task. Its authority is the term
 * that it read from the state store a moment ago. Each node is recorded there as delegated before its first response,
 * so that the leader never considers its lease expired (docs/design.md explains why that is safe).
 */
export class LeaseRenewalProxy extends Actor<Message> {
  /** The terms in which leases were delegated to this controller, by node name. */
  private readonly delegatedTerms = new Map<string, number>();
  private readonly awaitingDelegation: PendingHeartbeat[] = [];
  private isWritingDelegation = false;
  private batchCount = 0;
  /**
   * Steady time in milliseconds since when the proxy has not been needed. Infinity if it is needed or no lease is
   * delegated.
   */
  private idleSinceMs = Infinity;
  /** The latest revision of the leader key, and the steady time in milliseconds at which it was first seen. */
  private leaderRevision: WireInt | undefined;
  private leaderFirstSeenMs = -Infinity;

  constructor(private readonly dependencies: LeaseRenewalProxyDependencies) {
    super(dependencies.log);
  }

  /** Starts the periodic check whether delegated leases can be returned to the leader. The check never stops. */
  start(): void {
    const check = (): void => {
      this.send({ kind: 'check' });
      this.dependencies.clock.setTimer(LEASE_PROXY_CHECK_INTERVAL_MS, check);
    };
    check();
  }

  /**
   * Whether this controller should handle heartbeats, because another controller leads according to the state store
   * but no message from it arrives.
   */
  shouldRenewLeases(): boolean {
    const leader = this.getKnownLeader();
    if (!leader || leader.member === this.dependencies.member) return false;
    // If the leader's host refuses connections, it is up, and the workers can reach the leader themselves.
    if (this.dependencies.refusesConnections(leader.member)) return false;
    if (leader.revision !== this.leaderRevision) {
      this.leaderRevision = leader.revision;
      this.leaderFirstSeenMs = this.dependencies.clock.steadyMs();
    }
    // A new leader has had no time yet to send a message. After a restart of this process the same holds for a leader
    // that has led for longer.
    const lastContactMs = Math.max(this.dependencies.getLastContactMs(leader.member), this.leaderFirstSeenMs);
    return this.dependencies.clock.steadyMs() - lastContactMs > LEASE_PROXY_ACTIVATION_MS;
  }

  protected receive(message: Message): void {
    switch (message.kind) {
      case 'heartbeat':
        return this.readStateFor(message);
      case 'stateRead':
        return this.handleStateRead(message);
      case 'delegationWritten':
        return this.handleDelegationWritten(message);
      case 'check':
        return this.releaseIfIdle();
      default:
        assertNever(message);
    }
  }

  private getKnownLeader(): KnownLeader | undefined {
    const row = this.dependencies.replica.get(LEADER_KEY);
    const record = decodeLeader(row?.value);
    return row && record && { member: record.member, term: record.term, revision: row.modRevision };
  }

  /** Reads the state store, so that the response relies on the leader and the nodes that the store holds now. */
  private readStateFor({ heartbeat, respond }: PendingHeartbeat): void {
    const readMs = this.dependencies.clock.steadyMs();
    this.dependencies.replica.linearizableRead().then(
      () => this.send({ kind: 'stateRead', heartbeat, respond, readMs }),
      () => respond(NOT_ENTITLED_RESPONSE),
    );
  }

  private handleStateRead(verified: VerifiedHeartbeat): void {
    const { heartbeat, respond } = verified;
    const leader = this.getKnownLeader();
    if (!leader || !this.mayRenewLease(heartbeat, leader)) return respond(NOT_ENTITLED_RESPONSE);
    if (this.delegatedTerms.get(heartbeat.nodeName) === leader.term) return this.renewLease(verified);
    this.awaitingDelegation.push({ heartbeat, respond });
    this.writeDelegation();
  }

  /** Whether the worker's lease may be renewed. A node that no leader has recorded has no task that needs a lease. */
  private mayRenewLease(heartbeat: Heartbeat, leader: KnownLeader): boolean {
    return (
      this.shouldRenewLeases() &&
      heartbeat.fencingToken <= leader.term &&
      this.isNodeRecorded(heartbeat.nodeName)
    );
  }

  private isNodeRecorded(node: string): boolean {
    for (const row of this.dependencies.replica.listPrefix(NODE_GROUPS_PREFIX))
      if (nodeGroupContains(row.value, node)) return true;
    return false;
  }

  /**
   * Delegates the leases of the waiting nodes, with one write at a time. The nodes that arrive during a write share the
   * next one, because hundreds of nodes arrive at once in a partition.
   */
  private writeDelegation(): void {
    if (this.isWritingDelegation || this.awaitingDelegation.length === 0) return;
    const leader = this.getKnownLeader();
    const batch = this.takeBatch();
    if (!leader) {
      for (const { respond } of batch) respond(NOT_ENTITLED_RESPONSE);
      return;
    }
    this.isWritingDelegation = true;
    const { term } = leader;
    void this.commitDelegation(batch, leader).then(({ outcome }) => {
      this.send({ kind: 'delegationWritten', batch, term, isCommitted: outcome === 'applied' });
    });
  }

  private takeBatch(): PendingHeartbeat[] {
    const maxNodesPerValue = Math.floor(this.dependencies.maxValueBytes / MAX_NODE_NAME_BYTES) - 1;
    return this.awaitingDelegation.splice(
      0,
      Math.max(1, Math.min(MAX_DELEGATED_LEASES_PER_KEY, maxNodesPerValue)),
    );
  }

  private commitDelegation(
    batch: readonly PendingHeartbeat[],
    { term, revision }: KnownLeader,
  ): Promise<CommitResult> {
    const { replica, batcher, member, log } = this.dependencies;
    const key = delegatedLeasesKey(member, `${term}-${++this.batchCount}`);
    const nodes = batch.map(({ heartbeat }) => heartbeat.nodeName);
    log.info({ nodes, term }, 'lease delegation during partition started');
    const conditions = [
      { key: LEADER_KEY, modRevision: revision },
      { key, modRevision: replica.get(key)?.modRevision ?? 0 },
    ];
    const operations = [{ key, value: encodeDelegatedLeases({ term, nodeNames: nodes }) }];
    return batcher.commit(conditions, operations, LEASE_PROXY_READ_VALIDITY_MS);
  }

  private handleDelegationWritten({ batch, term, isCommitted }: DelegationResult): void {
    this.isWritingDelegation = false;
    for (const pending of batch) {
      if (isCommitted) {
        this.delegatedTerms.set(pending.heartbeat.nodeName, term);
        // The write may have taken a long time, so the response relies on a new read of the state store.
        this.readStateFor(pending);
      } else {
        pending.respond(NOT_ENTITLED_RESPONSE);
      }
    }
    this.writeDelegation();
  }

  private renewLease({ heartbeat, respond, readMs }: VerifiedHeartbeat): void {
    const term = this.delegatedTerms.get(heartbeat.nodeName);
    // The tasks of a cancelled job must end in time even if the leader can't reach them.
    const commands = createStopCommandsForEndedJobs(heartbeat, this.dependencies.replica);
    // This is checked last, because what was read from the state store is valid only for a moment.
    const isExpired = this.dependencies.clock.steadyMs() - readMs > LEASE_PROXY_READ_VALIDITY_MS;
    if (isExpired || term === undefined || this.getKnownLeader()?.term !== term)
      respond(NOT_ENTITLED_RESPONSE);
    else respond({ status: 200, body: formatJson(encodeCommands(term, commands)) });
  }

  /**
   * Returns the leases to the leader once the proxy has not been needed for so long that no response can be in flight.
   */
  private releaseIfIdle(): void {
    const nowMs = this.dependencies.clock.steadyMs();
    const ownRecords = this.listOwnRecords();
    // The records count too, because a write whose outcome is unknown may be applied late.
    const hasDelegatedLeases = this.delegatedTerms.size > 0 || ownRecords.length > 0;
    if (!hasDelegatedLeases || this.shouldRenewLeases()) {
      this.idleSinceMs = Infinity;
      return;
    }
    this.idleSinceMs = Math.min(this.idleSinceMs, nowMs);
    if (nowMs - this.idleSinceMs <= 2 * LEASE_PROXY_READ_VALIDITY_MS) return;
    this.delegatedTerms.clear();
    for (const { key, modRevision } of ownRecords) this.deleteRecord(key, modRevision);
  }

  private listOwnRecords(): KeyValue[] {
    const ownPrefix = delegatedLeasesKey(this.dependencies.member, '');
    return [...this.dependencies.replica.listPrefix(DELEGATED_LEASES_PREFIX)].filter((row) =>
      row.key.startsWith(ownPrefix),
    );
  }

  /** Deletes a record without waiting for the outcome. A record that remains is deleted by a later check. */
  private deleteRecord(key: string, modRevision: WireInt): void {
    const operations = [{ key, value: undefined }];
    void this.dependencies.batcher.commit(
      [{ key, modRevision }],
      operations,
      10 * LEASE_PROXY_READ_VALIDITY_MS,
    );
  }
}
