/** A heartbeat on its way to the leader's heartbeat handler. */
import type { Heartbeat } from '../cluster/worker-messages.js';
import type { ResponseCallback } from '../http/message.js';

/** A heartbeat that reached the leader. */
export interface ReceivedHeartbeat {
  readonly heartbeat: Heartbeat;
  readonly respond: ResponseCallback;
  /** Name of the controller that the worker sent the heartbeat to. */
  readonly relayedBy: string;
  /**
   * Longest time in milliseconds that the response may take through that controller. 0 if the worker is connected to
   * this controller.
   */
  readonly maxRelayDelayMs: number;
}
