/** Keeps capacity that was made by preemption for the job that it was made for. */
import type { Job, Node } from '../cluster/cluster-state.js';
import { PREEMPTION_RESERVATION_MS } from '../constants.js';

/** Room for one task of a job on a node. */
export interface PreemptionReservation {
  readonly job: Job;
  readonly node: Node;
  /** Steady time, in milliseconds, after which the room is not kept any more. */
  readonly expiryMs: number;
}

/**
 * Holds the reservations of a term. A job may preempt tasks of a job that precedes it in the scheduling order, because a
 * guarantee outweighs a rank. Without a reservation, the preempted task would be placed in the same room again.
 */
export class PreemptionReservations {
  private reservations: PreemptionReservation[] = [];

  /** Keeps room for one task of the job. `graceS` is the time in seconds that the preempted tasks may take to stop. */
  add(job: Job, node: Node, graceS: number, nowMs: number): void {
    this.reservations.push({ job, node, expiryMs: nowMs + graceS * 1000 + PREEMPTION_RESERVATION_MS });
  }

  /** Removes a reservation whose task has been placed. */
  remove(reservation: PreemptionReservation): void {
    this.reservations = this.reservations.filter((other) => other !== reservation);
  }

  /** Returns the reservations that are still needed, the oldest first. */
  listCurrent(nowMs: number): readonly PreemptionReservation[] {
    this.reservations = this.reservations.filter(
      ({ job, expiryMs }) => nowMs < expiryMs && job.isOpen && job.pendingTaskCount > 0,
    );
    return this.reservations;
  }
}
