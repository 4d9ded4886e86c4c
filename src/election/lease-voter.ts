/** The followers' side of lease votes. It grants votes and sends the cancellations that the leader lacks. */
import {
  CANCELLATION_LOG_ID_RANGE,
  MAX_CLOCK_DRIFT_RATIO,
  KEY_VALUE_OVERHEAD_BYTES,
  LEASE_VOTE_MARGIN_MS,
  LEASE_VOTE_DURATION_MS,
  MAX_PEER_FRAME_BYTES,
  STATE_UNAVAILABLE_AFTER_MS,
  STATE_STORE_PROBE_TIMEOUT_MS,
} from '../constants.js';
import type { CancellationTransfer, LeaseVoteRequest } from '../peers/peer-messages.js';
import type { PeerTransport } from '../peers/peer-transport.js';
import { isCancelledJob, isJobKey, TERM_KEY } from '../state/records.js';
import type { StateReplica } from '../state/state-replica.js';
import type { KeyChange, StoreClient } from '../state/store-client.js';
import { decodeTerm } from '../state/term-record.js';
import { CancellationLog } from './cancellation-log.js';

/**
 * Ratio of the size of one message with cancellations to the size limit of a frame, if all jobs have the largest value that
 * the state store allows.
 */
const CANCELLATIONS_FRAME_SHARE = 1 / 4;

/** Dependencies of `LeaseVoter`. */
export interface LeaseVoterDependencies {
  readonly storeClient: Pick<StoreClient, 'lastCallFailed' | 'lastServedCallMs'>;
  readonly replica: Pick<StateReplica, 'get' | 'isLoaded' | 'linearizableRead'>;
  readonly transport: Pick<PeerTransport, 'send'>;
  /** Returns the time of the steady clock in milliseconds. */
  readonly nowMs: () => number;
  /** Returns a random number from 0 to below 1. */
  readonly random: () => number;
  /** Size limit of a value in the state store, in bytes. */
  readonly maxValueBytes: number;
  /** Returns whether this controller neither leads nor campaigns. */
  readonly isFollower: () => boolean;
  /**
   * Time on the steady clock, in milliseconds, at which this process started. Any former process of this controller had ended
   * by then. Undefined if there is no peer for which a former process could have voted.
   */
  readonly processStartMs: number | undefined;
}

/**
 * Votes for a leader that the state store does not serve. A controller that granted its vote does not campaign for a while.
 * It also sends the cancellations that the leader lacks.
 */
export class LeaseVoter {
  /** Time on the steady clock, in milliseconds, until which granted votes keep this controller from campaigning. */
  private grantedVotesEndAtMs: number;
  /** Start time of the unanswered probe of the state store, if any, in milliseconds on the steady clock. */
  private probeStartedAtMs: number | undefined;
  /** The cancelled jobs in the local replica. */
  private readonly cancellationLog: CancellationLog;
  private readonly jobsPerMessage: number;

  constructor(private readonly dependencies: LeaseVoterDependencies) {
    const { processStartMs, nowMs, random, maxValueBytes } = dependencies;
    // A restarted controller does not know how its former process voted. It waits as long as if that process had granted a
    // vote when this process started.
    this.grantedVotesEndAtMs = processStartMs === undefined ? nowMs() : computeVoteEndMs(processStartMs);
    this.cancellationLog = new CancellationLog(Math.floor(random() * CANCELLATION_LOG_ID_RANGE));
    const jobBytes = maxValueBytes + KEY_VALUE_OVERHEAD_BYTES;
    this.jobsPerMessage = Math.max(
      1,
      Math.floor((MAX_PEER_FRAME_BYTES * CANCELLATIONS_FRAME_SHARE) / jobBytes),
    );
  }

  /** Time on the steady clock, in milliseconds, before which this controller must not campaign. */
  get earliestCampaignAtMs(): number {
    return this.grantedVotesEndAtMs;
  }

  /** Handles a change of the local replica. Appends the key to the cancellation log if the key holds a cancelled job. */
  recordChange({ key, value, modRevision }: KeyChange): void {
    if (isJobKey(key) && isCancelledJob(value)) this.cancellationLog.append(key, modRevision);
  }

  /** Answers a vote request of a leader. */
  handleRequest(member: string, request: LeaseVoteRequest): void {
    const { round, term } = request;
    if (!this.shouldGrantVote(term)) {
      this.dependencies.transport.send(member, { kind: 'leaseVote', round, term, isGranted: false });
      return;
    }
    this.grantedVotesEndAtMs = Math.max(
      this.grantedVotesEndAtMs,
      computeVoteEndMs(this.dependencies.nowMs()),
    );
    const transfer = this.sendCancellations(member, request);
    this.dependencies.transport.send(member, { kind: 'leaseVote', round, term, isGranted: true, transfer });
  }

  /**
   * Sends the cancellations that the leader lacks. Returns undefined if this controller cannot tell which they are. A process
   * whose replica is not loaded may lack cancellations that its former process confirmed to users.
   */
  private sendCancellations(
    member: string,
    { round, term, sinceRevision, offset }: LeaseVoteRequest,
  ): CancellationTransfer | undefined {
    const { replica, transport } = this.dependencies;
    const keys =
      sinceRevision === undefined ? undefined : this.cancellationLog.listKeysAfter(offset, sinceRevision);
    if (!keys || !replica.isLoaded) return undefined;
    const jobs = keys.map((key) => replica.get(key)).filter((job) => job !== undefined);
    let messageCount = 0;
    for (let start = 0; start < jobs.length; start += this.jobsPerMessage, messageCount++) {
      const batch = jobs.slice(start, start + this.jobsPerMessage);
      transport.send(member, { kind: 'cancellations', round, term, cancelledJobs: batch });
    }
    return { messageCount, endOffset: this.cancellationLog.endOffset };
  }

  /**
   * Only a follower that the state store does not serve either may grant its vote, and not to a leader of a former term.
   * If the state store serves the follower, the leader alone is cut off and must step down.
   */
  private shouldGrantVote(term: number): boolean {
    const { storeClient, replica } = this.dependencies;
    if (!this.dependencies.isFollower()) return false;
    if (decodeTerm(replica.get(TERM_KEY)?.value) > term) return false;
    if (storeClient.lastCallFailed) return true;
    if (this.dependencies.nowMs() - storeClient.lastServedCallMs <= STATE_UNAVAILABLE_AFTER_MS) return false;
    return this.isProbeOverdue();
  }

  /**
   * Whether a probe of the state store has been unanswered for too long. Starts a probe if none is in progress. The probe is
   * needed because a long time without a response may only mean that the watch had no changes to report.
   */
  private isProbeOverdue(): boolean {
    const nowMs = this.dependencies.nowMs();
    if (this.probeStartedAtMs === undefined) {
      this.probeStartedAtMs = nowMs;
      const endProbe = (): void => {
        this.probeStartedAtMs = undefined;
      };
      this.dependencies.replica.linearizableRead().then(endProbe, endProbe);
    }
    return nowMs - this.probeStartedAtMs > STATE_STORE_PROBE_TIMEOUT_MS;
  }
}

/** Returns the time at which a vote granted at `grantedAtMs` has certainly ended, also by the clock of the leader. */
function computeVoteEndMs(grantedAtMs: number): number {
  return grantedAtMs + LEASE_VOTE_DURATION_MS * (1 + MAX_CLOCK_DRIFT_RATIO) + LEASE_VOTE_MARGIN_MS;
}
