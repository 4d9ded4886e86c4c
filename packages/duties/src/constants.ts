/** The constants of the leased roles. The limits of a deployment are passed in as options instead. */

/** Time to live of the lease to which all roles of one controller are attached. Several renewals fit into it. */
export const ROLE_LEASE_TTL_MS = 4_000;
/** Interval between two renewals of that lease. */
export const LEASE_RENEWAL_INTERVAL_MS = 1_000;
/** Timeout of one renewal. It is short enough for another renewal before the lease expires. */
export const LEASE_RENEWAL_TIMEOUT_MS = 1_500;
/**
 * Assumed drift between the steady clocks of two machines. They drift apart by at most 0.05%, and this is twice that.
 */
export const MAX_CLOCK_DRIFT_RATIO = 0.001;
/** Safety margin before the expiry of a lease. It covers pauses between checking the lease and acting on the result. */
export const LEASE_SAFETY_MARGIN_MS = 250;
/** Interval between two checks for vacant roles and for due intents. */
export const ROLE_CHECK_INTERVAL_MS = 250;
/** Delay of a candidacy for each role that the controller already holds. */
export const CANDIDACY_DELAY_PER_HELD_ROLE_MS = 400;
/** Longest random delay of a candidacy. It makes it unlikely that two candidates collide. */
export const CANDIDACY_JITTER_MS = 200;
/**
 * Time between the start of a term and the first candidacies in it, because all controllers are busy after an election.
 * The leader does not wait before it campaigns for a role that it should hold itself.
 */
export const NEW_TERM_CANDIDACY_DELAY_MS = 4_000;
/** Extra delay before controllers other than the leader campaign for a role that the leader should hold. */
export const LEADER_HEAD_START_MS = 1_000;
/**
 * Time between the start of a term and the transfer of a role to the new leader, which is busy right after a change.
 */
export const TRANSFER_TO_LEADER_DELAY_MS = 8_000;
/**
 * Time for which a controller keeps a role that the current leader should hold but gave up, before it transfers the
 * role back. A leader that is cut off from the cloud, for example, gives such a role up.
 */
export const TRANSFER_BACK_DELAY_MS = 60_000;
/**
 * Minimum time before the next candidacy after another candidacy, after a failed request for a lease, or after the
 * release of a role that a previous process of this controller held.
 */
export const CANDIDACY_RETRY_DELAY_MS = 500;
/** Time for which a lease without roles is kept for the next candidacy. */
export const IDLE_LEASE_TIMEOUT_MS = 10_000;
/** Time for which a controller does not campaign for a role that it resigned, so that another one can acquire it. */
export const RESIGNATION_COOLDOWN_MS = 10_000;
/** A role holder whose calls to the cloud have all gone unanswered for this long resigns its role. */
export const CLOUD_UNRESPONSIVE_TIMEOUT_MS = 12_000;
/** Delay before the retry of a call to the cloud, a write or a read that did not succeed. */
export const RETRY_DELAY_MS = 1_000;
/**
 * Most intents that one role holder executes at the same time. With more than one, a slow call does not hold up the
 * others.
 */
export const MAX_INTENTS_IN_FLIGHT = 4;
/** Time over which the nodes that nobody needs are collected into one intent. The wait adds little cost. */
export const SCALE_IN_BATCH_WINDOW_MS = 1_000;
/** Time over which the nodes to reclaim are collected into one intent. Such nodes are usually lost together. */
export const RECLAIM_BATCH_WINDOW_MS = 300;
/** Generous upper bound for the size of one node's name in an intent. */
export const MAX_NODE_NAME_BYTES = 64;
/** Upper bound for the size of an intent without the names of its nodes. */
export const INTENT_FIXED_BYTES = 256;
/** Most nodes in one termination request, by the cloud's protocol. */
export const MAX_NODES_PER_TERMINATION = 100;
/** Interval between two rounds of cleanup. */
export const CLEANUP_INTERVAL_MS = 5_000;
/** Most deletes in one round of cleanup, so that it never competes with the leader's writes. */
export const MAX_DELETES_PER_CLEANUP = 8;
/** Time for which a completed launch intent is kept, so that a new leader learns of its nodes. */
export const LAUNCH_RETENTION_MS = 30_000;
/**
 * Time for which the names of terminated nodes are kept. It is longer than `LAUNCH_RETENTION_MS`, so that the record of
 * a node's termination outlives that of its launch.
 */
export const TERMINATION_RETENTION_MS = 120_000;
/**
 * Largest burst of calls of a role holder, in seconds of its share of the cloud's rate limit. The cloud's protocol sets
 * this value.
 */
export const CLOUD_BURST_S = 2;
/** Delay before the actors of a process restart after one of them failed, as the cause may still be present. */
export const ACTOR_RESTART_DELAY_MS = 1_000;
