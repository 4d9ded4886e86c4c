/** Divides the sockets and the memory that the settings grant to a controller. All functions are pure. */
import {
  RESPONSE_MEMORY_SHARE,
  MAX_RESPONSE_BYTES,
  USER_REJECTION_MEMORY_SHARE,
  MIN_RESPONSE_LIMIT_BYTES,
  MAX_PEER_FRAME_BYTES,
  PEER_MEMORY_SHARE,
  PROCESS_BASE_BYTES,
  RESERVED_SOCKETS,
  MAX_RESERVED_SOCKETS_SHARE,
  WAITING_HEARTBEATS_MEMORY_SHARE,
  WORKER_CALL_SOCKET_SHARE,
} from './constants.js';

/** How the sockets of a controller are divided. */
export interface SocketLimits {
  /** Limit of the connections from users and workers. */
  maxClientConnections: number;
  /** Limit of the connections to workers for commands that are sent without waiting for the next heartbeat. */
  maxCommandConnections: number;
}

/**
 * Divides the sockets of a controller. Some are reserved for its calls to other services and for its peers. If there are few
 * sockets, the number of reserved sockets is limited to a share of them.
 */
export function divideSockets(maxConnections: number): SocketLimits {
  const reservedSockets = Math.min(RESERVED_SOCKETS, Math.ceil(maxConnections * MAX_RESERVED_SOCKETS_SHARE));
  const maxCommandConnections = Math.ceil(maxConnections * WORKER_CALL_SOCKET_SHARE);
  return {
    maxClientConnections: Math.max(1, maxConnections - reservedSockets - maxCommandConnections),
    maxCommandConnections,
  };
}

/** How the memory of a controller is divided. */
export interface MemoryLimits {
  /** User requests are rejected while heap and buffers together exceed this size. */
  rejectUsersAboveBytes: number;
  /** Size limit of one response from the state store or the cloud. Larger results are read in pages. */
  maxResponseBytes: number;
  /** Size limit of the data that waits to be sent to one peer. */
  maxPeerBufferBytes: number;
  /** Size limit of the heartbeats that wait for the leader's response. */
  maxWaitingHeartbeatBytes: number;
}

/**
 * Divides the memory that remains for data. The rest is for the runtime itself, whose size this program cannot influence. At
 * least a quarter of the memory counts as memory for data.
 */
export function divideMemory(memoryBytes: number, peerCount: number): MemoryLimits {
  const dataBytes = Math.max(memoryBytes - PROCESS_BASE_BYTES, memoryBytes / 4);
  const responseShareBytes = Math.floor(dataBytes * RESPONSE_MEMORY_SHARE);
  return {
    rejectUsersAboveBytes: Math.floor(dataBytes * USER_REJECTION_MEMORY_SHARE),
    maxResponseBytes: Math.min(MAX_RESPONSE_BYTES, Math.max(MIN_RESPONSE_LIMIT_BYTES, responseShareBytes)),
    maxPeerBufferBytes: Math.max(
      MAX_PEER_FRAME_BYTES,
      Math.floor((dataBytes * PEER_MEMORY_SHARE) / Math.max(1, peerCount)),
    ),
    maxWaitingHeartbeatBytes: Math.floor(dataBytes * WAITING_HEARTBEATS_MEMORY_SHARE),
  };
}
