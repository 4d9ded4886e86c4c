/** Leased roles, each held by at most one controller at a time, and the recorded intents that their holders execute. */
export { LeasedRoles, type LeasedRolesOptions } from './leased-roles.js';
export { type RoleGrant } from './role-leases.js';
export { ClockCheckedLeaseAuthority, type LeaseRenewal } from './lease-authority.js';
export { type IntentEvent, type IntentLog, type IntentLogOptions, type IntentLogTerm } from './intent-log.js';
export { type InheritedIntents } from './inherited-intents.js';
export type * from './intents.js';
export type * from './ports.js';
export { ROLES, type IntentRole, type Role, type TerminationRole } from './roles.js';
export {
  decodeFencingToken,
  decodeHolder,
  encodeFencingToken,
  encodeHolder,
  fencingTokenKey,
  roleHolderKey,
  nextFencingToken,
  type RoleHolderRecord,
} from './holder-records.js';
export { decodeIntent, encodeIntent, INTENT_KEY_PREFIX, intentKey } from './intent-records.js';
export { type ObsoleteRecord } from './record-garbage-collector.js';
