/** Measures the messages of a simulated deployment that grow with the tasks of one machine. */
import {
  NO_OBSERVER,
  type ObservedRequest,
  type TrafficObserver,
} from '../../src/simulation/traffic-observer.js';

/** The largest messages of a deployment, in bytes, and the number of heartbeats that were refused for their size. */
export class MessageSizes implements TrafficObserver {
  largestHeartbeat = 0;
  largestHeartbeatResponse = 0;
  largestCommandCall = 0;
  refusedHeartbeats = 0;
  readonly requestSent = NO_OBSERVER.requestSent;
  readonly callFailed = NO_OBSERVER.callFailed;
  readonly peerMessageSent = NO_OBSERVER.peerMessageSent;

  /** Size of the largest message to or from a worker, in bytes. */
  get largest(): number {
    return Math.max(this.largestHeartbeat, this.largestHeartbeatResponse, this.largestCommandCall);
  }

  /** Records the size of a request. */
  requestArrived({ target, body = '' }: ObservedRequest): void {
    if (target === '/v1/report') this.largestHeartbeat = Math.max(this.largestHeartbeat, body.length);
    if (target === '/orders') this.largestCommandCall = Math.max(this.largestCommandCall, body.length);
  }

  /** Records the size of a response to a heartbeat, and whether the heartbeat was refused. */
  responseArrived({ target }: ObservedRequest, status: number, body: string): void {
    if (target !== '/v1/report') return;
    if (status === 413) this.refusedHeartbeats++;
    this.largestHeartbeatResponse = Math.max(this.largestHeartbeatResponse, body.length);
  }
}
