/** Minimum values of settings. The service warns at startup about settings below them. */

/** Minimum requests per second for each follower: it watches the state store, and sometimes reads for its users. */
export const MIN_FOLLOWER_RPS = 4;
/** Minimum writes per second for the leader. Below this, a hundred nodes take longer to record than to boot. */
export const MIN_LEADER_WRITES_PER_S = 5;
/** Minimum size limit of a value, in bytes. A group of several nodes, or a job with a list of types, must fit. */
export const MIN_VALUE_BYTES = 1024;
/** Minimum operations per transaction. A job and a few of its completion segments, or a split node group, must fit. */
export const MIN_TRANSACTION_OPERATIONS = 4;
/** Minimum requests per second to the cloud: reads of the instance list, and an occasional launch or termination. */
export const MIN_CLOUD_RPS = 1;
/** Minimum number of sockets for clients. Fewer would be used up by health checks and a few users. */
export const MIN_CLIENT_SOCKETS = 100;
/**
 * Minimum number of heartbeats that must fit into a lease: one may be lost, one may be sent to a controller that is
 * gone, and one may be in flight.
 */
export const MIN_HEARTBEATS_PER_LEASE = 4;
