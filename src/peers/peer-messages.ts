/**
 * The messages between controllers. The codec (peer-codec.ts) maps them to the wire format. Other versions may send fewer or
 * more fields.
 */
import type { KeyValue } from '../state/store-client.js';
import type { WireInt } from '../wire/json.js';

/** The position up to which a reader has read the cancellation log of a controller. */
export interface LogOffset {
  /** Number of the log. Each process writes a log of its own. */
  readonly logId: number;
  /** Sequence number of the last entry that has been read. */
  readonly sequence: number;
}

/** Describes the cancellations that a voter has sent before its vote. */
export interface CancellationTransfer {
  /** Number of messages that contain the cancellations. */
  readonly messageCount: number;
  /** Offset in the voter's log of a reader that has received all of these messages. */
  readonly endOffset: LogOffset;
}

/** Sent by the leader to all peers: the number of running tasks of each job, which is shown to users. */
export interface RunningCountsMessage {
  readonly kind: 'counts';
  /** Number of running tasks by job uid. */
  readonly running: Record<string, number>;
}

/**
 * Sent by the leader to all peers while the state store fails. It asks the receiver not to campaign for a while, and to
 * send the cancellations that the leader lacks. A former version sends neither the revision nor the offset.
 */
export interface LeaseVoteRequest {
  readonly kind: 'leaseVoteRequest';
  /** Number of the round of votes. */
  readonly round: number;
  /** The leader's term. */
  readonly term: number;
  /** Revision up to which the leader's replica is complete. */
  readonly sinceRevision?: WireInt | undefined;
  /** Offset up to which the leader has read the receiver's cancellation log. */
  readonly offset?: LogOffset | undefined;
}

/** Sent by a voter to the leader before the vote: jobs that are cancelled according to the voter's replica. */
export interface CancellationsMessage {
  readonly kind: 'cancellations';
  /** Number of the round of votes. */
  readonly round: number;
  /** The leader's term. */
  readonly term: number;
  /** The stored records of the cancelled jobs. */
  readonly cancelledJobs: readonly KeyValue[];
}

/** Sent by a voter to the leader in response to a vote request. */
export interface LeaseVote {
  readonly kind: 'leaseVote';
  /** Number of the round of votes. */
  readonly round: number;
  /** The leader's term. */
  readonly term: number;
  /** Whether the voter grants its vote, and therefore does not campaign for a while. */
  readonly isGranted: boolean;
  /** Describes the cancellations that the voter has sent. Undefined if the voter may know others that the leader lacks. */
  readonly transfer?: CancellationTransfer | undefined;
}

/** Sent regularly by each controller to all peers: the status of the sender. */
export interface StatusMessage {
  readonly kind: 'status';
  /** Whether the sender could lead: the state store serves the sender, and the sender did not step down recently. */
  readonly isEligible: boolean;
  /** The leader to which the sender relays heartbeats, or null if it reaches no leader. */
  readonly relayTarget: string | null;
}

/** Sent by a relay to the leader: the heartbeat of a worker. */
export interface RelayRequestMessage {
  readonly kind: 'relay';
  /** Number of the heartbeat, unique within the relay's process. */
  readonly id: number;
  /** Body of the worker's request. */
  readonly body: string;
}

/** Sent by the leader to a relay: the response to a relayed heartbeat. */
export interface RelayResponseMessage {
  readonly kind: 'relayed';
  /** Number of the heartbeat, from the relay's message. */
  readonly id: number;
  /** HTTP status of the response to the worker. */
  readonly status: number;
  /** Body of the response to the worker. */
  readonly body: string;
}

/** Sent regularly by each controller to all peers to show that the sender is alive. */
export interface PeerHeartbeat {
  readonly kind: 'heartbeat';
}

/** A message between controllers. */
export type PeerMessage =
  | RunningCountsMessage
  | LeaseVoteRequest
  | CancellationsMessage
  | LeaseVote
  | StatusMessage
  | RelayRequestMessage
  | RelayResponseMessage
  | PeerHeartbeat;
