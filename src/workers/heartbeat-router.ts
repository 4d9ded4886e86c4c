/**
 * Decides what happens to a heartbeat that this controller has received. The heartbeat goes to the leader actor or the
 * lease renewal proxy of this process, or through the relay to another controller, or its worker is redirected to a
 * better controller.
 */
import type { Clock } from '@pumicehinge/runtime';
import type { Heartbeat } from '../cluster/worker-messages.js';
import { RELAY_RESPONSE_VALIDITY_MS } from '../constants.js';
import type { LeaderView } from '../election/leader-view.js';
import type { ResponseCallback } from '../http/message.js';
import type { PeerMessage } from '../peers/peer-messages.js';
import type { PeerTransport } from '../peers/peer-transport.js';
import { parseHeartbeat } from './codec.js';
import type { ReceivedHeartbeat } from './received-heartbeat.js';
import type { HeartbeatRelay } from './heartbeat-relay.js';
import type { LeaseRenewalProxy } from './lease-renewal-proxy.js';
import type { RelayRedirector } from './relay-redirector.js';

/** The route of a heartbeat: either it is accepted and will be answered, or its worker has to turn elsewhere. */
export type HeartbeatRoute =
  | { readonly kind: 'accepted' }
  /** The worker should turn to the controller `member`. */
  | { readonly kind: 'redirected'; readonly member: string }
  /** There may be a leader, but this controller can't name it. */
  | { readonly kind: 'unavailable' };

/** An actor that answers heartbeats: the leader or the lease renewal proxy of this process. */
export interface HeartbeatReceiver {
  /** Delivers a heartbeat to the mailbox of the actor. */
  send(message: { kind: 'heartbeat' } & ReceivedHeartbeat): void;
}

/** Dependencies of `HeartbeatRouter`. */
export interface HeartbeatRouterDependencies {
  /** Name and zone of this controller. */
  readonly self: { readonly member: string; readonly zone: string };
  readonly leaderView: Pick<
    LeaderView,
    'listHeartbeatTargets' | 'isLeaderInfoFresh' | 'getKnownLeader' | 'isLeaderless'
  >;
  readonly peers: PeerTransport;
  readonly clock: Clock;
  /** The leader actor of this process. Undefined unless this controller leads and is ready. */
  readonly getLeaderActor: () => HeartbeatReceiver | undefined;
  /** Redirects workers from the leader to relays. Undefined unless this controller leads. */
  readonly getRedirector: () => RelayRedirector | undefined;
  readonly leaseRenewalProxy: Pick<LeaseRenewalProxy, 'shouldRenewLeases' | 'send'>;
  readonly relay: Pick<HeartbeatRelay, 'send'>;
}

const ACCEPTED: HeartbeatRoute = { kind: 'accepted' };
const UNAVAILABLE: HeartbeatRoute = { kind: 'unavailable' };

/** Routes heartbeats of workers and heartbeats that peers relay to this controller. */
export class HeartbeatRouter {
  constructor(private readonly dependencies: HeartbeatRouterDependencies) {
    dependencies.peers.onMessage((member, message) => {
      if (message.kind === 'relay') this.handleRelayedHeartbeat(member, message);
    });
  }

  /**
   * Routes a worker's heartbeat. `body` is its encoded form. A heartbeat that is accepted is answered through
   * `respond`.
   */
  route(heartbeat: Heartbeat, body: string, respond: ResponseCallback): HeartbeatRoute {
    const betterTarget = this.findBetterTarget(heartbeat);
    if (betterTarget !== undefined) return { kind: 'redirected', member: betterTarget };
    const receiver = this.findLocalReceiver();
    if (receiver) {
      this.deliver(receiver, heartbeat, respond);
      return ACCEPTED;
    }
    const leader = this.findTrustedLeader();
    if (leader === undefined && !this.dependencies.leaderView.isLeaderless) return UNAVAILABLE;
    if (leader !== undefined && this.dependencies.peers.refusesConnections(leader))
      return { kind: 'redirected', member: leader };
    // The relay also holds heartbeats for a moment while there is no leader or the leader is not ready yet. Each
    // redirect costs the worker a second, and its lease keeps running.
    this.dependencies.relay.send({ kind: 'heartbeat', body, respond });
    return ACCEPTED;
  }

  /**
   * Handles a heartbeat that waits in the relay, if this controller leads or renews leases by proxy. Returns false if
   * the heartbeat can't be handled here.
   */
  handleLocally(body: string, respond: ResponseCallback): boolean {
    const receiver = this.findLocalReceiver();
    const heartbeat = receiver && parseHeartbeat(body);
    if (!heartbeat) return false;
    this.deliver(receiver, heartbeat, respond);
    return true;
  }

  /** Name of the known leader, if its host refuses connections from this controller. Workers may still reach it. */
  findRefusingLeader(): string | undefined {
    const leader = this.findTrustedLeader();
    return leader !== undefined && this.dependencies.peers.refusesConnections(leader) ? leader : undefined;
  }

  /** Name of the known leader. Undefined if that information may be stale. */
  private findTrustedLeader(): string | undefined {
    const { leaderView } = this.dependencies;
    return leaderView.isLeaderInfoFresh ? leaderView.getKnownLeader() : undefined;
  }

  /**
   * The actor of this process that can answer heartbeats now, which is the leader or else the lease renewal proxy.
   * Undefined if neither can.
   */
  private findLocalReceiver(): HeartbeatReceiver | undefined {
    const { getLeaderActor, leaseRenewalProxy } = this.dependencies;
    return getLeaderActor() ?? (leaseRenewalProxy.shouldRenewLeases() ? leaseRenewalProxy : undefined);
  }

  private deliver(receiver: HeartbeatReceiver, heartbeat: Heartbeat, respond: ResponseCallback): void {
    const relayedBy = this.dependencies.self.member;
    receiver.send({ kind: 'heartbeat', heartbeat, respond, relayedBy, maxRelayDelayMs: 0 });
  }

  /**
   * Name of a controller that should receive the heartbeat instead of this one. Undefined if there is none. The
   * controller belongs to the worker's own zone, where the worker can stay when zones are partitioned. Within that
   * zone a relay is better than a busy leader. Successive heartbeats get different controllers, because the worker
   * may be unable to reach the one that was named before.
   */
  private findBetterTarget({ zone, nodeName, sequence }: Heartbeat): string | undefined {
    const { leaderView, self, getRedirector, clock } = this.dependencies;
    const targets = leaderView.listHeartbeatTargets(zone);
    const shouldRedirect =
      zone !== self.zone || getRedirector()?.tryRedirect(nodeName, targets.length, clock.steadyMs()) === true;
    if (!shouldRedirect || targets.length === 0) return undefined;
    return targets[(hashName(nodeName) + Number(sequence)) % targets.length];
  }

  private handleRelayedHeartbeat(
    member: string,
    { id, body }: Extract<PeerMessage, { kind: 'relay' }>,
  ): void {
    const respond: ResponseCallback = (response) =>
      this.dependencies.peers.send(member, {
        kind: 'relayed',
        id,
        status: response.status,
        body: response.body,
      });
    const leader = this.dependencies.getLeaderActor();
    const heartbeat = leader && parseHeartbeat(body);
    if (!heartbeat) return respond({ status: 503, body: '{}' });
    leader.send({
      kind: 'heartbeat',
      heartbeat,
      respond,
      relayedBy: member,
      maxRelayDelayMs: RELAY_RESPONSE_VALIDITY_MS,
    });
  }
}

/** A hash that spreads nodes evenly over the controllers of their zone. */
function hashName(name: string): number {
  let hash = 0;
  for (let i = 0; i < name.length; i++) hash = (hash * 31 + name.charCodeAt(i)) >>> 0;
  return hash;
}
