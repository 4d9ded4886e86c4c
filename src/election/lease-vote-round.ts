/** Counts the responses of a single round of lease votes. This module reads no clock and does no input or output. */
import type { CancellationTransfer, LogOffset } from '../peers/peer-messages.js';

/**
 * A round in which a leader that the state store does not serve asks all other controllers for their votes and for the
 * cancellations that they know. The round detects when the votes and the cancellations are complete, in whatever order the
 * messages arrive.
 */
export class LeaseVoteRound {
  /** Names of the peers that have not granted their vote yet. */
  private readonly membersWithoutVote: Set<string>;
  /** Names of the peers of which not all cancellations have been merged yet. */
  private readonly membersWithMissingCancellations: Set<string>;
  /** Number of messages with cancellations that have arrived from each peer. */
  private readonly receivedMessageCounts = new Map<string, number>();
  /** The transfer that each peer announced with its vote. */
  private readonly announcedTransfers = new Map<string, CancellationTransfer>();

  constructor(
    /** Number of the round, which is unique within the process. */
    readonly id: number,
    /** Time on the steady clock, in milliseconds, at which the votes were requested and from which they count. */
    readonly requestedAtMs: number,
    members: readonly string[],
  ) {
    this.membersWithoutVote = new Set(members);
    this.membersWithMissingCancellations = new Set(members);
  }

  /** Records a granted vote. Returns true if it completes the votes of all peers. */
  recordVote(member: string): boolean {
    return this.membersWithoutVote.delete(member) && this.membersWithoutVote.size === 0;
  }

  /**
   * Records the transfer that a peer announced with its vote, or undefined if the peer cannot tell which cancellations the
   * leader lacks. Returns the end of the peer's log if all of its cancellations have arrived.
   */
  recordTransfer(member: string, transfer: CancellationTransfer | undefined): LogOffset | undefined {
    if (transfer) this.announcedTransfers.set(member, transfer);
    return this.findCompletedOffset(member);
  }

  /** Counts a message with cancellations. Returns the same as `recordTransfer`. */
  recordCancellations(member: string): LogOffset | undefined {
    this.receivedMessageCounts.set(member, (this.receivedMessageCounts.get(member) ?? 0) + 1);
    return this.findCompletedOffset(member);
  }

  /** Records that all cancellations of a peer have been merged. Returns true if this completes those of all peers. */
  recordCancellationsMerged(member: string): boolean {
    return (
      this.membersWithMissingCancellations.delete(member) && this.membersWithMissingCancellations.size === 0
    );
  }

  private findCompletedOffset(member: string): LogOffset | undefined {
    const transfer = this.announcedTransfers.get(member);
    if (!transfer || (this.receivedMessageCounts.get(member) ?? 0) < transfer.messageCount) return undefined;
    return transfer.endOffset;
  }
}
