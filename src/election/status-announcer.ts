/**
 * Regularly announces to the peers whether this controller is eligible to lead, and to which leader it relays heartbeats.
 */
import type { Clock } from '@pumicehinge/runtime';
import { PEER_HEARTBEAT_INTERVAL_MS } from '../constants.js';
import type { Peer, PeerTransport } from '../peers/peer-transport.js';
import type { StoreClient } from '../state/store-client.js';
import type { CampaignSchedule } from './campaign-schedule.js';
import type { LeaderView } from './leader-view.js';
import type { PeerFailureDetector } from './peer-failure-detector.js';

/** Dependencies of `StatusAnnouncer`. */
export interface StatusAnnouncerDependencies {
  readonly peers: readonly Peer[];
  readonly transport: Pick<PeerTransport, 'send'>;
  readonly storeClient: Pick<StoreClient, 'isStoreAvailable'>;
  readonly clock: Clock;
  readonly leaderView: LeaderView;
  readonly failureDetector: PeerFailureDetector;
  readonly campaignSchedule: CampaignSchedule;
}

/** Announces the status of this controller to its peers. */
export class StatusAnnouncer {
  constructor(private readonly dependencies: StatusAnnouncerDependencies) {}

  /** Announces the status immediately, and after that once per heartbeat interval. */
  start(): void {
    this.announce();
    this.dependencies.clock.setTimer(PEER_HEARTBEAT_INTERVAL_MS, () => this.start());
  }

  private announce(): void {
    const { peers, transport, storeClient, leaderView, failureDetector, campaignSchedule } =
      this.dependencies;
    const isEligible = storeClient.isStoreAvailable && !campaignSchedule.hasRecentlySteppedDown;
    const leader = leaderView.getKnownLeader();
    const relayTarget = leader !== undefined && failureDetector.isAlive(leader) ? leader : null;
    for (const peer of peers) transport.send(peer.member, { kind: 'status', isEligible, relayTarget });
  }
}
