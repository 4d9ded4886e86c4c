/** Planned transfers of the leadership to a controller in a zone with more nodes. */
import {
  LEADERSHIP_TRANSFER_INTERVAL_MS,
  LEADERSHIP_TRANSFER_MIN_TERM_MS,
  STEP_DOWN_PAUSE_MS,
} from '../constants.js';
import type { Peer } from '../peers/peer-transport.js';
import type { StateReplica } from '../state/state-replica.js';
import type { StoreClient } from '../state/store-client.js';
import { NodeZones } from './node-zones.js';
import type { PeerFailureDetector } from './peer-failure-detector.js';

/** Dependencies of `LeadershipTransfer`. */
export interface LeadershipTransferDependencies {
  /** Zone of this controller. */
  readonly zone: string;
  readonly peers: readonly Peer[];
  readonly storeClient: Pick<StoreClient, 'lastCallFailed'>;
  readonly replica: Pick<StateReplica, 'listPrefix'>;
  readonly failureDetector: PeerFailureDetector;
  /** Returns the time of the steady clock in milliseconds. */
  readonly nowMs: () => number;
}

/** Decides when a leader in a zone with few nodes steps down in favor of a controller in a zone with more nodes. */
export class LeadershipTransfer {
  private earliestTransferAtMs = -Infinity;

  constructor(private readonly dependencies: LeadershipTransferDependencies) {}

  /**
   * Returns a controller in a zone with more nodes if the leader elected at `electedAtMs` should step down now. Transfers are
   * rare and only go to peers that announce themselves as eligible, because the state store does not necessarily serve a peer
   * that is alive.
   */
  findSuccessor(electedAtMs: number): Peer | undefined {
    const { zone: ownZone, peers, storeClient, replica, failureDetector } = this.dependencies;
    const nowMs = this.dependencies.nowMs();
    if (nowMs - electedAtMs < LEADERSHIP_TRANSFER_MIN_TERM_MS || nowMs < this.earliestTransferAtMs)
      return undefined;
    if (storeClient.lastCallFailed) return undefined;
    const nodeZones = NodeZones.fromReplica(replica);
    if (!nodeZones.isRemote(ownZone)) return undefined;
    return peers.find(
      ({ member, zone }) =>
        failureDetector.isStablyEligible(member, STEP_DOWN_PAUSE_MS) && !nodeZones.isRemote(zone),
    );
  }

  /** Records that this controller steps down for a transfer, so that its next transfer has to wait. */
  recordTransfer(): void {
    this.earliestTransferAtMs = this.dependencies.nowMs() + LEADERSHIP_TRANSFER_INTERVAL_MS;
  }
}
