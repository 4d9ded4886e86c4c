/**
 * The stored form of a role's holder. The holder's key is attached to a lease. The fencing token has a key of its own,
 * which outlives the lease. The stored keys and field names were chosen by earlier versions and never change.
 */
import type { Revision } from './ports.js';
import type { Role } from './roles.js';
import { isNonNegativeInteger, isNonEmptyString, isObject } from './stored-values.js';

const HOLDER_KEY_PREFIX = 'ph/duty-holder/';
const FENCING_TOKEN_KEY_PREFIX = 'ph/duty-token/';

/** The key of a role's holder. It exists while some process holds the role. */
export const roleHolderKey = (role: Role): string => HOLDER_KEY_PREFIX + role;

/** The key of a role's latest fencing token. */
export const fencingTokenKey = (role: Role): string => FENCING_TOKEN_KEY_PREFIX + role;

/** The holder of a role. */
export interface RoleHolderRecord {
  /** Name of the controller. */
  readonly member: string;
  /** Identifies one lease of one process. Another process of the same controller has a different id. */
  readonly sessionId: string;
  /** Increases with every acquisition of the role. */
  readonly fencingToken: number;
}

/** Encodes the value of a holder's key. */
export const encodeHolder = ({ member, sessionId, fencingToken }: RoleHolderRecord): unknown => ({
  member,
  session: sessionId,
  token: fencingToken,
});

/** Decodes the value of a holder's key. Returns undefined if the value is not a holder record. */
export function decodeHolder(value: unknown): RoleHolderRecord | undefined {
  if (!isObject(value)) return undefined;
  const { member, session: sessionId, token: fencingToken } = value;
  return isNonEmptyString(member) && isNonEmptyString(sessionId) && isNonNegativeInteger(fencingToken)
    ? { member, sessionId, fencingToken }
    : undefined;
}

/** Encodes the value of a fencing token's key. */
export const encodeFencingToken = (fencingToken: number): unknown => ({ token: fencingToken });

/** Decodes the value of a fencing token's key. Returns undefined if the value is not a fencing token. */
export function decodeFencingToken(value: unknown): number | undefined {
  return isObject(value) && isNonNegativeInteger(value.token) ? value.token : undefined;
}

/**
 * Returns the fencing token that follows the stored one. If the stored token is unreadable, the result follows the
 * revision of its key instead. Every token was written at a revision of its own, so no token issued so far is higher
 * than that revision.
 */
export function nextFencingToken(stored: { value: unknown; modRevision: Revision } | undefined): number {
  if (!stored) return 1;
  return (decodeFencingToken(stored.value) ?? Number(stored.modRevision)) + 1;
}
