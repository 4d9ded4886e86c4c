/** Constants for the state store: its rate limits, calls, watches and transactions. */

/** All controllers together use this share of the store's rate limits. The rest allows for clock errors and retries. */
export const STATE_RATE_SHARE = 0.9;
/**
 * Share of the usable request rate that is reserved for the leader. The other controllers need most of the rest for
 * watches and for the polls of users.
 */
export const LEADER_REQUEST_RATE_SHARE = 0.4;
/**
 * Share of the usable write rate that is reserved for the leader. A leader of hundreds of nodes writes about 11 times
 * per second, while the other controllers write submissions and cancellations.
 */
export const LEADER_WRITE_RATE_SHARE = 0.5;
/**
 * Burst of a follower's share of the write rate, in seconds. The bursts of all controllers together stay within the
 * limit for one second.
 */
export const FOLLOWER_WRITE_BURST_S = 1.25;
/**
 * Timeout of a call to the state store, in milliseconds. Responses take less than 10 ms, and sometimes a few hundred.
 */
export const STATE_CALL_TIMEOUT_MS = 1_500;
/**
 * The store keeps a watch open for this many milliseconds. It is short so that a controller that is no longer served
 * notices this soon and can report it.
 */
export const WATCH_WAIT_MS = 2_500;
/** A watch counts as lost this many milliseconds after the time for which the store keeps it open. */
export const WATCH_GRACE_MS = 1_500;
/** Delay between a failed call and its retry, in milliseconds. */
export const STATE_RETRY_DELAY_MS = 250;
/**
 * Minimum interval between two linearizable reads, in milliseconds. It bounds the requests that the polls of users
 * cause.
 */
export const MIN_LINEARIZABLE_READ_INTERVAL_MS = 120;
/**
 * Minimum interval between two watches, in milliseconds. It bounds the number of requests, and the cost of parsing,
 * during a stream of changes.
 */
export const MIN_WATCH_INTERVAL_MS = 100;
/** Upper bound for the size of one node in the record of its group, in bytes. */
export const MAX_NODE_RECORD_BYTES = 128;
/**
 * Minimum interval between two writes of the same node group, in milliseconds. Nodes that boot in the meantime are
 * written together.
 */
export const MIN_NODE_GROUP_WRITE_INTERVAL_MS = 200;
/** Maximum number of nodes whose leases are delegated by one key. If values must be small, there are fewer per key. */
export const MAX_DELEGATED_LEASES_PER_KEY = 100;
/** Number of keys per page when the replica is loaded. */
export const REPLICA_LOAD_PAGE_KEYS = 500;
/** Maximum size of one transaction, in bytes. It is below the store's limit of 64 KiB to leave room for the framing. */
export const MAX_TXN_BYTES = 48 * 1024;
/** Maximum number of writes that wait for a transaction. Further writes are rejected. */
export const MAX_QUEUED_WRITES = 500;
/** Deadline of a write by the leader, in milliseconds. After that, the leader decides again what to write. */
export const WRITE_TIMEOUT_MS = 10_000;
/** The state store counts as unavailable to this controller after this many milliseconds without a served call. */
export const STATE_UNAVAILABLE_AFTER_MS = 1_200;
/** Delay, in milliseconds, before a write that the state store rejected as malformed is retried. */
export const MALFORMED_VALUE_RETRY_DELAY_MS = 30_000;
/** Upper bound for the size of a node name in a stored list, in bytes. */
export const MAX_NODE_NAME_BYTES = 64;
/**
 * Maximum number of segments of the completion bitmap in one write of a job. The completed tasks of a large job array
 * usually lie in few segments.
 */
export const MAX_COMPLETION_SEGMENTS_PER_WRITE = 4;
/**
 * Number of tasks per segment of the completion bitmap. 8192 bits take 1.4 KB in base64, far below the usual
 * `value_kb`.
 */
export const TASKS_PER_COMPLETION_SEGMENT = 8_192;
