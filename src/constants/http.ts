/** Constants for HTTP messages and connections, and for the use of memory and sockets by a controller process. */

/** Maximum size of a request body, in bytes, as defined by the protocol. */
export const MAX_BODY_BYTES = 64 * 1024;
/**
 * Maximum size of a heartbeat, in bytes. A worker that holds more tasks than it should keeps its lease, so that they can
 * end. A relayed heartbeat has to fit into a frame between controllers.
 */
export const MAX_HEARTBEAT_BYTES = 960 * 1024;
/** Minimum interval between two log lines about rejected requests, in milliseconds. */
export const REJECTION_LOG_INTERVAL_MS = 10_000;
/**
 * Maximum size of the request line and headers together, in bytes. Legitimate requests have a few hundred bytes. Larger
 * ones are rejected as a flood.
 */
export const MAX_HEAD_BYTES = 8 * 1024;
/** Maximum number of header lines in one message. A message with more is rejected as a flood. */
export const MAX_HEADER_LINES = 64;
/**
 * Maximum number of header lines that are cached after they passed the syntax check. Host, content type and length
 * repeat in every request.
 */
export const MAX_CACHED_HEADER_LINES = 1024;
/** Maximum size, in bytes, of a header line in that cache. Longer lines are checked each time. */
export const MAX_CACHED_HEADER_BYTES = 64;
/**
 * Maximum size, in bytes, of a response from an outside service. The protocol does not limit the size of a watch
 * response after an outage, so this limit bounds the memory that a response takes.
 */
export const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
/** Responses of up to this many bytes are always accepted. A page of the state store has at most half this size. */
export const MIN_RESPONSE_LIMIT_BYTES = 1024 * 1024;
/** One response may take up to this share of the memory for data. A parsed response takes several times as much. */
export const RESPONSE_MEMORY_SHARE = 0.1;
/**
 * User requests are rejected while more than this share of the memory for data is in use. Workers and jobs need the
 * rest.
 */
export const USER_REJECTION_MEMORY_SHARE = 0.85;
/**
 * User requests are accepted again once memory use falls below this share of the limit above which they are rejected.
 */
export const MEMORY_RECOVERY_RATIO = 0.9;
/** Interval between two checks of the memory in use, in milliseconds. */
export const MEMORY_CHECK_INTERVAL_MS = 1_000;
/** Memory, in bytes, that a process takes in addition to its heap and buffers (see docs/operations.md). */
export const PROCESS_BASE_BYTES = 50 * 1024 * 1024;
/**
 * Heartbeats that wait for the leader may take up to this share of the memory for data. Further workers are asked to turn
 * to another controller.
 */
export const WAITING_HEARTBEATS_MEMORY_SHARE = 0.25;
/** Data that waits to be sent to the peers may take up to this share of the memory for data, for all peers together. */
export const PEER_MEMORY_SHARE = 0.06;
/** A request must be complete within this many milliseconds. This guards against slow clients. */
export const REQUEST_READ_TIMEOUT_MS = 10_000;
/** An idle kept-alive connection is closed after this many milliseconds. Users poll about every 5 s. */
export const IDLE_CONNECTION_TIMEOUT_MS = 120_000;
/**
 * If all connections are in use, a connection that has been idle for this many milliseconds is closed to make room for
 * a new one. Workers and users send requests every few seconds.
 */
export const ABANDONED_CONNECTION_TIMEOUT_MS = 10_000;
/**
 * While more than this share of the sockets for clients is in use, each connection is closed after its response. The
 * remaining sockets absorb bursts, for example when all clients turn to one controller.
 */
export const SCARCE_SOCKETS_SHARE = 0.7;
/**
 * Heartbeats that wait for a leader may occupy up to this share of the sockets for clients. Users and health checks
 * need the others.
 */
export const WAITING_HEARTBEATS_SOCKET_SHARE = 0.6;
/**
 * This share of the sockets is used for direct calls to workers. Further commands wait for the worker's next heartbeat.
 */
export const WORKER_CALL_SOCKET_SHARE = 0.15;
/** Number of sockets that users and workers can't take. They are for the controller's own calls and the peers. */
export const RESERVED_SOCKETS = 64;
/** The reserved sockets are at most this share of all sockets. */
export const MAX_RESERVED_SOCKETS_SHARE = 0.25;
/**
 * Memory limit, in MiB, of a process whose settings do not specify one. The smallest controllers have this much memory.
 */
export const DEFAULT_MEMORY_MIB = 108;
/** Maximum number of parallel connections to one outside service. Further calls wait for a connection. */
export const MAX_POOL_CONNECTIONS = 8;
/** Maximum number of calls that wait for a connection to one service. Further calls fail immediately. */
export const MAX_POOL_QUEUE_CALLS = 256;
/** An idle pooled connection is closed after this many milliseconds, before the server is likely to close it. */
export const POOL_IDLE_TIMEOUT_MS = 30_000;
