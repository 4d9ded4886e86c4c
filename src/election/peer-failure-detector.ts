/**
 * Failure detection among controllers. It tracks which peers are alive, which are eligible to lead, and to which leader each
 * of them relays heartbeats.
 */
import { PEER_HEARTBEAT_INTERVAL_MS } from '../constants.js';
import type { StatusMessage } from '../peers/peer-messages.js';
import type { Peer } from '../peers/peer-transport.js';

/**
 * Milliseconds without a message after which a peer no longer counts as alive. This is longer than `SUSPECT_AFTER_MS` because
 * a peer that is not alive is not used at all.
 */
const DEAD_AFTER_MS = 3 * PEER_HEARTBEAT_INTERVAL_MS;
/** Milliseconds without a message after which a peer is suspect, because it may be cut off. */
const SUSPECT_AFTER_MS = 2 * PEER_HEARTBEAT_INTERVAL_MS;

/** Derives the state of the other controllers from their messages. */
export class PeerFailureDetector {
  /** Time on the steady clock, in milliseconds, of the last message of each peer. */
  private readonly lastMessageTimesMs = new Map<string, number>();
  /** Time on the steady clock, in milliseconds, since which each peer has sent messages without becoming suspect. */
  private readonly aliveSinceMs = new Map<string, number>();
  /** Names of the peers that announce themselves as eligible to lead. */
  private readonly eligibleMembers = new Set<string>();
  /** The leader to which each peer relays heartbeats, or null if the peer reaches no leader. */
  private readonly relayTargets = new Map<string, string | null>();

  constructor(
    private readonly peers: readonly Peer[],
    /** Returns the time of the steady clock in milliseconds. */
    private readonly nowMs: () => number,
  ) {}

  /** Records that a message of any kind arrived, which shows that its sender is alive. */
  recordMessage(member: string): void {
    const nowMs = this.nowMs();
    if (nowMs - this.getLastMessageAtMs(member) > SUSPECT_AFTER_MS) this.aliveSinceMs.set(member, nowMs);
    this.lastMessageTimesMs.set(member, nowMs);
  }

  /** Records the status that a peer announces. */
  recordStatus(member: string, { isEligible, relayTarget }: StatusMessage): void {
    if (isEligible) this.eligibleMembers.add(member);
    else this.eligibleMembers.delete(member);
    this.relayTargets.set(member, relayTarget);
  }

  /** Returns the time of a peer's last message in milliseconds on the steady clock, or `-Infinity` before the first one. */
  getLastMessageAtMs(member: string): number {
    return this.lastMessageTimesMs.get(member) ?? -Infinity;
  }

  /** Whether a peer has recently sent a message. */
  isAlive(member: string): boolean {
    return this.nowMs() - this.getLastMessageAtMs(member) < DEAD_AFTER_MS;
  }

  /** Whether at least one peer is alive. */
  hasAlivePeer(): boolean {
    return this.peers.some((peer) => this.isAlive(peer.member));
  }

  /** Whether at least one peer that is alive announces itself as eligible to lead. */
  hasEligiblePeer(): boolean {
    return [...this.eligibleMembers].some((member) => this.isAlive(member));
  }

  /**
   * Whether a peer announces itself as eligible to lead, is not suspect, and has sent messages without becoming suspect for
   * more than `durationMs` milliseconds.
   */
  isStablyEligible(member: string, durationMs: number): boolean {
    const nowMs = this.nowMs();
    return (
      this.eligibleMembers.has(member) &&
      nowMs - (this.aliveSinceMs.get(member) ?? Infinity) > durationMs &&
      nowMs - this.getLastMessageAtMs(member) < SUSPECT_AFTER_MS
    );
  }

  /** Lists the names of the alive peers in a zone that are the leader or relay heartbeats to the leader, in a fixed order. */
  listHeartbeatTargets(zone: string, leader: string): string[] {
    const acceptsHeartbeats = ({ member }: Peer): boolean =>
      this.isAlive(member) && (member === leader || this.relayTargets.get(member) === leader);
    return this.peers
      .filter((peer) => peer.zone === zone && acceptsHeartbeats(peer))
      .map((peer) => peer.member);
  }

  /** Whether a zone has other controllers and all of them are suspect. */
  isZoneSuspect(zone: string): boolean {
    const peersInZone = this.peers.filter((peer) => peer.zone === zone);
    if (peersInZone.length === 0) return false;
    const nowMs = this.nowMs();
    return peersInZone.every((peer) => nowMs - this.getLastMessageAtMs(peer.member) > SUSPECT_AFTER_MS);
  }
}
