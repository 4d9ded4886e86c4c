/** The leased roles. Each is held by at most one controller at a time, on the basis of a lease of the state store. */

/** All roles, in the order in which they are checked. Stored keys and values contain these names. */
export const ROLES = ['rent', 'return', 'reclaim', 'cleanup'] as const;

/**
 * A leased role:
 * - The holder of `rent` scales out. It launches nodes.
 * - The holder of `return` scales in. It terminates nodes that nobody needs.
 * - The holder of `reclaim` terminates nodes that are lost, quarantined or unexpected, together with their tasks.
 * - The holder of `cleanup` deletes obsolete records.
 */
export type Role = (typeof ROLES)[number];

/** The roles that terminate nodes. */
export type TerminationRole = 'return' | 'reclaim';

/** The roles that execute intents of the leader. */
export type IntentRole = 'rent' | TerminationRole;

/**
 * Roles that the leader itself should hold. Pending work waits for their intents, and a local holder executes them
 * sooner.
 */
export const LEADER_PREFERRED_ROLES: readonly Role[] = ['rent'];
