/**
 * Encodes and decodes the messages between controllers. Only this module knows the field names and values of the wire format.
 * Different versions run side by side during a rolling upgrade, so the wire format must not change. This includes whether a
 * frame contains a key that has no value.
 */
import { assertNever } from '@pumicehinge/runtime';
import type { KeyValue } from '../state/store-client.js';
import { isJsonObject, isWireInt } from '../wire/json.js';
import type {
  CancellationsMessage,
  CancellationTransfer,
  LeaseVote,
  LeaseVoteRequest,
  LogOffset,
  PeerMessage,
  RunningCountsMessage,
} from './peer-messages.js';

type Frame = Record<string, unknown>;

/** Encodes a message in the wire format. */
export function encodePeerMessage(message: PeerMessage): unknown {
  switch (message.kind) {
    case 'counts':
    case 'relay':
    case 'relayed':
      // The wire format of these messages is the same. They are not copied, because relayed heartbeats are frequent.
      return message;
    case 'heartbeat':
      return { kind: 'beat' };
    case 'status':
      return { kind: 'able', able: message.isEligible, relays: message.relayTarget };
    case 'leaseVoteRequest':
      return encodeLeaseVoteRequest(message);
    case 'cancellations':
      return encodeCancellations(message);
    case 'leaseVote':
      return encodeLeaseVote(message);
    default:
      return assertNever(message);
  }
}

function encodeLeaseVoteRequest(request: LeaseVoteRequest): Frame {
  const { round, term, sinceRevision, offset } = request;
  return {
    kind: 'ask',
    id: round,
    term,
    ...('sinceRevision' in request ? { since: sinceRevision } : {}),
    ...('offset' in request ? { read: offset && encodeOffset(offset) } : {}),
  };
}

function encodeCancellations({ round, term, cancelledJobs }: CancellationsMessage): Frame {
  const rows = cancelledJobs.map(({ key, value, modRevision }) => ({ key, value, stamp: modRevision }));
  return { kind: 'cancellations', id: round, term, rows };
}

function encodeLeaseVote(vote: LeaseVote): Frame {
  const { round, term, isGranted, transfer } = vote;
  return {
    kind: 'promise',
    id: round,
    term,
    given: isGranted,
    ...('transfer' in vote ? { informs: transfer && encodeTransfer(transfer) } : {}),
  };
}

function encodeTransfer({ messageCount, endOffset }: CancellationTransfer): Frame {
  return { parts: messageCount, at: encodeOffset(endOffset) };
}

function encodeOffset({ logId, sequence }: LogOffset): Frame {
  return { log: logId, seq: sequence };
}

/**
 * Decodes an unpacked frame. Returns undefined if it is not a known message. Such frames are ignored, because other versions
 * may send them. Unknown fields are ignored too, and nothing is concluded from a missing field.
 */
export function decodePeerMessage(frame: unknown): PeerMessage | undefined {
  if (!isJsonObject(frame)) return undefined;
  switch (frame.kind) {
    case 'beat':
      return { kind: 'heartbeat' };
    case 'counts':
      return decodeRunningCounts(frame);
    case 'able':
      return decodeStatus(frame);
    case 'relay':
    case 'relayed':
      return decodeRelay(frame);
    case 'ask':
    case 'cancellations':
    case 'promise':
      return decodeVoteRoundMessage(frame);
    default:
      return undefined;
  }
}

function decodeRunningCounts({ running }: Frame): RunningCountsMessage | undefined {
  if (!isJsonObject(running)) return undefined;
  const counts = Object.entries(running).filter((entry): entry is [string, number] =>
    isNonNegativeInteger(entry[1]),
  );
  return { kind: 'counts', running: Object.fromEntries(counts) };
}

function decodeStatus({ able, relays }: Frame): PeerMessage | undefined {
  if (typeof able !== 'boolean') return undefined;
  return { kind: 'status', isEligible: able, relayTarget: typeof relays === 'string' ? relays : null };
}

function decodeRelay({ kind, id, status, body }: Frame): PeerMessage | undefined {
  if (!isNonNegativeInteger(id) || typeof body !== 'string') return undefined;
  if (kind === 'relay') return { kind, id, body };
  return isNonNegativeInteger(status) ? { kind: 'relayed', id, status, body } : undefined;
}

function decodeVoteRoundMessage(frame: Frame): PeerMessage | undefined {
  const { kind, id: round, term } = frame;
  if (!isNonNegativeInteger(round) || !isNonNegativeInteger(term)) return undefined;
  if (kind === 'ask') {
    const sinceRevision = isWireInt(frame.since) ? frame.since : undefined;
    return { kind: 'leaseVoteRequest', round, term, sinceRevision, offset: decodeOffset(frame.read) };
  }
  if (kind === 'cancellations') {
    const cancelledJobs = decodeKeyValues(frame.rows);
    return cancelledJobs && { kind, round, term, cancelledJobs };
  }
  if (typeof frame.given !== 'boolean') return undefined;
  const transfer = decodeTransfer(frame.informs);
  return { kind: 'leaseVote', round, term, isGranted: frame.given, transfer };
}

function decodeTransfer(value: unknown): CancellationTransfer | undefined {
  if (!isJsonObject(value)) return undefined;
  const endOffset = decodeOffset(value.at);
  return endOffset && isNonNegativeInteger(value.parts)
    ? { messageCount: value.parts, endOffset }
    : undefined;
}

function decodeOffset(value: unknown): LogOffset | undefined {
  if (!isJsonObject(value) || !isNonNegativeInteger(value.log) || !isNonNegativeInteger(value.seq))
    return undefined;
  return { logId: value.log, sequence: value.seq };
}

/** Decodes a list of key-values. Returns undefined if any element is malformed. */
function decodeKeyValues(values: unknown): KeyValue[] | undefined {
  if (!Array.isArray(values)) return undefined;
  const keyValues = values.map(decodeKeyValue);
  return keyValues.every((keyValue) => keyValue !== undefined) ? keyValues : undefined;
}

function decodeKeyValue(value: unknown): KeyValue | undefined {
  if (!isJsonObject(value) || typeof value.key !== 'string' || !isWireInt(value.stamp)) return undefined;
  return { key: value.key, value: value.value, modRevision: value.stamp };
}

function isNonNegativeInteger(value: unknown): value is number {
  return typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;
}
