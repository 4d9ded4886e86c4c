/**
 * The stored form of intents. The stored keys and values never change. They were chosen by earlier versions, which
 * called an intent an order. This module maps them to the names of the code.
 */
import type { Intent, IntentBase, IntentId, IntentState, LaunchIntent, LaunchOutcome } from './intents.js';
import { isNonEmptyStringArray, isNonNegativeInteger, isNonEmptyString, isObject } from './stored-values.js';

/** Common prefix of the keys of all intents. */
export const INTENT_KEY_PREFIX = 'ph/duty-order/';

/** Version of the stored form. A reader ignores intents of any other version. */
const INTENT_FORMAT_VERSION = 1;

const STORED_STATES: Readonly<Record<IntentState, string>> = {
  requested: 'ordered',
  committed: 'intended',
  completed: 'done',
};

const STATES_BY_STORED_NAME: ReadonlyMap<unknown, IntentState> = new Map([
  [STORED_STATES.requested, 'requested'],
  [STORED_STATES.committed, 'committed'],
  [STORED_STATES.completed, 'completed'],
]);

/** The key of an intent. */
export const intentKey = ({ term, sequence }: IntentId): string => `${INTENT_KEY_PREFIX}${term}-${sequence}`;

/** Encodes the stored value of an intent. */
export function encodeIntent(intent: Intent): unknown {
  const commonFields = {
    v: INTENT_FORMAT_VERSION,
    d: intent.role,
    s: STORED_STATES[intent.state],
    t: intent.id.term,
    q: intent.id.sequence,
    h: intent.fencingToken,
  };
  if (intent.role !== 'rent') return { ...commonFields, m: intent.nodeNames };
  const { type, zone, spot } = intent.offering;
  const outcome = intent.outcome ? encodeOutcome(intent.outcome) : {};
  return {
    ...commonFields,
    r: intent.requestName,
    o: [type, zone, spot ? 1 : 0],
    n: intent.nodeCount,
    ...outcome,
  };
}

const encodeOutcome = (outcome: LaunchOutcome): object =>
  'names' in outcome ? { m: outcome.names } : { x: outcome.refusalReason };

/**
 * Decodes a stored intent. Returns undefined if the value is not an intent, is stored under the key of another one, or
 * has an unknown version.
 */
export function decodeIntent(key: string, value: unknown): Intent | undefined {
  if (!isObject(value) || value.v !== INTENT_FORMAT_VERSION) return undefined;
  const { d: role, t: term, q: sequence, h: fencingToken } = value;
  const state = STATES_BY_STORED_NAME.get(value.s);
  if (
    !state ||
    !isNonNegativeInteger(term) ||
    !isNonNegativeInteger(sequence) ||
    !isNonNegativeInteger(fencingToken)
  )
    return undefined;
  const commonFields = { id: { term, sequence }, state, fencingToken };
  if (intentKey(commonFields.id) !== key) return undefined;
  if (role === 'rent') return decodeLaunchIntent(commonFields, value);
  if (role !== 'return' && role !== 'reclaim') return undefined;
  return isNonEmptyStringArray(value.m) ? { ...commonFields, role, nodeNames: value.m } : undefined;
}

function decodeLaunchIntent(
  commonFields: Omit<IntentBase, 'role'>,
  value: Record<string, unknown>,
): LaunchIntent | undefined {
  const { r: requestName, o: offering, n: nodeCount } = value;
  if (!isNonEmptyString(requestName) || !isNonNegativeInteger(nodeCount) || !Array.isArray(offering))
    return undefined;
  const [type, zone, spot] = offering as unknown[];
  if (!isNonEmptyString(type) || !isNonEmptyString(zone)) return undefined;
  const outcome = decodeOutcome(value);
  if (commonFields.state === 'completed' && !outcome) return undefined;
  return {
    ...commonFields,
    role: 'rent',
    requestName,
    offering: { type, zone, spot: spot === 1 },
    nodeCount,
    outcome,
  };
}

function decodeOutcome({ m: names, x: refusalReason }: Record<string, unknown>): LaunchOutcome | undefined {
  if (isNonEmptyStringArray(names)) return { names };
  return refusalReason === 'no capacity' || refusalReason === 'trouble' ? { refusalReason } : undefined;
}
