/** Manages the leader of this controller, which is built when a term begins and discarded when the term ends. */
import { sleep } from '@pumicehinge/runtime';
import { STATE_RETRY_DELAY_MS } from '../constants.js';
import type { LeadershipTerm } from '../election/leadership-term.js';
import { RelayRedirector } from '../workers/relay-redirector.js';
import { Leader } from './leader.js';
import type { LeaderDependencies } from './leader-dependencies.js';

/** Dependencies of `Leadership`: those of each leader, and a check whether its term is still held. */
export interface LeadershipDependencies extends Omit<LeaderDependencies, 'term'> {
  /** Whether this controller still holds the term. */
  readonly isCurrentTerm: (term: LeadershipTerm) => boolean;
}

/** Holds the leader of the current term, if this controller has one. */
export class Leadership {
  private currentLeader: Leader | undefined;
  private currentRedirector: RelayRedirector | undefined;

  constructor(private readonly dependencies: LeadershipDependencies) {}

  /** The leader of the current term. Undefined until the leader is ready, and while this controller holds no term. */
  get leader(): Leader | undefined {
    return this.currentLeader;
  }

  /** Redirects heartbeats from the leader to other controllers. Undefined while there is no leader here. */
  get relayRedirector(): RelayRedirector | undefined {
    return this.currentRedirector;
  }

  /**
   * Builds the leader once the replica holds everything that earlier terms wrote. No leader is built if the term ends
   * before that.
   */
  async beginTerm(term: LeadershipTerm): Promise<void> {
    const { isCurrentTerm, ...leaderDependencies } = this.dependencies;
    const { replica, clock } = this.dependencies;
    for (;;) {
      try {
        await replica.linearizableRead();
        break;
      } catch {
        // The read is repeated after any failure, because nothing may be decided without it.
        await sleep(clock, STATE_RETRY_DELAY_MS);
      }
    }
    if (!isCurrentTerm(term)) return;
    this.currentRedirector = new RelayRedirector(clock.steadyMs());
    this.currentLeader = new Leader({ ...leaderDependencies, term });
  }

  /** Stops and discards the leader. */
  endTerm(): void {
    this.currentLeader?.stop();
    this.currentLeader = undefined;
    this.currentRedirector = undefined;
  }
}
