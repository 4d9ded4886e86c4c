/** Tracks which leader a process sees, and since when. Roles follow a change of leader with a delay. */
import { TRANSFER_BACK_DELAY_MS, TRANSFER_TO_LEADER_DELAY_MS } from './constants.js';
import type { CurrentLeader, Revision } from './ports.js';

/** Observes the leader's key, and decides when a role should be transferred to the leader. */
export class LeaderTracker {
  /** The latest observed term, by the revision of the leader's key, and the time at which it was first observed. */
  private observedTerm: { readonly modRevision: Revision; readonly sinceMs: number } | undefined;

  /** `member` is this controller's name. `readLeader` returns the leader as the local replica shows it. */
  constructor(
    private readonly member: string,
    private readonly readLeader: () => CurrentLeader | undefined,
  ) {}

  /** Returns the current leader, or undefined if there is none. */
  currentLeader(): CurrentLeader | undefined {
    return this.readLeader();
  }

  /** Time of the steady clock at which the latest term was first observed. It is undefined before the first one. */
  get observedSinceMs(): number | undefined {
    return this.observedTerm?.sinceMs;
  }

  /** Whether `leader` is this controller. */
  isSelf(leader: CurrentLeader): boolean {
    return leader.member === this.member;
  }

  /** Records the current term if it is a new one. */
  observe(nowMs: number): void {
    const modRevision = this.readLeader()?.fence.modRevision;
    if (modRevision !== undefined && modRevision !== this.observedTerm?.modRevision)
      this.observedTerm = { modRevision, sinceMs: nowMs };
  }

  /** Whether another controller leads, delegates to role holders, and has led for long enough to be given a role. */
  acceptsTransfers(nowMs: number): boolean {
    const leader = this.readLeader();
    if (!leader || !this.observedTerm) return false;
    if (this.isSelf(leader) || !leader.delegatesCloudCalls) return false;
    return nowMs - this.observedTerm.sinceMs >= TRANSFER_TO_LEADER_DELAY_MS;
  }

  /**
   * Whether a role that this process has held since `heldSinceMs` should be transferred to the leader. A leader whose
   * term began before that time could not hold the role itself, so it is given the role back only after a longer delay.
   */
  isTransferDue(heldSinceMs: number, nowMs: number): boolean {
    if (!this.observedTerm) return false;
    return this.observedTerm.sinceMs > heldSinceMs || nowMs - heldSinceMs > TRANSFER_BACK_DELAY_MS;
  }
}
