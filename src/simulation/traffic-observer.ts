/**
 * The interface through which a simulated deployment reports its messages. The behavior trace script implements it to
 * compute a digest of the messages of a run.
 */
import type { PeerMessage } from '../peers/peer-messages.js';

/**
 * Receives the messages of a simulated deployment as they are sent and as they arrive. Injected duplicates of requests
 * are not reported.
 */
export interface TrafficObserver {
  /** A request leaves its sender. */
  requestSent(request: ObservedRequest): void;
  /** A request arrives at its receiver, which is about to handle it. */
  requestArrived(request: ObservedRequest): void;
  /** An answer arrives at the sender of the request. */
  responseArrived(request: ObservedRequest, status: number, body: string): void;
  /** A call ends without an answer. */
  callFailed(request: ObservedRequest, reason: string): void;
  /** A message between controllers leaves its sender. */
  peerMessageSent(from: string, to: string, message: PeerMessage): void;
}

/** One HTTP request between two simulated hosts. */
export interface ObservedRequest {
  readonly from: string;
  readonly to: string;
  readonly method: string;
  readonly target: string;
  readonly body: string | undefined;
}

/** Ignores all messages. */
export const NO_OBSERVER: TrafficObserver = {
  requestSent: () => undefined,
  requestArrived: () => undefined,
  responseArrived: () => undefined,
  callFailed: () => undefined,
  peerMessageSent: () => undefined,
};
