/** Tracks how much of its quota each team may still use. */
import type { ClusterState, Job } from '../cluster/cluster-state.js';
import { addResources, type MutableResources, type Resources } from '../cluster/resources.js';
import { countTasksWithinQuota, type TeamQuota } from './team-quota.js';

/** The dependencies of `QuotaTracker`. */
export interface QuotaTrackerDependencies {
  readonly clusterState: ClusterState;
  /** All jobs by uid. */
  readonly jobs: ReadonlyMap<string, Job>;
  /** Quotas by team name. */
  readonly quotas: ReadonlyMap<string, TeamQuota>;
  /** Whether every node of earlier terms is reconciled. */
  readonly isReconciled: () => boolean;
}

/** Checks jobs against the quotas of their teams. */
export class QuotaTracker {
  /** Resources per team that may be in use on nodes that are not reconciled yet. */
  private readonly unreconciledUsage = new Map<string, MutableResources>();

  constructor(private readonly dependencies: QuotaTrackerDependencies) {}

  /**
   * Recounts the resources that may be in use on unreconciled nodes. All pending tasks of jobs that may have started in
   * an earlier term count. Must be called at the beginning of each scheduling cycle.
   */
  recountUnreconciledUsage(): void {
    this.unreconciledUsage.clear();
    if (this.dependencies.isReconciled()) return;
    for (const { spec, startedInEarlierTerm, pendingTaskCount } of this.dependencies.jobs.values()) {
      if (!startedInEarlierTerm) continue;
      const usage = this.unreconciledUsage.get(spec.team) ?? { cpus: 0, accelerators: 0, memGb: 0 };
      this.unreconciledUsage.set(spec.team, usage);
      usage.cpus += pendingTaskCount * spec.cpus;
      usage.accelerators += pendingTaskCount * spec.accelerators;
    }
  }

  /**
   * Returns how many more tasks of the job its team may run. The resources that may be in use on unreconciled nodes
   * count as used, and so does `plannedUsage`, which is reserved for other tasks of the team.
   */
  countRemainingTasks(job: Job, plannedUsage?: Resources): number {
    const { team } = job.spec;
    const quota = this.dependencies.quotas.get(team);
    if (!quota) return 0;
    const used = { ...this.dependencies.clusterState.getTeamUsage(team) };
    if (plannedUsage) addResources(used, plannedUsage, 1);
    const unreconciled = this.unreconciledUsage.get(team);
    if (unreconciled) addResources(used, unreconciled, 1);
    return countTasksWithinQuota(quota, used, job.spec);
  }

  /** Whether the job's team would still use all its guaranteed processor cores without one of the job's tasks. */
  exceedsGuarantee({ spec }: Job): boolean {
    const quota = this.dependencies.quotas.get(spec.team);
    if (!quota) return false;
    return this.dependencies.clusterState.getTeamUsage(spec.team).cpus - spec.cpus >= quota.guaranteedCpus;
  }
}
