/** Relays heartbeats from the workers of this controller to the leader, and the leader's responses to the workers. */
import type { Logger } from 'pino';
import { Actor, assertNever, type Clock } from '@pumicehinge/runtime';
import {
  RELAY_ID_RANGE,
  RELAY_RESPONSE_VALIDITY_MS,
  RELAY_REVIEW_INTERVAL_MS,
  RELAY_TIMEOUT_MS,
} from '../constants.js';
import type { HttpResponse, ResponseCallback } from '../http/message.js';
import type { PeerTransport } from '../peers/peer-transport.js';
import { formatJson } from '../wire/json.js';
import { encodeRedirect } from './codec.js';

/** Dependencies of HeartbeatRelay. */
export interface HeartbeatRelayDependencies {
  readonly clock: Clock;
  readonly peerTransport: Pick<PeerTransport, 'send' | 'onMessage'>;
  readonly log: Logger;
  /** Returns a random number, uniformly distributed in [0, 1). */
  readonly random: () => number;
  /** Name of the leader, if it is reachable from this controller. */
  readonly getReachableLeader: () => string | undefined;
  /** Name of the leader, if its host refuses connections from this controller. Workers may still reach it. */
  readonly getRefusingLeader: () => string | undefined;
  /** Largest number of heartbeats that may wait for a response at the same time. */
  readonly maxPending: number;
  /** Largest total size, in bytes, of the heartbeats that wait for a response at the same time. */
  readonly maxPendingBytes: number;
  /**
   * Handles on this controller a heartbeat that the leader does not answer. Returns false if that is not possible now.
   */
  readonly handleLocally: (body: string, respond: ResponseCallback) => boolean;
}

/** A heartbeat that waits for the leader's response. */
interface PendingHeartbeat {
  readonly body: string;
  readonly respond: ResponseCallback;
  /** Steady time in milliseconds at which the heartbeat was received. */
  readonly receivedMs: number;
  /** Name of the controller that the heartbeat was last forwarded to. Undefined if it was not forwarded yet. */
  lastForwardedTo: string | undefined;
  /** Steady time in milliseconds at which the heartbeat was last forwarded. NaN if it was not forwarded yet. */
  lastForwardedMs: number;
}

interface RelayedResponse {
  readonly id: number;
  readonly status: number;
  readonly body: string;
}

type Message =
  | { readonly kind: 'heartbeat'; readonly body: string; readonly respond: ResponseCallback }
  | ({ readonly kind: 'relayed' } & RelayedResponse)
  | { readonly kind: 'reviewPending' };

const UNAVAILABLE: HttpResponse = { status: 503, body: '{}' };

/**
 * Lets workers stay connected to a controller of their own zone. The leader then holds a few connections instead of
 * hundreds, a change of leader moves no worker, and in a partition each worker is already connected to a controller
 * that can renew its lease by proxy. A response is passed on only for a short time after its heartbeat was forwarded.
 * The leader counts the worker's lease from the end of that time (see docs/design.md).
 */
export class HeartbeatRelay extends Actor<Message> {
  private readonly pendingHeartbeats = new Map<number, PendingHeartbeat>();
  /**
   * Starts at a random number, so that a restarted process does not reuse the request ids of the previous process.
   * Otherwise the leader's response to a request of the previous process could reach another worker, which would
   * execute its start commands.
   */
  private lastRequestId: number;
  /** Total size of the pending heartbeats, in bytes. */
  private pendingBytes = 0;
  private isReviewScheduled = false;

  constructor(private readonly dependencies: HeartbeatRelayDependencies) {
    super(dependencies.log);
    this.lastRequestId = Math.floor(dependencies.random() * RELAY_ID_RANGE);
    dependencies.peerTransport.onMessage((_member, message) => {
      if (message.kind === 'relayed')
        this.send({ kind: 'relayed', id: message.id, status: message.status, body: message.body });
    });
  }

  protected receive(message: Message): void {
    switch (message.kind) {
      case 'heartbeat':
        return this.onHeartbeat(message.body, message.respond);
      case 'relayed':
        return this.onRelayedResponse(message);
      case 'reviewPending':
        this.isReviewScheduled = false;
        return this.reviewPending();
      default:
        assertNever(message);
    }
  }

  private onHeartbeat(body: string, respond: ResponseCallback): void {
    // Each pending heartbeat holds a socket, and users need sockets too. Its size grows with the tasks of its node. A
    // rejected worker tries another controller.
    const { maxPending, maxPendingBytes } = this.dependencies;
    const isFull =
      this.pendingHeartbeats.size >= maxPending || this.pendingBytes + body.length > maxPendingBytes;
    if (isFull) return respond(UNAVAILABLE);
    const receivedMs = this.dependencies.clock.steadyMs();
    this.forward({ body, respond, receivedMs, lastForwardedTo: undefined, lastForwardedMs: NaN });
    this.scheduleReview();
  }

  /**
   * Forwards the heartbeat to the leader, under a new request id each time, so that the response of a former leader is
   * not passed on. If no leader is reachable, the heartbeat waits for the next review.
   */
  private forward(heartbeat: PendingHeartbeat): void {
    const requestId = ++this.lastRequestId;
    this.pendingHeartbeats.set(requestId, heartbeat);
    this.pendingBytes += heartbeat.body.length;
    const leader = this.dependencies.getReachableLeader();
    if (leader === undefined) return;
    // If the message was dropped, the next review forwards the heartbeat.
    if (!this.dependencies.peerTransport.send(leader, { kind: 'relay', id: requestId, body: heartbeat.body }))
      return;
    heartbeat.lastForwardedTo = leader;
    heartbeat.lastForwardedMs = this.dependencies.clock.steadyMs();
  }

  private onRelayedResponse({ id, status, body }: RelayedResponse): void {
    const heartbeat = this.pendingHeartbeats.get(id);
    if (!heartbeat) return;
    this.removePending(id, heartbeat);
    const isValid =
      this.dependencies.clock.steadyMs() - heartbeat.lastForwardedMs < RELAY_RESPONSE_VALIDITY_MS;
    heartbeat.respond(isValid ? { status, body } : UNAVAILABLE);
  }

  private reviewPending(): void {
    const nowMs = this.dependencies.clock.steadyMs();
    const leader = this.dependencies.getReachableLeader();
    const refusingLeader = this.dependencies.getRefusingLeader();
    for (const [requestId, heartbeat] of [...this.pendingHeartbeats]) {
      if (refusingLeader === undefined) this.reviewHeartbeat(requestId, heartbeat, leader, nowMs);
      else
        this.completePending(requestId, heartbeat, {
          status: 421,
          body: formatJson(encodeRedirect(refusingLeader)),
        });
    }
    this.scheduleReview();
  }

  /**
   * Handles an unanswered heartbeat on this controller if possible. Otherwise responds with 503 after the timeout, or
   * forwards the heartbeat to a new leader.
   */
  private reviewHeartbeat(
    requestId: number,
    heartbeat: PendingHeartbeat,
    leader: string | undefined,
    nowMs: number,
  ): void {
    // In both cases no response of the leader can be passed on any more, unless the heartbeat is forwarded again.
    const mayBeHandledLocally =
      heartbeat.lastForwardedTo === undefined ||
      nowMs - heartbeat.lastForwardedMs >= RELAY_RESPONSE_VALIDITY_MS;
    if (mayBeHandledLocally && this.dependencies.handleLocally(heartbeat.body, heartbeat.respond)) {
      this.removePending(requestId, heartbeat);
    } else if (nowMs - heartbeat.receivedMs >= RELAY_TIMEOUT_MS) {
      this.completePending(requestId, heartbeat, UNAVAILABLE);
    } else if (leader !== undefined && leader !== heartbeat.lastForwardedTo) {
      this.removePending(requestId, heartbeat);
      this.forward(heartbeat);
    }
  }

  private completePending(requestId: number, heartbeat: PendingHeartbeat, response: HttpResponse): void {
    this.removePending(requestId, heartbeat);
    heartbeat.respond(response);
  }

  private removePending(requestId: number, heartbeat: PendingHeartbeat): void {
    if (this.pendingHeartbeats.delete(requestId)) this.pendingBytes -= heartbeat.body.length;
  }

  private scheduleReview(): void {
    if (this.isReviewScheduled || this.pendingHeartbeats.size === 0) return;
    this.isReviewScheduled = true;
    this.dependencies.clock.setTimer(RELAY_REVIEW_INTERVAL_MS, () => this.send({ kind: 'reviewPending' }));
  }
}
