/** The actor that acquires and keeps leased roles for one process. */
import { assertNever, PeriodicActor, type Clock, type Tick } from '@pumicehinge/runtime';
import type { Logger } from 'pino';
import { CandidacySchedule } from './candidacy-schedule.js';
import {
  CANDIDACY_RETRY_DELAY_MS,
  LEASE_RENEWAL_TIMEOUT_MS,
  ROLE_CHECK_INTERVAL_MS,
  ROLE_LEASE_TTL_MS,
} from './constants.js';
import { PreviousProcessRoles } from './previous-process-roles.js';
import { decodeHolder, roleHolderKey } from './holder-records.js';
import { LeaderTracker } from './leader-tracker.js';
import { ClockCheckedLeaseAuthority, type LeaseRenewal } from './lease-authority.js';
import { LeaseSession } from './lease-session.js';
import type { Condition, CurrentLeader, KeyValue, Revision, RoleStore } from './ports.js';
import { buildRoleAcquisition } from './role-acquisition.js';
import { LEADER_PREFERRED_ROLES, ROLES, type Role } from './roles.js';

/** Describes a role that this process holds according to its replica of the state store. */
export interface RoleGrant {
  readonly role: Role;
  readonly fencingToken: number;
  /** Condition of every write of the holder. It fails once this process no longer holds the role. */
  readonly fence: Condition;
}

/** Dependencies of `RoleLeases`. */
export interface RoleLeasesOptions {
  /** This controller's name. */
  readonly member: string;
  readonly store: RoleStore;
  readonly currentLeader: () => CurrentLeader | undefined;
  readonly clock: Clock;
  /** Returns a random number, uniformly distributed in [0, 1). */
  readonly random: () => number;
  readonly log: Logger;
}

/** The end of a request for a lease. */
interface LeaseRequestEnded {
  readonly kind: 'leaseRequestEnded';
  readonly renewal: LeaseRenewal;
  readonly authority: ClockCheckedLeaseAuthority;
  /** Undefined if no lease was granted. */
  readonly leaseId: Revision | undefined;
}

/** The end of a renewal. */
interface RenewalEnded {
  readonly kind: 'renewalEnded';
  readonly session: LeaseSession;
  readonly renewal: LeaseRenewal;
  /** Whether the lease is alive, or undefined if that is unknown. */
  readonly isAlive: boolean | undefined;
}

type Message =
  | LeaseRequestEnded
  | RenewalEnded
  | { readonly kind: 'candidacyEnded' }
  | { readonly kind: 'resign'; readonly role: Role; readonly reason: string };

/**
 * Acquires vacant roles and keeps them by a lease. A candidate that finds no holder key for a role writes that key,
 * attached to its lease, and raises the fencing token, in one conditional transaction. This process holds a role
 * exactly while the key names its session. A lost answer or a transaction that is applied late therefore needs no
 * special handling.
 */
export class RoleLeases extends PeriodicActor<Message> {
  private session: LeaseSession | undefined;
  private isRequestingLease = false;
  private isCampaigning = false;
  private nextCandidacyMs = -Infinity;
  private readonly leaderTracker: LeaderTracker;
  private readonly candidacySchedule: CandidacySchedule;
  /** Time of the steady clock at which this process was first seen to hold each of its roles. */
  private readonly heldSinceMs = new Map<Role, number>();
  private readonly previousProcessRoles: PreviousProcessRoles;

  /** Creates an actor that does nothing before `start`. */
  constructor(
    private readonly options: RoleLeasesOptions,
    onFailure: (error: unknown) => void,
  ) {
    super(options.clock, ROLE_CHECK_INTERVAL_MS, options.log, onFailure);
    this.previousProcessRoles = new PreviousProcessRoles(options.member, options.store);
    this.leaderTracker = new LeaderTracker(options.member, options.currentLeader);
    this.candidacySchedule = new CandidacySchedule({
      leaderTracker: this.leaderTracker,
      countHeldRoles: () => this.countHeldRoles(),
      random: options.random,
    });
  }

  /**
   * Returns the grant if this process holds the role according to its replica, and undefined otherwise. Writes that
   * depend on the fence of the grant are safe even if the replica is stale.
   */
  currentGrant(role: Role): RoleGrant | undefined {
    if (!this.session) return undefined;
    const key = roleHolderKey(role);
    const stored = this.options.store.get(key);
    const holder = decodeHolder(stored?.value);
    if (!stored || holder?.sessionId !== this.session.id) return undefined;
    return { role, fencingToken: holder.fencingToken, fence: { key, modRevision: stored.modRevision } };
  }

  /** Whether the lease has certainly not expired. Call it right before a request that no fence protects. */
  isLeaseValid(): boolean {
    return this.session?.isValid(this.nowMs()) ?? false;
  }

  /** Resigns a held role. This process does not campaign for it again before a cooldown has passed. */
  resign(role: Role, reason: string): void {
    this.send({ kind: 'resign', role, reason });
  }

  protected receive(message: Message | Tick): void {
    switch (message.kind) {
      case 'tick':
        return this.runPeriodicChecks();
      case 'leaseRequestEnded':
        return this.onLeaseRequestEnded(message);
      case 'renewalEnded':
        return this.onRenewalEnded(message);
      case 'candidacyEnded':
        this.isCampaigning = false;
        return;
      case 'resign':
        return this.resignHeldRole(message.role, message.reason);
      default:
        return assertNever(message);
    }
  }

  private nowMs(): number {
    return this.options.clock.steadyMs();
  }

  private runPeriodicChecks(): void {
    const nowMs = this.nowMs();
    // The result is not needed here, but the call detects a clock that goes backwards.
    this.session?.isValid(nowMs);
    this.renewLeaseIfDue(nowMs);
    if (!this.options.store.isReady()) return;
    this.previousProcessRoles.recordOnce();
    this.leaderTracker.observe(nowMs);
    for (const role of ROLES) this.checkRole(role, nowMs);
    this.campaignIfDue(nowMs);
    this.transferRolesToLeader(nowMs);
    this.revokeIdleLease(nowMs);
  }

  private countHeldRoles(): number {
    return ROLES.filter((role) => this.currentGrant(role)).length;
  }

  private checkRole(role: Role, nowMs: number): void {
    const stored = this.options.store.get(roleHolderKey(role));
    if (!stored) {
      this.heldSinceMs.delete(role);
      this.candidacySchedule.recordVacant(role, nowMs);
      return;
    }
    this.candidacySchedule.recordHeld(role);
    this.trackHeldSince(role, nowMs);
    this.releasePreviousProcessRole(role, stored, nowMs);
  }

  private trackHeldSince(role: Role, nowMs: number): void {
    if (!this.currentGrant(role)) this.heldSinceMs.delete(role);
    else if (!this.heldSinceMs.has(role)) this.heldSinceMs.set(role, nowMs);
  }

  /**
   * Deletes a holder key of a previous process of this controller, so that nobody has to wait for its lease to expire.
   */
  private releasePreviousProcessRole(role: Role, { key, modRevision }: KeyValue, nowMs: number): void {
    if (!this.previousProcessRoles.isHeldByPreviousProcess(role, modRevision) || nowMs < this.nextCandidacyMs)
      return;
    this.nextCandidacyMs = nowMs + CANDIDACY_RETRY_DELAY_MS;
    void this.options.store.commit([{ key, modRevision }], [{ key, value: undefined }]);
  }

  private campaignIfDue(nowMs: number): void {
    if (this.isCampaigning || this.isRequestingLease || nowMs < this.nextCandidacyMs) return;
    const role = this.candidacySchedule.pickDueRole(nowMs);
    if (role === undefined) return;
    if (!this.session) this.requestLease();
    else if (this.session.isValid(nowMs)) void this.campaign(role, this.session);
  }

  private async campaign(role: Role, session: LeaseSession): Promise<void> {
    const { store, member } = this.options;
    this.isCampaigning = true;
    this.nextCandidacyMs = this.nowMs() + CANDIDACY_RETRY_DELAY_MS;
    const { fencingToken, conditions, operations } = buildRoleAcquisition(store, { role, member, session });
    const outcome = await store.commit(conditions, operations);
    if (outcome === 'applied') this.log.info({ role, fencingToken }, 'role acquired');
    this.send({ kind: 'candidacyEnded' });
  }

  /**
   * Transfers roles to the leader. Pending work waits for the leader's intents, and a local holder executes them
   * sooner.
   */
  private transferRolesToLeader(nowMs: number): void {
    if (!this.leaderTracker.acceptsTransfers(nowMs)) return;
    for (const role of LEADER_PREFERRED_ROLES)
      if (this.leaderTracker.isTransferDue(this.heldSinceMs.get(role) ?? nowMs, nowMs))
        this.resignHeldRole(role, 'transfer to the leader');
  }

  private resignHeldRole(role: Role, reason: string): void {
    const grant = this.currentGrant(role);
    if (!grant) return;
    const { fence, fencingToken } = grant;
    this.candidacySchedule.recordResigned(role, this.nowMs());
    this.log.info({ role, fencingToken, reason }, 'role resigned');
    void this.options.store.commit([fence], [{ key: fence.key, value: undefined }]);
  }

  private requestLease(): void {
    this.isRequestingLease = true;
    const authority = new ClockCheckedLeaseAuthority();
    const renewal = authority.beginRenewal(this.nowMs());
    const reportEnd = (leaseId?: Revision): void =>
      this.send({ kind: 'leaseRequestEnded', renewal, authority, leaseId });
    this.options.store.grantLease(ROLE_LEASE_TTL_MS).then(reportEnd, () => reportEnd());
  }

  private onLeaseRequestEnded({ renewal, authority, leaseId }: LeaseRequestEnded): void {
    this.isRequestingLease = false;
    const nowMs = this.nowMs();
    if (leaseId === undefined) {
      this.nextCandidacyMs = nowMs + CANDIDACY_RETRY_DELAY_MS;
      return;
    }
    authority.confirmRenewal(renewal, ROLE_LEASE_TTL_MS, nowMs);
    const id = this.createSessionId(leaseId);
    this.session = new LeaseSession({ id, leaseId, authority, grantRequest: renewal, nowMs });
    this.campaignIfDue(nowMs);
  }

  /** Creates a session id that differs from those of other processes of this controller, and of other leases. */
  private createSessionId(leaseId: Revision): string {
    const suffix = Math.floor(this.options.random() * 2 ** 32).toString(36);
    return `${this.options.member}/${leaseId}/${suffix}`;
  }

  private renewLeaseIfDue(nowMs: number): void {
    const { session } = this;
    const renewal = session?.beginDueRenewal(nowMs);
    if (!session || !renewal) return;
    const reportEnd = (isAlive?: boolean): void =>
      this.send({ kind: 'renewalEnded', session, renewal, isAlive });
    this.options.store
      .keepAlive(session.leaseId, LEASE_RENEWAL_TIMEOUT_MS)
      .then(reportEnd, () => reportEnd());
  }

  private onRenewalEnded({ session, renewal, isAlive }: RenewalEnded): void {
    session.endRenewal();
    if (session !== this.session) return;
    if (isAlive) session.confirmRenewal(renewal, this.nowMs());
    if (isAlive !== false) return;
    this.session = undefined;
    this.log.info({ session: session.id }, 'role lease expired');
  }

  private revokeIdleLease(nowMs: number): void {
    const { session } = this;
    if (!session) return;
    if (this.countHeldRoles() > 0 || this.isCampaigning) session.markUsed(nowMs);
    if (!session.isIdle(nowMs)) return;
    this.session = undefined;
    void this.options.store.revokeLease(session.leaseId).catch(() => undefined);
  }
}
