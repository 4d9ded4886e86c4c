/**
 * The safety rules for leases and heartbeats, as pure functions. Every rule that infers from a lease or a heartbeat
 * whether a task has certainly ended belongs here.
 */
import { MAX_CLOCK_DRIFT_RATIO, LEASE_EXPIRY_MARGIN_MS } from '../constants.js';
import type { WireInt } from '../wire/json.js';

/**
 * Returns the leader's steady time in ms at which a lease that was extended by a response at `responseMs` has
 * certainly expired on the worker.
 */
export function computeLeaseExpiryMs(responseMs: number, leaseS: number): number {
  // The worker's lease starts when it sends the heartbeat, which is before the response. The worker's clock may run
  // slower than the leader's.
  return responseMs + leaseS * 1000 * (1 + MAX_CLOCK_DRIFT_RATIO) + LEASE_EXPIRY_MARGIN_MS;
}

/** The position of a worker's message in the order of all its messages. */
export interface HeartbeatVersion {
  /** Number that grows each time the worker's lease expires. A restarted worker counts from the start again. */
  readonly incarnation: WireInt;
  /** Number that grows with each message of the incarnation. */
  readonly sequence: WireInt;
}

/** Whether a worker's message is newer than the newest one seen so far. Messages may arrive late and out of order. */
export function isNewerHeartbeat(message: HeartbeatVersion, newestSeen: HeartbeatVersion): boolean {
  if (message.incarnation !== newestSeen.incarnation) return message.incarnation > newestSeen.incarnation;
  return message.sequence > newestSeen.sequence;
}

/** A worker's response to a direct call of this term. */
export interface DirectCallResponse extends HeartbeatVersion {
  /** The highest fencing token that the worker has seen. */
  readonly fencingToken: WireInt;
}

/**
 * Whether the response to a direct call proves that a new worker has replaced the one that was known when the call
 * began. The known worker had seen the fencing token of the term and gives each later message a larger number, and a
 * response is made after its call began.
 */
export function provesWorkerReplacement(
  response: DirectCallResponse,
  knownAtCall: HeartbeatVersion,
  termFencingToken: number,
): boolean {
  return response.fencingToken < termFencingToken || !isNewerHeartbeat(response, knownAtCall);
}

/** What the leader knows about the node that sent a heartbeat. */
export interface KnownNode {
  /** Whether the node was deleted recently. */
  readonly isDeleted: boolean;
  /** Whether an earlier heartbeat of the node showed the fencing token of this term. */
  readonly isReconciled: boolean;
  /** Whether a new worker has replaced the one that was known, so that the order of the node's messages is unknown. */
  readonly isWorkerReplaced: boolean;
}

/**
 * What a heartbeat proves about its worker.
 *
 * - `current`: The worker has received a response of this term.
 * - `firstContact`: The worker does not know the fencing token of this term, so the heartbeat may be an old copy. The
 *   response shows the token to the worker, and the leader concludes nothing about the worker's tasks.
 * - `stale`: The heartbeat belongs to a deleted node or to one whose worker was replaced, or is older than what the node has already shown, or comes from
 *   a worker that obeys a later term. Such a worker would ignore the response, although its lease would count as
 *   extended here.
 */
export type HeartbeatFreshness = 'current' | 'firstContact' | 'stale';

/** Classifies a heartbeat by the fencing token that it shows and by what is known about its node. */
export function classifyHeartbeat(
  fencingToken: WireInt,
  termFencingToken: number,
  node: KnownNode,
): HeartbeatFreshness {
  if (node.isDeleted || node.isWorkerReplaced || fencingToken > termFencingToken) return 'stale';
  if (fencingToken === termFencingToken) return 'current';
  return node.isReconciled ? 'stale' : 'firstContact';
}

/** A heartbeat that may belong to a new incarnation, and what is known of the incarnation before it. */
export interface IncarnationChange {
  readonly heartbeat: HeartbeatVersion;
  readonly lastKnown: HeartbeatVersion;
  /** Steady time in ms of the last response to the known incarnation. */
  readonly lastResponseMs: number;
  readonly nowMs: number;
  readonly leaseS: number;
}

/**
 * Whether the end of an incarnation shows that responses do not reach the worker. This is the case if its lease
 * expired although a heartbeat was answered less than half a lease duration ago.
 */
export function hasExpiredDespiteResponse(change: IncarnationChange): boolean {
  const { heartbeat, lastKnown, lastResponseMs, nowMs, leaseS } = change;
  return (
    lastKnown.incarnation > 0 &&
    heartbeat.incarnation > lastKnown.incarnation &&
    nowMs - lastResponseMs < (leaseS * 1000) / 2
  );
}

/** The message that contained a worker's list of tasks: a heartbeat, or the response to a command. */
export type HeartbeatSource = 'heartbeat' | 'commandResponse';

/** An attempt that a newer list of its worker does not contain. */
export interface UnlistedAttempt {
  /** `listed` means that the worker has listed the attempt before. */
  readonly state: 'planned' | 'sent' | 'listed';
  /** Sequence number of the worker's newest known message when the start command was last sent. */
  readonly startSentSequence: WireInt;
  readonly source: HeartbeatSource;
  /** Sequence number of the message that contained the list. */
  readonly listSequence: WireInt;
}

/**
 * What the absence of an attempt from a list proves.
 *
 * - `unknown`: The absence proves nothing.
 * - `notExecuted`: The start command was not executed and never will be.
 * - `gone`: The attempt has ended.
 */
export type UnlistedVerdict = 'unknown' | 'notExecuted' | 'gone';

/**
 * Classifies an attempt that is missing from a newer list. A worker has only one heartbeat in flight and ignores late
 * responses, so by its next heartbeat the start command was executed or never will be. The response to a direct
 * call does not prove this: it can overtake the response to a heartbeat, and the start command in that response is
 * then executed later.
 */
export function classifyUnlistedAttempt(attempt: UnlistedAttempt): UnlistedVerdict {
  const { state, source, listSequence, startSentSequence } = attempt;
  if (state === 'listed') return 'gone';
  if (state === 'planned' || source !== 'heartbeat' || listSequence <= startSentSequence) return 'unknown';
  return 'notExecuted';
}
