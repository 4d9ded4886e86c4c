/** Constants for workers: their heartbeats, commands and leases. */
import { MAX_BODY_BYTES } from './http.js';

/** Margin, in milliseconds, after the end of a worker's lease before its tasks count as ended. */
export const LEASE_EXPIRY_MARGIN_MS = 300;
/** Timeout of a direct call that sends commands to a worker, in milliseconds. */
export const COMMAND_CALL_TIMEOUT_MS = 3_000;
/**
 * The response to a heartbeat waits at most this many milliseconds for a scheduling cycle, and for the write that precedes
 * the first start of a job. A relay discards a response that takes much longer.
 */
export const MAX_RESPONSE_DEFERRAL_MS = 250;
/** Minimum interval, in milliseconds, between two direct calls that carry the same stop command. */
export const STOP_RESEND_INTERVAL_MS = 3_000;
/** No tasks are placed on a node that sent no heartbeat for this many heartbeat intervals. */
export const UNSCHEDULABLE_AFTER_HEARTBEAT_INTERVALS = 2.5;
/** A node that sent no heartbeat for this many heartbeat intervals counts as lost and is replaced. */
export const UNREACHABLE_AFTER_HEARTBEAT_INTERVALS = 3;
/**
 * Maximum time between two heartbeats, as a multiple of the heartbeat interval. By the protocol a worker deviates from
 * the interval by up to a quarter.
 */
export const MAX_HEARTBEAT_GAP_RATIO = 1.25;
/**
 * A heartbeat is overdue after this many heartbeat intervals. This is longer than any regular gap, and shorter than the
 * time after which a node counts as lost.
 */
export const OVERDUE_AFTER_HEARTBEAT_INTERVALS = 1.5;
/**
 * If more than this share of the nodes of one controller is overdue together, the controller is probably unreachable.
 */
export const SUSPECT_CONTROLLER_OVERDUE_SHARE = 0.05;
/**
 * If more than this share of all nodes is overdue together, they are probably partitioned from the leader and not lost.
 */
export const MASS_OUTAGE_OVERDUE_SHARE = 0.25;
/** Up to this many nodes may be overdue at once through independent failures, regardless of the number of nodes. */
export const MAX_ISOLATED_OUTAGES = 2;
/** By the protocol, a worker that gets no answer turns to another controller after this many milliseconds. */
export const WORKER_RESPONSE_TIMEOUT_MS = 4_000;
/** By the protocol, a worker that was not served waits this many milliseconds before it tries the next controller. */
export const WORKER_RETRY_DELAY_MS = 1_000;
/** Margin, in milliseconds, for the network latency of a heartbeat and for one redirect. */
export const HEARTBEAT_REDIRECT_MARGIN_MS = 1_000;
/** After this many consecutive responses without effect, responses are considered not to reach the node. */
export const MAX_UNACKNOWLEDGED_RESPONSES = 2;
/**
 * For this many milliseconds after its first contact in a term, a worker that does not send the fencing token of the
 * term gets responses. After that the responses are considered not to reach the worker.
 */
export const FIRST_CONTACT_WINDOW_MS = 6_000;
/**
 * Deleted nodes are remembered for this many milliseconds. Copies of their heartbeats may arrive late, by much more
 * than the duration of a lease.
 */
export const DELETED_NODE_RETENTION_MS = 600_000;
/**
 * Number of attempt numbers in the range of one term. The low bits of an attempt number are a counter within this
 * range, and the high bits hold the leader's term.
 */
export const ATTEMPT_NUMBERS_PER_TERM = 2 ** 22;
/** A term ends when only this many attempt numbers are left. One scheduling cycle starts fewer attempts. */
export const RESERVED_ATTEMPT_NUMBERS = 2 ** 16;
/** Maximum size of a heartbeat without its tasks, in bytes. Names that need escapes take several bytes a character. */
export const MAX_HEARTBEAT_ENVELOPE_BYTES = 4 * 1024;
/**
 * Maximum size of one task in a heartbeat, in bytes, with the longest value in each field of the protocol. It includes
 * the separators, and the spaces that some JSON encoders put after them.
 */
export const MAX_TASK_STATUS_BYTES = 150;
/**
 * Maximum number of tasks on a node. The worker's heartbeats list all of them, exited ones included until they are
 * acknowledged, and have to fit into a request.
 */
export const MAX_TASKS_PER_NODE = Math.floor(
  (MAX_BODY_BYTES - MAX_HEARTBEAT_ENVELOPE_BYTES) / MAX_TASK_STATUS_BYTES,
);
/**
 * Maximum number of commands in one response to a heartbeat or one direct call. An answer renews the worker's lease, so it
 * must be able to stop every task of the node. So many commands with the longest values fit into 64 KiB.
 */
export const MAX_COMMANDS_PER_RESPONSE = MAX_TASKS_PER_NODE;
