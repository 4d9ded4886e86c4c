import { PEER_BEAT_MS } from '../constants.js';
import type { PeerMessage } from './peer-codec.js';
import type { Peer } from './peers.js';

/** Heartbeat intervals without a message after which another controller is not counted on any more. */
const HEARD_BEATS = 3;
/** Heartbeat intervals without a message after which it may be cut off. */
const SILENT_BEATS = 2;

/** What is known of the other controllers from their messages: whether they are heard, could lead, and relay for whom. */
export class PeerPresence {
  private readonly heardMs = new Map<string, number>();
  /** Since when each is heard of without a gap. */
  private readonly upSinceMs = new Map<string, number>();
  /** Those that say that they could lead. */
  private readonly able = new Set<string>();
  /** The leader to which each would relay reports. */
  private readonly relays = new Map<string, string | null>();

  constructor(
    private readonly peers: readonly Peer[],
    private readonly nowMs: () => number,
  ) {}

  /** Any message shows that its sender is there. */
  noteMessage(member: string): void {
    const now = this.nowMs();
    if (now - this.heardOfMs(member) > SILENT_BEATS * PEER_BEAT_MS) this.upSinceMs.set(member, now);
    this.heardMs.set(member, now);
  }

  noteAbility(member: string, { able, relays }: Extract<PeerMessage, { kind: 'able' }>): void {
    if (able) this.able.add(member);
    else this.able.delete(member);
    this.relays.set(member, relays);
  }

  /** Steady ms at which another controller was last heard of. */
  heardOfMs(member: string): number {
    return this.heardMs.get(member) ?? -Infinity;
  }

  hears(member: string): boolean {
    return this.nowMs() - this.heardOfMs(member) < HEARD_BEATS * PEER_BEAT_MS;
  }

  hearsAnyone(): boolean {
    return this.peers.some((peer) => this.hears(peer.member));
  }

  /** Whether a controller that is heard of says that it could lead. */
  hearsAbleOne(): boolean {
    return [...this.able].some((member) => this.hears(member));
  }

  /** Whether it says that it could lead, is heard of right now, and has been for this long. */
  isReadyToLead(member: string, forMs: number): boolean {
    const now = this.nowMs();
    return (
      this.able.has(member) &&
      now - (this.upSinceMs.get(member) ?? Infinity) > forMs &&
      now - this.heardOfMs(member) < SILENT_BEATS * PEER_BEAT_MS
    );
  }

  /** The controllers of a zone that take reports for the leader, or lead; in a fixed order. */
  reportTargets(zone: string, leader: string): string[] {
    const takes = ({ member }: Peer): boolean =>
      this.hears(member) && (member === leader || this.relays.get(member) === leader);
    return this.peers.filter((peer) => peer.zone === zone && takes(peer)).map((peer) => peer.member);
  }

  /** Whether a zone has other controllers and none of them was heard of lately. */
  isZoneSilent(zone: string): boolean {
    const there = this.peers.filter((peer) => peer.zone === zone);
    if (there.length === 0) return false;
    const now = this.nowMs();
    return there.every((peer) => now - this.heardOfMs(peer.member) > SILENT_BEATS * PEER_BEAT_MS);
  }
}
