/** Stops running tasks of lower rank, or of teams that exceed their guarantee, for waiting jobs. */
import type { Logger } from 'pino';
import {
  formatTaskName,
  type Attempt,
  type ClusterState,
  type Job,
  type Node,
} from '../cluster/cluster-state.js';
import { reserveTask } from '../cluster/resources.js';
import {
  MISSED_DEADLINE_PENALTY_S,
  PREEMPTION_WAIT_MS,
  PROD_PREEMPTION_WAIT_MS,
  SCALE_OUT_MIN_INTERVAL_MS,
} from '../constants.js';
import { RANKS } from '../state/records.js';
import { FreeCapacityIndex } from './free-capacity-index.js';
import type { NodeCapacity } from './node-filter.js';
import { allowsZone } from './placement-constraints.js';
import type { PreemptionReservations } from './preemption-reservations.js';
import { compareByCost, rankPreemptions, type JobAttempt, type Preemption } from './preemption.js';
import { PreemptionSearch, type PreemptionScope } from './preemption-search.js';
import type { QuotaTracker } from './quota-tracker.js';
import {
  estimateImagePullS,
  estimateRemainingRunS,
  getTimeToDeadlineS,
  type ImagePullRate,
} from './time-estimates.js';

/** The dependencies of `Preemptor`. */
export interface PreemptorDependencies {
  readonly clusterState: ClusterState;
  /** Returns the instance types by name. */
  readonly instanceTypes: () => ReadonlyMap<string, ImagePullRate>;
  readonly quotaTracker: QuotaTracker;
  readonly reservations: Pick<PreemptionReservations, 'add'>;
  /** Returns the free resources of those of the given nodes on which new tasks may be placed. */
  readonly findFreeCapacity: (nodes: Iterable<Node>, nowMs: number) => NodeCapacity[];
  /** Returns the current wall time in milliseconds. */
  readonly wallMs: () => number;
  /** Stops a task after a grace period, in seconds, in which the task can save a checkpoint. */
  readonly stopTask: (attempt: Attempt, gracePeriodS: number) => void;
  readonly log: Logger;
}

/** Makes capacity for waiting jobs by preempting tasks of other jobs. */
export class Preemptor {
  /** Steady time, in milliseconds, at which waiting jobs of all ranks were last considered. */
  private lastFullSearchMs = -Infinity;

  constructor(private readonly dependencies: PreemptorDependencies) {}

  /**
   * Stops tasks for the waiting jobs, in their order. Jobs of rank `prod` are considered each time, and all other jobs
   * only at a minimum interval. `withinGuarantee` contains the jobs that are within their team's guarantee.
   */
  preempt(
    openJobs: readonly Job[],
    waitingJobs: readonly Job[],
    withinGuarantee: ReadonlySet<Job>,
    nowMs: number,
  ): void {
    const isFullSearch = nowMs - this.lastFullSearchMs >= SCALE_OUT_MIN_INTERVAL_MS;
    if (isFullSearch) this.lastFullSearchMs = nowMs;
    const search = new PreemptionSearch(openJobs, (job, victim) =>
      this.mayPreempt(job, victim, withinGuarantee),
    );
    let nodes: FreeCapacityIndex | undefined;
    for (const job of waitingJobs) {
      if (!isDueForPreemption(job, isFullSearch, nowMs)) continue;
      const scope = search.getScope(job, withinGuarantee.has(job));
      // Replicas that wait for a zone without nodes must not cause a search of all other zones.
      if (scope.victims.size === 0 || !this.hasZoneToSearch(job, scope)) continue;
      nodes ??= new FreeCapacityIndex(
        this.dependencies.findFreeCapacity(this.dependencies.clusterState.nodes.values(), nowMs),
      );
      this.preemptForJob(job, scope, nodes, nowMs);
    }
  }

  /** Whether the job may use a zone that has nodes and is not known to be exhausted. */
  private hasZoneToSearch(job: Job, scope: PreemptionScope): boolean {
    for (const zone of this.dependencies.clusterState.nodeCountByZone.keys())
      if (allowsZone(job.spec, job.allocationsPerZone, zone) && !scope.isZoneExhausted(zone, job.spec))
        return true;
    return false;
  }

  private preemptForJob(job: Job, scope: PreemptionScope, nodes: FreeCapacityIndex, nowMs: number): void {
    let remainingTasks = Math.min(
      job.pendingTaskCount,
      this.dependencies.quotaTracker.countRemainingTasks(job),
    );
    if (remainingTasks <= 0) return;
    const allocationsPerZone = new Map(job.allocationsPerZone);
    for (const preemption of this.findPreemptions(job, scope, nodes, nowMs)) {
      if (remainingTasks-- <= 0) return;
      const { zone } = preemption.nodeCapacity.node;
      if (!allowsZone(job.spec, allocationsPerZone, zone)) continue;
      this.execute(preemption, job, nowMs);
      allocationsPerZone.set(zone, (allocationsPerZone.get(zone) ?? 0) + 1);
    }
  }

  /** Returns the preemptions that give capacity to the job's tasks, cheapest first. */
  private findPreemptions(
    job: Job,
    scope: PreemptionScope,
    nodes: FreeCapacityIndex,
    nowMs: number,
  ): Preemption[] {
    const policy = {
      estimateImagePullS: (node: Node) =>
        estimateImagePullS(node, job.spec, this.dependencies.instanceTypes()),
      mayPreempt: (victim: Job) => scope.victims.has(victim),
      computeStopCostS: (victim: JobAttempt) => this.computeStopCostS(victim, nowMs),
    };
    const preemptions: Preemption[] = [];
    for (const zone of nodes.zones) {
      if (!allowsZone(job.spec, job.allocationsPerZone, zone) || scope.isZoneExhausted(zone, job.spec))
        continue;
      const preemptionsInZone = rankPreemptions(job, nodes.getNodesInZone(zone), policy);
      if (preemptionsInZone.length === 0) scope.recordExhaustedZone(zone, job.spec);
      preemptions.push(...preemptionsInZone);
    }
    return preemptions.sort(compareByCost);
  }

  private execute({ nodeCapacity, victims }: Preemption, job: Job, nowMs: number): void {
    // The capacity is reserved for the waiting task during this search. The next search counts it as free again.
    reserveTask(nodeCapacity.free, job.spec);
    if (victims.some((victim) => outranks(victim.job, job))) {
      const graceS = Math.max(...victims.map((victim) => victim.job.spec.checkpointS));
      this.dependencies.reservations.add(job, nodeCapacity.node, graceS, nowMs);
    }
    for (const victim of victims) {
      this.dependencies.log.info({ task: formatTaskName(victim), for: job.uid }, 'task preempted');
      this.dependencies.stopTask(victim, victim.job.spec.checkpointS);
    }
  }

  /**
   * Computes the cost of stopping a task, in seconds. The cost is the time that the task has run, plus a penalty if its
   * job could still meet its deadline but would miss it after the stop.
   */
  private computeStopCostS(victim: JobAttempt, nowMs: number): number {
    const elapsedRunS = (nowMs - victim.startedMs) / 1000;
    const timeToDeadlineS = getTimeToDeadlineS(victim.job, this.dependencies.wallMs());
    const wouldMissDeadline =
      timeToDeadlineS >= estimateRemainingRunS(victim, nowMs) &&
      timeToDeadlineS < victim.job.progress.expectedRunTimeS;
    return elapsedRunS + (wouldMissDeadline ? MISSED_DEADLINE_PENALTY_S : 0);
  }

  private mayPreempt(job: Job, victim: Job, withinGuarantee: ReadonlySet<Job>): boolean {
    const isSameTeam = victim.spec.team === job.spec.team;
    // A team that borrows must give capacity back, whatever the ranks. Its job may not take it again.
    const isGuaranteed = !isSameTeam && withinGuarantee.has(victim) && !withinGuarantee.has(job);
    if (outranks(job, victim)) return !isGuaranteed;
    if (!withinGuarantee.has(job) || isSameTeam || withinGuarantee.has(victim)) return false;
    return this.dependencies.quotaTracker.exceedsGuarantee(victim);
  }
}

/** Whether the rank of the first job is higher than that of the second one. */
function outranks(first: Job, second: Job): boolean {
  return RANKS.indexOf(first.rank) < RANKS.indexOf(second.rank);
}

function isDueForPreemption(job: Job, isFullSearch: boolean, nowMs: number): boolean {
  const isProduction = job.rank === 'prod';
  if (!isProduction && !isFullSearch) return false;
  return (
    nowMs - job.queueTimes.pendingSinceMs >= (isProduction ? PROD_PREEMPTION_WAIT_MS : PREEMPTION_WAIT_MS)
  );
}
