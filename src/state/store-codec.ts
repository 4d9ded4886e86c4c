/**
 * The wire format of the state store: paths, request bodies and responses. No other module depends on its field names,
 * except for the size estimate in write-batch.ts. In the wire format, `stamp` is the `modRevision` of a key, `epoch` is
 * the revision of the store, and `hold` is a lease.
 */
import type { HttpResponse } from '../http/message.js';
import { formatJson, isJsonObject, isWireInt, parseJson, type WireInt } from '../wire/json.js';
import type {
  Condition,
  KeyChange,
  KeyChanges,
  KeyPage,
  KeyValue,
  Operation,
  TransactionResult,
} from './key-value.js';
import { MalformedResponseError } from './store-error.js';

/** Path to which transactions are posted. */
export const TRANSACTION_PATH = '/multi';
/** Path at which leases are granted. */
export const LEASES_PATH = '/leases';

/** Returns the path of a lease. */
export const leasePath = (leaseId: WireInt): string => `${LEASES_PATH}/${leaseId}`;

/** Returns the path at which a lease is renewed. */
export const keepAlivePath = (leaseId: WireInt): string => `${leasePath(leaseId)}/touch`;

/** Returns the request target that lists at most `limit` keys with a prefix, starting after `afterKey`. */
export function listTarget(prefix: string, afterKey: string | undefined, limit: number): string {
  const sinceParameter = afterKey === undefined ? '' : `&since=${afterKey}`;
  return `/keys?starts=${prefix}${sinceParameter}&page=${limit}`;
}

/** Returns the request target that reads the changes after a revision. The store waits up to `waitMs` for a change. */
export function watchTarget(prefix: string, revision: WireInt, waitMs: number): string {
  return `/follow?starts=${prefix}&since=${revision}&holdMs=${waitMs}`;
}

/** Encodes the request for a lease that expires `ttlMs` after its last renewal. */
export const encodeLeaseRequest = (ttlMs: number): string => formatJson({ ttlMs });

/** Encodes a transaction. */
export function encodeTransaction(
  conditions: readonly Condition[],
  operations: readonly Operation[],
): string {
  return formatJson({
    if: conditions.map(({ key, modRevision }) => ({ key, stamp: modRevision })),
    apply: operations.map(encodeOperation),
  });
}

function encodeOperation({ key, value, leaseId }: Operation): unknown {
  if (value === undefined) return { drop: key };
  return { put: key, v: value, ...(leaseId === undefined ? {} : { hold: leaseId }) };
}

/** Decodes a page of keys. Throws a MalformedResponseError if a revision is missing or malformed. */
export function decodePage(responseBody: string): KeyPage {
  const body = parseBody(responseBody);
  const rows = Array.isArray(body.rows) ? body.rows : [];
  return {
    keyValues: rows.filter(isJsonObject).map(decodeKeyValue),
    hasMore: body.more === true,
    revision: requireWireInt(body, 'epoch'),
  };
}

function decodeKeyValue(row: Record<string, unknown>): KeyValue {
  return { key: String(row.key), value: row.v, modRevision: requireWireInt(row, 'stamp') };
}

/** Decodes the changes that a watch reports. Throws a MalformedResponseError if a revision is missing or malformed. */
export function decodeChanges(responseBody: string): KeyChanges {
  const body = parseBody(responseBody);
  const log = Array.isArray(body.log) ? body.log : [];
  return { revision: requireWireInt(body, 'epoch'), changes: log.filter(isJsonObject).map(decodeChange) };
}

function decodeChange(entry: Record<string, unknown>): KeyChange {
  const isPut = typeof entry.put === 'string';
  return {
    key: String(isPut ? entry.put : entry.drop),
    value: isPut ? entry.v : undefined,
    modRevision: requireWireInt(entry, 'stamp'),
  };
}

/** Decodes the id of a granted lease. Throws a MalformedResponseError if it is missing or malformed. */
export const decodeLease = (responseBody: string): WireInt => requireWireInt(parseBody(responseBody), 'hold');

/** Decodes the result of a transaction. Throws a MalformedResponseError if the revision is missing or malformed. */
export function decodeTransactionResult({ status, body: responseBody }: HttpResponse): TransactionResult {
  const body = parseBody(responseBody);
  switch (status) {
    case 200:
      return { outcome: 'applied', revision: requireWireInt(body, 'epoch') };
    case 409: {
      const failedKeys = Array.isArray(body.failed) ? body.failed.map(String) : [];
      return { outcome: 'conflict', failedKeys, revision: requireWireInt(body, 'epoch') };
    }
    default:
      return { outcome: 'refused', status };
  }
}

function requireWireInt(fields: Record<string, unknown>, field: string): WireInt {
  const value = fields[field];
  if (!isWireInt(value)) throw new MalformedResponseError(field);
  return value;
}

/** Returns the fields of a response. The result is empty if the response is not a JSON object. */
function parseBody(text: string): Record<string, unknown> {
  try {
    const body = parseJson(text);
    return isJsonObject(body) ? body : {};
  } catch {
    return {};
  }
}
