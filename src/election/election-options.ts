/** The options with which a controller creates its election. */
import type { Logger } from 'pino';
import type { Clock } from '@pumicehinge/runtime';
import type { Peer, PeerTransport } from '../peers/peer-transport.js';
import type { StateReplica } from '../state/state-replica.js';
import type { StoreClient } from '../state/store-client.js';
import type { CancellationWatermark } from './cancellation-watermark.js';
import type { LeadershipCallbacks } from './leadership-term.js';

/** Dependencies and settings of the election. */
export interface ElectionOptions {
  /** Name of this controller. */
  readonly member: string;
  /** Zone of this controller. */
  readonly zone: string;
  /**
   * Whether the holders of the leased roles call the cloud on behalf of this controller while it leads. The value is stored
   * in the leader's record.
   */
  readonly delegatesCloudCalls: boolean;
  /** The other controllers. */
  readonly peers: readonly Peer[];
  readonly storeClient: StoreClient;
  readonly replica: StateReplica;
  readonly transport: PeerTransport;
  readonly callbacks: LeadershipCallbacks;
  readonly clock: Clock;
  /** Returns a random number from 0 to below 1. */
  readonly random: () => number;
  readonly watermark: CancellationWatermark;
  /** Size limit of a value in the state store, in bytes. */
  readonly maxValueBytes: number;
  /** Time on the steady clock, in milliseconds, at which this process started. */
  readonly processStartMs: number;
  readonly log: Logger;
}
