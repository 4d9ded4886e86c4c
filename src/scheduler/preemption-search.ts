/** Caches the results of one search for preemptions, so that equal jobs share them. */
import type { Job } from '../cluster/cluster-state.js';
import type { JobSpec } from '../state/records.js';
import { UnschedulableRequests } from './unschedulable-requests.js';

/**
 * The jobs that a group of waiting jobs may preempt, and the zones in which preempting them was found to be
 * insufficient. The waiting jobs of a group have the same rank and team, and all or none of them are within the team's
 * guarantee.
 */
export class PreemptionScope {
  private readonly unschedulableByZone = new Map<string, UnschedulableRequests>();

  /** Creates a scope. `victims` are the jobs whose tasks may be stopped. */
  constructor(readonly victims: ReadonlySet<Job>) {}

  /** Whether it is known that preemption can't free enough capacity for such a task on any node of the zone. */
  isZoneExhausted(zone: string, spec: JobSpec): boolean {
    return this.unschedulableByZone.get(zone)?.covers(spec) ?? false;
  }

  /** Records that preemption can't free enough capacity for such a task on any node of the zone. */
  recordExhaustedZone(zone: string, spec: JobSpec): void {
    let unschedulableRequests = this.unschedulableByZone.get(zone);
    if (!unschedulableRequests)
      this.unschedulableByZone.set(zone, (unschedulableRequests = new UnschedulableRequests()));
    unschedulableRequests.record(spec);
  }
}

/**
 * One search for tasks that may be preempted for waiting jobs. The capacity that preemption can free only shrinks
 * during a search. Hundreds of similar jobs therefore need one search through the nodes in total, and not one each.
 */
export class PreemptionSearch {
  private readonly scopesByKey = new Map<string, PreemptionScope>();

  constructor(
    private readonly openJobs: readonly Job[],
    private readonly mayPreempt: (job: Job, victim: Job) => boolean,
  ) {}

  /**
   * Returns the scope of a job. The job shares it with all other jobs of the same rank and team that are also within,
   * or also not within, the team's guarantee.
   */
  getScope(job: Job, isWithinGuarantee: boolean): PreemptionScope {
    const key = `${job.rank}/${job.spec.team}/${isWithinGuarantee}`;
    let scope = this.scopesByKey.get(key);
    if (!scope) {
      const victims = this.openJobs.filter(
        (victim) => victim.attemptByTask.size > 0 && this.mayPreempt(job, victim),
      );
      this.scopesByKey.set(key, (scope = new PreemptionScope(new Set(victims))));
    }
    return scope;
  }
}
