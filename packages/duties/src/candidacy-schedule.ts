/** Decides when this process becomes a candidate for a vacant role. */
import {
  CANDIDACY_DELAY_PER_HELD_ROLE_MS,
  CANDIDACY_JITTER_MS,
  LEADER_HEAD_START_MS,
  RESIGNATION_COOLDOWN_MS,
  NEW_TERM_CANDIDACY_DELAY_MS,
} from './constants.js';
import type { LeaderTracker } from './leader-tracker.js';
import { LEADER_PREFERRED_ROLES, type Role } from './roles.js';

/** Dependencies of `CandidacySchedule`. */
export interface CandidacyScheduleOptions {
  readonly leaderTracker: LeaderTracker;
  /** Returns the number of roles that this process holds. */
  readonly countHeldRoles: () => number;
  /** Returns a random number, uniformly distributed in [0, 1). */
  readonly random: () => number;
}

/** A role that nobody holds. */
interface Vacancy {
  /** Time of the process's steady clock at which the vacancy was first seen. */
  readonly sinceMs: number;
  readonly jitterMs: number;
}

/**
 * Chooses the vacant role to campaign for. A controller that holds fewer roles campaigns earlier, so the roles spread
 * over the controllers. The leader gets a head start for the roles that it should hold itself.
 */
export class CandidacySchedule {
  private readonly vacancies = new Map<Role, Vacancy>();
  private readonly cooldownEndMs = new Map<Role, number>();

  /** Creates a schedule that knows of no vacant role yet. */
  constructor(private readonly options: CandidacyScheduleOptions) {}

  /** Records that nobody holds the role. */
  recordVacant(role: Role, nowMs: number): void {
    const jitterMs = this.options.random() * CANDIDACY_JITTER_MS;
    if (!this.vacancies.has(role)) this.vacancies.set(role, { sinceMs: nowMs, jitterMs });
  }

  /** Records that some process holds the role. */
  recordHeld(role: Role): void {
    this.vacancies.delete(role);
  }

  /**
   * Records that this process resigned the role. It does not campaign for the role again before a cooldown has passed.
   */
  recordResigned(role: Role, nowMs: number): void {
    this.cooldownEndMs.set(role, nowMs + RESIGNATION_COOLDOWN_MS);
  }

  /** Returns a vacant role to campaign for now, or undefined. If several are due, one of them is chosen at random. */
  pickDueRole(nowMs: number): Role | undefined {
    const dueVacancies = [...this.vacancies].filter(([role, vacancy]) => this.isDue(role, vacancy, nowMs));
    return dueVacancies[Math.floor(this.options.random() * dueVacancies.length)]?.[0];
  }

  private isDue(role: Role, { sinceMs, jitterMs }: Vacancy, nowMs: number): boolean {
    const waitedMs = nowMs - Math.max(sinceMs, this.candidaciesOpenSinceMs(role));
    if (waitedMs < this.candidacyDelayMs(role) + jitterMs) return false;
    return nowMs >= (this.cooldownEndMs.get(role) ?? -Infinity);
  }

  /**
   * The time from which candidacies for the role are allowed. It is never reached while there is no leader, because
   * then nobody requests intents, nor under a leader of an earlier version, which makes all calls to the cloud itself.
   */
  private candidaciesOpenSinceMs(role: Role): number {
    const { leaderTracker } = this.options;
    const currentLeader = leaderTracker.currentLeader();
    const observedSinceMs = leaderTracker.observedSinceMs;
    if (!currentLeader?.delegatesCloudCalls || observedSinceMs === undefined) return Infinity;
    const isPreferredHolder = leaderTracker.isSelf(currentLeader) && LEADER_PREFERRED_ROLES.includes(role);
    return observedSinceMs + (isPreferredHolder ? 0 : NEW_TERM_CANDIDACY_DELAY_MS);
  }

  private candidacyDelayMs(role: Role): number {
    const { leaderTracker, countHeldRoles } = this.options;
    const currentLeader = leaderTracker.currentLeader();
    const heldRolesDelayMs = (): number => countHeldRoles() * CANDIDACY_DELAY_PER_HELD_ROLE_MS;
    if (!currentLeader || !LEADER_PREFERRED_ROLES.includes(role)) return heldRolesDelayMs();
    return leaderTracker.isSelf(currentLeader) ? 0 : LEADER_HEAD_START_MS + heldRolesDelayMs();
  }
}
