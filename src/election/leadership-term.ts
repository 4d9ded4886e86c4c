/** The term of a leader, which the election passes to the components that act as leader. */
import type { WireInt } from '../wire/json.js';
import type { LeadershipAuthority } from './leadership-authority.js';

/** A term in which this controller leads. */
export interface LeadershipTerm {
  /** Number of the term. It increases with each term, so that workers reject commands of former leaders. */
  readonly fencingToken: number;
  /** Revision at which the leader's key was written. Every write of this term is conditional on it. */
  readonly leaderKeyRevision: WireInt;
  /** Tracks until when this controller may act as the leader of this term. */
  readonly authority: LeadershipAuthority;
}

/** Callbacks for the start and the end of the leadership of this controller. */
export interface LeadershipCallbacks {
  /** Called when this controller becomes leader for the given term. */
  onElected(term: LeadershipTerm): void;
  /** Called when the most recent term passed to `onElected` has ended. */
  onLeadershipLost(): void;
}
