import type { RefusalReason, Revision } from './ports.js';

/** Names and forms of what the duties keep in the state service; the only module that knows them. */

export const DUTIES = ['rent', 'return', 'reclaim', 'cleanup'] as const;
/**
 * `rent`: rents machines. `return`: gives back machines that nobody needs. `reclaim`: takes back machines that are lost,
 * faulty or unexpected, with whatever is on them. `cleanup`: deletes records that nobody reads any more.
 */
export type Duty = (typeof DUTIES)[number];
export type GiveBackDuty = 'return' | 'reclaim';
export type OrderDuty = 'rent' | GiveBackDuty;

const HOLDERS = 'ph/duty-holder/';
const TOKENS = 'ph/duty-token/';
export const ORDERS = 'ph/duty-order/';

export const holderKey = (duty: Duty): string => HOLDERS + duty;
export const tokenKey = (duty: Duty): string => TOKENS + duty;

/** Version of the form of orders; a reader that knows no higher one leaves those alone. */
const ORDER_VERSION = 1;

/** A machine type in a zone, spot or ordinary. */
export interface Offer {
  type: string;
  zone: string;
  spot: boolean;
}

/** Who holds a duty. The key hangs on a lease; the token outlives it in a key of its own. */
export interface HolderRecord {
  member: string;
  /** Names one lease of one process: another process of the same controller has another one. */
  session: string;
  /** Fencing token; only rises. */
  token: number;
}

/** Names an order for ever: terms are never used again, nor numbers within one. */
export interface OrderId {
  term: number;
  sequence: number;
}

/**
 * `ordered`: the leader wants it; void once its term is over. `intended`: a holder has recorded that it is carried out;
 * from then on it can't be taken back. `done`: carried out for sure, or refused by the cloud.
 */
export type OrderState = 'ordered' | 'intended' | 'done';

interface OrderBase {
  id: OrderId;
  state: OrderState;
  /** Token of the holder that wrote it last; 0: only the leader did. */
  token: number;
}

export interface RentOrder extends OrderBase {
  duty: 'rent';
  /** Name of the request to the cloud; never used for anything else. */
  name: string;
  offer: Offer;
  count: number;
  /** Set once it is done. */
  outcome?: RentOutcome;
}

export type RentOutcome = { names: string[] } | { refused: RefusalReason };

export interface GiveBackOrder extends OrderBase {
  duty: GiveBackDuty;
  names: string[];
}

export type Order = RentOrder | GiveBackOrder;

export const orderKey = ({ term, sequence }: OrderId): string => `${ORDERS}${term}-${sequence}`;

export const compareIds = (a: OrderId, b: OrderId): number => a.term - b.term || a.sequence - b.sequence;

const isObject = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const isCount = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) >= 0;

const isName = (value: unknown): value is string => typeof value === 'string' && value.length > 0;

const areNames = (value: unknown): value is string[] => Array.isArray(value) && value.every(isName);

export const encodeHolder = ({ member, session, token }: HolderRecord): unknown => ({
  member,
  session,
  token,
});

/** Undefined for what is no holder's record: it is not believed. */
export function decodeHolder(value: unknown): HolderRecord | undefined {
  if (!isObject(value)) return undefined;
  const { member, session, token } = value;
  return isName(member) && isName(session) && isCount(token) ? { member, session, token } : undefined;
}

export const encodeToken = (token: number): unknown => ({ token });

export function decodeToken(value: unknown): number | undefined {
  return isObject(value) && isCount(value.token) ? value.token : undefined;
}

/**
 * The token after the last one. One that can't be read is passed by the revision of its key: each token took a revision
 * of its own, so no token given so far is higher than that.
 */
export function nextToken(row: { value: unknown; stamp: Revision } | undefined): number {
  if (!row) return 1;
  return (decodeToken(row.value) ?? Number(row.stamp)) + 1;
}

const STATES: readonly OrderState[] = ['ordered', 'intended', 'done'];

export function encodeOrder(order: Order): unknown {
  const base = { v: ORDER_VERSION, d: order.duty, s: order.state, t: order.id.term, q: order.id.sequence };
  if (order.duty !== 'rent') return { ...base, h: order.token, m: order.names };
  const { type, zone, spot } = order.offer;
  const outcome = order.outcome ? encodeOutcome(order.outcome) : {};
  const rent = { r: order.name, o: [type, zone, spot ? 1 : 0], n: order.count };
  return { ...base, h: order.token, ...rent, ...outcome };
}

const encodeOutcome = (outcome: RentOutcome): object =>
  'names' in outcome ? { m: outcome.names } : { x: outcome.refused };

function decodeOutcome({ m, x }: Record<string, unknown>): RentOutcome | undefined {
  if (areNames(m)) return { names: m };
  return x === 'no capacity' || x === 'trouble' ? { refused: x } : undefined;
}

function decodeRent(base: OrderBase, value: Record<string, unknown>): RentOrder | undefined {
  const { r: name, o: offer, n: count } = value;
  if (!isName(name) || !isCount(count) || !Array.isArray(offer)) return undefined;
  const [type, zone, spot] = offer as unknown[];
  if (!isName(type) || !isName(zone)) return undefined;
  const outcome = decodeOutcome(value);
  if (base.state === 'done' && !outcome) return undefined;
  return { ...base, duty: 'rent', name, offer: { type, zone, spot: spot === 1 }, count, outcome };
}

/** Undefined for what is no order, or of a later form: it is not believed, and nothing is done about it. */
export function decodeOrder(key: string, value: unknown): Order | undefined {
  if (!isObject(value) || value.v !== ORDER_VERSION) return undefined;
  const { d: duty, t: term, q: sequence, h: token } = value;
  const state = STATES.find((each) => each === value.s);
  if (!state || !isCount(term) || !isCount(sequence) || !isCount(token)) return undefined;
  const base = { id: { term, sequence }, state, token };
  if (orderKey(base.id) !== key) return undefined;
  if (duty === 'rent') return decodeRent(base, value);
  if (duty !== 'return' && duty !== 'reclaim') return undefined;
  return areNames(value.m) ? { ...base, duty, names: value.m } : undefined;
}
