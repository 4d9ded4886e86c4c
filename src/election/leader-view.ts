/** What this controller knows about the current leader. It is used to route requests of users and workers. */
import type { Peer } from '../peers/peer-transport.js';
import { decodeLeader, LEADER_KEY } from '../state/records.js';
import type { StateReplica } from '../state/state-replica.js';
import type { StoreClient } from '../state/store-client.js';
import type { PeerFailureDetector } from './peer-failure-detector.js';

/** Dependencies of `LeaderView`. */
export interface LeaderViewDependencies {
  /** Name of this controller. */
  readonly member: string;
  /** Zone of this controller. */
  readonly zone: string;
  readonly peers: readonly Peer[];
  readonly storeClient: Pick<StoreClient, 'isStoreAvailable'>;
  readonly replica: Pick<StateReplica, 'get' | 'isLoaded'>;
  readonly failureDetector: PeerFailureDetector;
}

/** A read-only view of the leader and of the controllers that relay heartbeats to it, as known to this controller. */
export class LeaderView {
  constructor(private readonly dependencies: LeaderViewDependencies) {}

  /** Returns the name of the leader according to the local replica, which may be stale. */
  getKnownLeader(): string | undefined {
    return decodeLeader(this.dependencies.replica.get(LEADER_KEY)?.value)?.member;
  }

  /** Returns the name of the known leader if it is alive and is not this controller. */
  getReachableLeader(): string | undefined {
    const leader = this.getKnownLeader();
    if (leader === undefined || leader === this.dependencies.member) return undefined;
    return this.dependencies.failureDetector.isAlive(leader) ? leader : undefined;
  }

  /**
   * Whether workers may be told who the leader is. This is the case if a leader is known and either the state store serves
   * this controller, which keeps the local replica up to date, or the leader is alive.
   */
  get isLeaderInfoFresh(): boolean {
    const leader = this.getKnownLeader();
    if (leader === undefined) return false;
    return (
      this.dependencies.storeClient.isStoreAvailable || this.dependencies.failureDetector.isAlive(leader)
    );
  }

  /**
   * Whether there is no leader according to a replica that the state store keeps up to date, so that a new leader can be
   * expected soon.
   */
  get isLeaderless(): boolean {
    const { replica, storeClient } = this.dependencies;
    return replica.isLoaded && storeClient.isStoreAvailable && this.getKnownLeader() === undefined;
  }

  /**
   * Whether this controller reports itself as healthy. A controller without a loaded replica is unhealthy. With a loaded
   * replica, a controller without peers is healthy. A controller that the state store does not serve cannot serve users. It
   * reports itself as unhealthy while another controller is eligible to lead, or while no other controller is alive. If the
   * state store serves none of the controllers, they stay healthy: a load balancer that removed all of them would add them
   * again only after an increasing delay.
   */
  get isHealthy(): boolean {
    const { replica, storeClient, peers, failureDetector } = this.dependencies;
    if (!replica.isLoaded) return false;
    if (storeClient.isStoreAvailable || peers.length === 0) return true;
    return failureDetector.hasAlivePeer() && !failureDetector.hasEligiblePeer();
  }

  /** Lists the names of the alive peers in a zone that are the leader or relay heartbeats to the leader, in a fixed order. */
  listHeartbeatTargets(zone: string): string[] {
    const leader = this.getKnownLeader();
    return leader === undefined ? [] : this.dependencies.failureDetector.listHeartbeatTargets(zone, leader);
  }

  /** Whether the zone is not that of this controller, has controllers, and all of them are suspect. */
  isZoneSuspect(zone: string): boolean {
    return zone !== this.dependencies.zone && this.dependencies.failureDetector.isZoneSuspect(zone);
  }
}
