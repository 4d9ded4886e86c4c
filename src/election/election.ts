/**
 * Leader election, with at most one leader at a time. The leader's key in the state store is attached to a lease. If the key
 * is missing, a controller campaigns: a compare-and-swap writes the key and raises the term. While the state store serves no
 * controller, the lease votes of all others extend the leader's authority. docs/design.md explains why this is safe.
 */
import { Actor, assertNever } from '@pumicehinge/runtime';
import {
  CAMPAIGN_JITTER_MS,
  LEADER_LEASE_RENEWAL_MS,
  LEADER_LEASE_TTL_MS,
  LEASE_VOTE_REQUEST_INTERVAL_MS,
  STATE_CALL_TIMEOUT_MS,
  STATE_UNAVAILABLE_AFTER_MS,
} from '../constants.js';
import type { PeerMessage } from '../peers/peer-messages.js';
import { LEADER_KEY, TERM_KEY } from '../state/records.js';
import type { KeyValue } from '../state/store-client.js';
import { encodeTerm } from '../state/term-record.js';
import type { WireInt } from '../wire/json.js';
import { runCampaign, type CampaignResult } from './campaign.js';
import { CampaignSchedule } from './campaign-schedule.js';
import type { ElectionOptions } from './election-options.js';
import { LeaderLease } from './leader-lease.js';
import { LeaderView } from './leader-view.js';
import { LeadershipAuthority } from './leadership-authority.js';
import type { LeadershipTerm } from './leadership-term.js';
import { LeadershipTransfer } from './leadership-transfer.js';
import { LeaseVoteCollector } from './lease-vote-collector.js';
import { LeaseVoter } from './lease-voter.js';
import { PeerFailureDetector } from './peer-failure-detector.js';
import { StatusAnnouncer } from './status-announcer.js';

type Message =
  | { readonly kind: 'tick' }
  | { readonly kind: 'leaderKeyChanged' }
  | { readonly kind: 'campaignEnded'; readonly campaign: CampaignResult }
  | { readonly kind: 'campaignFailed' }
  | {
      readonly kind: 'leaseRenewalAnswered';
      readonly leaseId: WireInt;
      readonly requestedAtMs: number;
      readonly isAlive: boolean;
    }
  | { readonly kind: 'leaseRenewalFailed' }
  | { readonly kind: 'peerMessage'; readonly member: string; readonly message: PeerMessage }
  | { readonly kind: 'resign' };

interface LeaderRole {
  readonly kind: 'leader';
  readonly term: LeadershipTerm;
  readonly lease: LeaderLease;
  /** Time on the steady clock, in milliseconds, at which the campaign was won. */
  readonly electedAtMs: number;
}

type Role = { readonly kind: 'follower' } | { readonly kind: 'candidate' } | LeaderRole;

const FOLLOWER: Role = { kind: 'follower' };
const CANDIDATE: Role = { kind: 'candidate' };

/** Takes part in the election on behalf of this controller, which is a follower, a candidate or the leader. */
export class Election extends Actor<Message> {
  /** Tracks which other controllers are alive and eligible to lead, and to which leader they relay heartbeats. */
  readonly failureDetector: PeerFailureDetector;
  /** What this controller knows about the current leader. */
  readonly leaderView: LeaderView;
  private role: Role = FOLLOWER;
  private readonly campaignSchedule: CampaignSchedule;
  private readonly announcer: StatusAnnouncer;
  private readonly leaseVoter: LeaseVoter;
  private readonly voteCollector: LeaseVoteCollector;
  private readonly leadershipTransfer: LeadershipTransfer;
  private readonly nowMs: () => number;

  constructor(private readonly options: ElectionOptions) {
    super(options.log);
    const { clock, peers, replica, transport, watermark } = options;
    const nowMs = (this.nowMs = () => clock.steadyMs());
    const failureDetector = (this.failureDetector = new PeerFailureDetector(peers, nowMs));
    this.leaderView = new LeaderView({ ...options, failureDetector });
    this.leaseVoter = new LeaseVoter({
      ...options,
      nowMs,
      isFollower: () => this.role.kind === 'follower',
      processStartMs: peers.length > 0 ? options.processStartMs : undefined,
    });
    this.voteCollector = new LeaseVoteCollector({ peers, replica, transport, watermark, nowMs });
    this.leadershipTransfer = new LeadershipTransfer({ ...options, failureDetector, nowMs });
    this.campaignSchedule = new CampaignSchedule({ ...options, nowMs }, this.leaseVoter.earliestCampaignAtMs);
    const { leaderView, campaignSchedule } = this;
    this.announcer = new StatusAnnouncer({ ...options, leaderView, failureDetector, campaignSchedule });
    replica.onChange((change) => {
      this.leaseVoter.recordChange(change);
      if (change.key === LEADER_KEY) this.send({ kind: 'leaderKeyChanged' });
    });
    transport.onMessage((member, message) => this.send({ kind: 'peerMessage', member, message }));
  }

  /** Starts the periodic timers. Call this once. */
  start(): void {
    const tick = (): void => {
      this.send({ kind: 'tick' });
      this.options.clock.setTimer(this.tickIntervalMs(), tick);
    };
    tick();
    this.announcer.start();
  }

  /** Whether this controller still leads the given term. */
  isCurrentTerm(term: LeadershipTerm): boolean {
    return this.role.kind === 'leader' && this.role.term === term;
  }

  /** Gives up the leadership if this controller holds it. The controller then does not campaign for a while. */
  resign(): void {
    this.send({ kind: 'resign' });
  }

  protected receive(message: Message): void {
    switch (message.kind) {
      case 'tick':
        return this.onTick();
      case 'leaderKeyChanged':
        return this.onLeaderKeyChanged();
      case 'campaignEnded':
        return this.onCampaignEnded(message.campaign);
      case 'campaignFailed':
        return this.becomeFollower(STATE_UNAVAILABLE_AFTER_MS);
      case 'leaseRenewalAnswered':
        return this.onLeaseRenewalAnswered(message.leaseId, message.requestedAtMs, message.isAlive);
      case 'leaseRenewalFailed':
        if (this.role.kind === 'leader') this.role.lease.recordRenewalEnd();
        return;
      case 'peerMessage':
        return this.onPeerMessage(message.member, message.message);
      case 'resign':
        return this.onResign();
      default:
        assertNever(message);
    }
  }

  private tickIntervalMs(): number {
    if (this.role.kind !== 'leader') return CAMPAIGN_JITTER_MS;
    return this.options.storeClient.lastCallFailed ? LEASE_VOTE_REQUEST_INTERVAL_MS : LEADER_LEASE_RENEWAL_MS;
  }

  private onTick(): void {
    const { role } = this;
    if (role.kind === 'leader') {
      this.renewLeadership(role);
      this.transferLeadershipIfDue(role);
    } else if (role.kind === 'follower') {
      this.campaignIfDue();
    }
  }

  private onLeaderKeyChanged(): void {
    const { role } = this;
    const leaderKey = this.options.replica.get(LEADER_KEY);
    if (role.kind === 'leader') {
      if (leaderKey?.modRevision !== role.term.leaderKeyRevision)
        this.loseLeadership(role, 'leader key changed or deleted');
    } else if (role.kind === 'follower' && !leaderKey) {
      const delayMs = this.campaignSchedule.planAfterLeaderLoss();
      this.options.clock.setTimer(delayMs + 1, () => this.send({ kind: 'tick' }));
    }
  }

  private campaignIfDue(): void {
    const { replica, storeClient, member, delegatesCloudCalls } = this.options;
    if (!replica.isLoaded || !this.campaignSchedule.isCampaignDue) return;
    const leaderKey = replica.get(LEADER_KEY);
    if (leaderKey) {
      if (this.leaderView.getKnownLeader() === member) this.deleteOwnLeaderKey(leaderKey);
      return;
    }
    if (this.nowMs() < this.leaseVoter.earliestCampaignAtMs) return;
    this.role = CANDIDATE;
    void runCampaign(
      { storeClient, replica, member, delegatesCloudCalls, nowMs: this.nowMs },
      {
        onEnded: (campaign) => this.send({ kind: 'campaignEnded', campaign }),
        onFailed: (error) => {
          this.log.info({ err: error }, 'campaign failed');
          this.send({ kind: 'campaignFailed' });
        },
      },
    );
  }

  /**
   * Deletes a leader key that names this controller, which does not lead. The key was written by a former process of this
   * controller or by a campaign whose transaction was applied late. That process or campaign has certainly ended, so no
   * controller has to wait until the lease of the key expires.
   */
  private deleteOwnLeaderKey({ key, modRevision }: KeyValue): void {
    this.campaignSchedule.postponeBy(STATE_CALL_TIMEOUT_MS);
    void this.options.storeClient.compareAndSwap([{ key, modRevision }], [{ key, value: undefined }]);
  }

  private onCampaignEnded({
    leaseRequestedAtMs,
    leaseId,
    fencingToken,
    leaderValue,
    transactionResult,
  }: CampaignResult): void {
    const { storeClient, replica, callbacks } = this.options;
    const lease = new LeaderLease(storeClient, leaseId);
    if (transactionResult.outcome !== 'applied') {
      // A transaction with an unknown outcome may still be applied. No controller acts on it, and revoking the lease deletes
      // the leader's key.
      lease.release();
      this.becomeFollower(CAMPAIGN_JITTER_MS);
      return;
    }
    const authority = new LeadershipAuthority();
    authority.renew(leaseRequestedAtMs, LEADER_LEASE_TTL_MS);
    const term: LeadershipTerm = { fencingToken, leaderKeyRevision: transactionResult.revision, authority };
    this.role = { kind: 'leader', term, lease, electedAtMs: this.nowMs() };
    replica.applyOwnWrite(LEADER_KEY, leaderValue, transactionResult.revision);
    replica.applyOwnWrite(TERM_KEY, encodeTerm(fencingToken), transactionResult.revision);
    storeClient.setIsLeader(true);
    this.log.info({ term: fencingToken }, 'leadership acquired');
    callbacks.onElected(term);
  }

  private renewLeadership({ term, lease }: LeaderRole): void {
    const requestedAtMs = this.nowMs();
    lease.renew({
      onAnswered: (isAlive) =>
        this.send({ kind: 'leaseRenewalAnswered', leaseId: lease.id, requestedAtMs, isAlive }),
      onFailed: () => this.send({ kind: 'leaseRenewalFailed' }),
    });
    if (this.options.storeClient.lastCallFailed) this.voteCollector.requestVotes(term, requestedAtMs);
  }

  private onLeaseRenewalAnswered(leaseId: WireInt, requestedAtMs: number, isAlive: boolean): void {
    const { role } = this;
    if (role.kind !== 'leader' || role.lease.id !== leaseId) return;
    role.lease.recordRenewalEnd();
    if (isAlive) role.term.authority.renew(requestedAtMs, LEADER_LEASE_TTL_MS);
    else this.loseLeadership(role, 'lease expired');
  }

  private transferLeadershipIfDue(role: LeaderRole): void {
    if (!this.leadershipTransfer.findSuccessor(role.electedAtMs)) return;
    this.leadershipTransfer.recordTransfer();
    this.loseLeadership(role, 'stepped down in favor of a controller in a zone with more nodes');
    this.campaignSchedule.pauseAfterStepDown();
  }

  private onResign(): void {
    if (this.role.kind !== 'leader') return;
    this.loseLeadership(this.role, 'resigned');
    // The cause of the resignation may persist, so the other controllers campaign first.
    this.campaignSchedule.pauseAfterStepDown();
  }

  private loseLeadership({ term, lease }: LeaderRole, reason: string): void {
    const { storeClient, callbacks } = this.options;
    term.authority.revoke();
    storeClient.setIsLeader(false);
    this.role = FOLLOWER;
    this.voteCollector.abandonRound();
    this.log.info({ term: term.fencingToken, reason }, 'leadership lost');
    this.becomeFollower(CAMPAIGN_JITTER_MS);
    lease.release();
    callbacks.onLeadershipLost();
  }

  private becomeFollower(campaignPauseMs: number): void {
    this.role = FOLLOWER;
    this.campaignSchedule.postponeWithJitter(campaignPauseMs);
  }

  private onPeerMessage(member: string, message: PeerMessage): void {
    this.failureDetector.recordMessage(member);
    const term = this.role.kind === 'leader' ? this.role.term : undefined;
    switch (message.kind) {
      case 'status':
        return this.failureDetector.recordStatus(member, message);
      case 'leaseVoteRequest':
        return this.leaseVoter.handleRequest(member, message);
      case 'cancellations':
        return term && this.voteCollector.handleCancellations(member, message, term);
      case 'leaseVote':
        return term && this.voteCollector.handleVote(member, message, term);
      case 'counts':
      case 'relay':
      case 'relayed':
      case 'heartbeat':
        // Other components listen to the transport and handle this message. Here it only shows that its sender is alive.
        return;
      default:
        assertNever(message);
    }
  }
}
