/** The leader's side of lease votes. It requests votes while the state store fails, and counts the responses. */
import { LEASE_VOTE_DURATION_MS } from '../constants.js';
import type { Peer, PeerTransport } from '../peers/peer-transport.js';
import type { CancellationsMessage, LeaseVote, LogOffset } from '../peers/peer-messages.js';
import { decodeJob, isCancelledJob, isJobKey } from '../state/records.js';
import type { StateReplica } from '../state/state-replica.js';
import type { KeyValue } from '../state/store-client.js';
import type { CancellationWatermark } from './cancellation-watermark.js';
import type { LeadershipTerm } from './leadership-term.js';
import { LeaseVoteRound } from './lease-vote-round.js';

/** Dependencies of `LeaseVoteCollector`. */
export interface LeaseVoteCollectorDependencies {
  readonly peers: readonly Peer[];
  readonly replica: Pick<StateReplica, 'mergeIfNewer' | 'syncedRevision'>;
  readonly transport: Pick<PeerTransport, 'send'>;
  readonly watermark: CancellationWatermark;
  /** Returns the time of the steady clock in milliseconds. */
  readonly nowMs: () => number;
}

/**
 * Runs rounds of lease votes. A round in which every peer grants its vote extends the authority of the term. A round in which
 * every peer has also sent all its cancellations advances the cancellation watermark as well.
 */
export class LeaseVoteCollector {
  private lastRoundId = 0;
  private openRound: LeaseVoteRound | undefined;
  /** The offset up to which the cancellation log of each peer has been merged into the local replica. */
  private readonly mergedOffsets = new Map<string, LogOffset>();

  constructor(private readonly dependencies: LeaseVoteCollectorDependencies) {}

  /** Starts a round. The votes count from `requestedAtMs`, a time before the requests are sent. */
  requestVotes({ fencingToken: term }: LeadershipTerm, requestedAtMs: number): void {
    const roundId = ++this.lastRoundId;
    const members = this.dependencies.peers.map((peer) => peer.member);
    this.openRound = new LeaseVoteRound(roundId, requestedAtMs, members);
    const sinceRevision = this.dependencies.replica.syncedRevision;
    for (const member of members) {
      const offset = this.mergedOffsets.get(member);
      this.dependencies.transport.send(member, {
        kind: 'leaseVoteRequest',
        round: roundId,
        term,
        sinceRevision,
        offset,
      });
    }
  }

  /** Abandons the open round. Messages of the round that arrive later are ignored. */
  abandonRound(): void {
    this.openRound = undefined;
  }

  /** Counts the vote of a peer. */
  handleVote(member: string, vote: LeaseVote, term: LeadershipTerm): void {
    const round = this.findOpenRound(vote, term);
    if (!round || !vote.isGranted) return;
    if (round.recordVote(member))
      term.authority.extend(round.requestedAtMs, LEASE_VOTE_DURATION_MS, this.dependencies.nowMs());
    this.recordCancellationsMerged(round, member, round.recordTransfer(member, vote.transfer));
  }

  /** Merges the cancellations that a peer sends before its vote. A message with anything but cancelled jobs is ignored. */
  handleCancellations(member: string, message: CancellationsMessage, term: LeadershipTerm): void {
    const round = this.findOpenRound(message, term);
    if (!round || !message.cancelledJobs.every(isValidCancelledJob)) return;
    for (const keyValue of message.cancelledJobs) this.dependencies.replica.mergeIfNewer(keyValue);
    this.recordCancellationsMerged(round, member, round.recordCancellations(member));
  }

  /**
   * Returns the open round if the message belongs to it. The term is compared as well, because a late message to a former
   * process of this controller may contain the same round number.
   */
  private findOpenRound(
    message: CancellationsMessage | LeaseVote,
    term: LeadershipTerm,
  ): LeaseVoteRound | undefined {
    return term.fencingToken === message.term && this.openRound?.id === message.round
      ? this.openRound
      : undefined;
  }

  /**
   * Records that all cancellations of a peer up to an offset are in the local replica. Does nothing if the offset is
   * undefined, because some of the cancellations have not arrived yet.
   */
  private recordCancellationsMerged(
    round: LeaseVoteRound,
    member: string,
    offset: LogOffset | undefined,
  ): void {
    if (offset === undefined) return;
    this.mergedOffsets.set(member, offset);
    if (round.recordCancellationsMerged(member)) this.dependencies.watermark.advance(round.requestedAtMs);
  }
}

function isValidCancelledJob({ key, value }: KeyValue): boolean {
  return isJobKey(key) && isCancelledJob(value) && decodeJob(value) !== undefined;
}
