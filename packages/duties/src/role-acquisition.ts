/** The transaction that acquires a vacant role. */
import {
  encodeFencingToken,
  encodeHolder,
  fencingTokenKey,
  roleHolderKey,
  nextFencingToken,
} from './holder-records.js';
import type { LeaseSession } from './lease-session.js';
import type { Condition, Operation, RoleStore } from './ports.js';
import type { Role } from './roles.js';

/** A role to acquire, the controller that acquires it, and the lease to attach it to. */
export interface RoleCandidate {
  readonly role: Role;
  /** Name of the controller. */
  readonly member: string;
  readonly session: LeaseSession;
}

/** The transaction that acquires a role, and the fencing token that it issues. */
export interface RoleAcquisition {
  readonly fencingToken: number;
  readonly conditions: Condition[];
  readonly operations: Operation[];
}

/**
 * Builds a transaction that writes the holder's key and the next fencing token, on condition that nobody holds the role
 * and the stored token has not changed.
 */
export function buildRoleAcquisition(
  store: Pick<RoleStore, 'get'>,
  { role, member, session }: RoleCandidate,
): RoleAcquisition {
  const holderRecordKey = roleHolderKey(role);
  const tokenKey = fencingTokenKey(role);
  const storedToken = store.get(tokenKey);
  const fencingToken = nextFencingToken(storedToken);
  const holder = encodeHolder({ member, sessionId: session.id, fencingToken });
  return {
    fencingToken,
    conditions: [
      { key: holderRecordKey, modRevision: 0 },
      { key: tokenKey, modRevision: storedToken?.modRevision ?? 0 },
    ],
    operations: [
      { key: holderRecordKey, value: holder, leaseId: session.leaseId },
      { key: tokenKey, value: encodeFencingToken(fencingToken) },
    ],
  };
}
