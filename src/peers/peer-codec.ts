/**
 * Encodes and decodes the messages between controllers. Only this module knows the field names and values of their wire
 * format. Different versions run side by side during a rolling upgrade, so the wire format must not change. This includes
 * whether a field without a value is omitted or sent as undefined.
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

/** An unpacked message with the field names and values of the wire format. */
type WireMessage = Record<string, unknown>;

/** Encodes a message in the wire format. */
export function encodePeerMessage(message: PeerMessage): unknown {
  switch (message.kind) {
    case 'counts':
    case 'relay':
    case 'relayed':
      // These messages are already in the wire format. They are not copied, because relayed heartbeats are frequent.
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

function encodeLeaseVoteRequest(request: LeaseVoteRequest): WireMessage {
  const { round, term, sinceRevision, offset } = request;
  return {
    kind: 'ask',
    id: round,
    term,
    ...('sinceRevision' in request ? { since: sinceRevision } : {}),
    ...('offset' in request ? { read: offset && encodeOffset(offset) } : {}),
  };
}

function encodeCancellations({ round, term, cancelledJobs }: CancellationsMessage): WireMessage {
  const rows = cancelledJobs.map(({ key, value, modRevision }) => ({ key, value, stamp: modRevision }));
  return { kind: 'cancellations', id: round, term, rows };
}

function encodeLeaseVote(vote: LeaseVote): WireMessage {
  const { round, term, isGranted, transfer } = vote;
  return {
    kind: 'promise',
    id: round,
    term,
    given: isGranted,
    ...('transfer' in vote ? { informs: transfer && encodeTransfer(transfer) } : {}),
  };
}

function encodeTransfer({ messageCount, endOffset }: CancellationTransfer): WireMessage {
  return { parts: messageCount, at: encodeOffset(endOffset) };
}

function encodeOffset({ logId, sequence }: LogOffset): WireMessage {
  return { log: logId, seq: sequence };
}

/**
 * Decodes an unpacked message. Returns undefined if its kind is unknown or a required field is missing or malformed. The
 * caller ignores such messages, because other versions may send them. Unknown fields are ignored too, and optional fields may
 * be missing.
 */
export function decodePeerMessage(wireMessage: unknown): PeerMessage | undefined {
  if (!isJsonObject(wireMessage)) return undefined;
  switch (wireMessage.kind) {
    case 'beat':
      return { kind: 'heartbeat' };
    case 'counts':
      return decodeRunningCounts(wireMessage);
    case 'able':
      return decodeStatus(wireMessage);
    case 'relay':
    case 'relayed':
      return decodeRelay(wireMessage);
    case 'ask':
    case 'cancellations':
    case 'promise':
      return decodeVoteRoundMessage(wireMessage);
    default:
      return undefined;
  }
}

function decodeRunningCounts({ running }: WireMessage): RunningCountsMessage | undefined {
  if (!isJsonObject(running)) return undefined;
  const counts = Object.entries(running).filter((entry): entry is [string, number] =>
    isNonNegativeInteger(entry[1]),
  );
  return { kind: 'counts', running: Object.fromEntries(counts) };
}

function decodeStatus({ able, relays }: WireMessage): PeerMessage | undefined {
  if (typeof able !== 'boolean') return undefined;
  return { kind: 'status', isEligible: able, relayTarget: typeof relays === 'string' ? relays : null };
}

function decodeRelay({ kind, id, status, body }: WireMessage): PeerMessage | undefined {
  if (!isNonNegativeInteger(id) || typeof body !== 'string') return undefined;
  if (kind === 'relay') return { kind, id, body };
  return isNonNegativeInteger(status) ? { kind: 'relayed', id, status, body } : undefined;
}

function decodeVoteRoundMessage(wireMessage: WireMessage): PeerMessage | undefined {
  const { kind, id: round, term } = wireMessage;
  if (!isNonNegativeInteger(round) || !isNonNegativeInteger(term)) return undefined;
  if (kind === 'ask') {
    const sinceRevision = isWireInt(wireMessage.since) ? wireMessage.since : undefined;
    return { kind: 'leaseVoteRequest', round, term, sinceRevision, offset: decodeOffset(wireMessage.read) };
  }
  if (kind === 'cancellations') {
    const cancelledJobs = decodeKeyValues(wireMessage.rows);
    return cancelledJobs && { kind, round, term, cancelledJobs };
  }
  if (typeof wireMessage.given !== 'boolean') return undefined;
  const transfer = decodeTransfer(wireMessage.informs);
  return { kind: 'leaseVote', round, term, isGranted: wireMessage.given, transfer };
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
