import type { Job } from '../pipeline/job.js';
import { LackingRoom } from './lacking-room.js';

/** What jobs of one rank, team and standing to the guarantee may stop, and where that was found to be not enough. */
export class Claim {
  private readonly lacking = new Map<string, LackingRoom>();

  constructor(readonly victims: ReadonlySet<Job>) {}

  /** Whether no machine of the zone can be cleared for such a task, by what was seen in this look. */
  lacksRoomIn(zone: string, spec: Job['spec']): boolean {
    return this.lacking.get(zone)?.covers(spec) ?? false;
  }

  /** In this zone nothing can be cleared for such a task. */
  noteLacking(zone: string, spec: Job['spec']): void {
    let lacking = this.lacking.get(zone);
    if (!lacking) this.lacking.set(zone, (lacking = new LackingRoom()));
    lacking.note(spec);
  }
}

/**
 * One look at what may be stopped for waiting jobs. What can be cleared only shrinks during a look, so hundreds of jobs
 * that are alike cost one search through the machines, not one each.
 */
export class PreemptionLook {
  private readonly claims = new Map<string, Claim>();

  constructor(
    private readonly open: Job[],
    private readonly mayPreempt: (job: Job, victim: Job) => boolean,
  ) {}

  /** The claim that a job shares with all others of its rank and team. */
  claimOf(job: Job, isWithinGuarantee: boolean): Claim {
    const key = `${job.rank}/${job.spec.team}/${isWithinGuarantee}`;
    let claim = this.claims.get(key);
    if (!claim) {
      const victims = this.open.filter((victim) => victim.bound.size > 0 && this.mayPreempt(job, victim));
      this.claims.set(key, (claim = new Claim(new Set(victims))));
    }
    return claim;
  }
}
