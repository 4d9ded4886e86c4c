/** The scheduler places waiting tasks on nodes by filtering and scoring, within the quotas of their teams. */
import type { Logger } from 'pino';
import type { Attempt, ClusterState, Job, Node } from '../cluster/cluster-state.js';
import type { NodeHealth } from '../cluster/node-health.js';
import { reserveTask, type Resources } from '../cluster/resources.js';
import { MIN_START_LIMIT_PER_CYCLE } from '../constants.js';
import type { AttemptNumberGenerator } from './attempt-numbers.js';
import { FreeCapacityIndex } from './free-capacity-index.js';
import { isFeasible, type NodeCapacity } from './node-filter.js';
import { scoreNodes, type PlacementRequest } from './node-scoring.js';
import { allowsZone, fits } from './placement-constraints.js';
import { PreemptionReservations, type PreemptionReservation } from './preemption-reservations.js';
import { Preemptor } from './preemptor.js';
import { QuotaTracker } from './quota-tracker.js';
import type { TeamQuota } from './team-quota.js';
import { estimateImagePullS, type ImagePullRate } from './time-estimates.js';
import { UnschedulableRequests } from './unschedulable-requests.js';

/** The dependencies of `Scheduler`. */
export interface SchedulerDependencies {
  readonly clusterState: ClusterState;
  readonly nodeHealth: NodeHealth;
  /** All jobs by uid. */
  readonly jobs: ReadonlyMap<string, Job>;
  /** Quotas by team name. */
  readonly quotas: ReadonlyMap<string, TeamQuota>;
  /** Issues the attempt numbers of this term. */
  readonly attemptNumbers: AttemptNumberGenerator;
  /** Returns the instance types by name. */
  readonly instanceTypes: () => ReadonlyMap<string, ImagePullRate>;
  /** Whether every node of earlier terms is reconciled. */
  readonly isReconciled: () => boolean;
  /** Returns the current wall time in milliseconds. */
  readonly wallMs: () => number;
  /** Stops a task after a grace period, in seconds, in which the task can save a checkpoint. */
  readonly stopTask: (attempt: Attempt, gracePeriodS: number) => void;
  readonly log: Logger;
}

/** The remaining free capacity and the intermediate results of one scheduling cycle. */
interface SchedulingCycleState {
  readonly nodes: FreeCapacityIndex;
  readonly unschedulableRequests: UnschedulableRequests;
  remainingStarts: number;
}

/** Places waiting tasks on nodes with free capacity, and preempts other tasks for them if that is allowed. */
export class Scheduler {
  private readonly quotaTracker: QuotaTracker;
  private readonly preemptor: Preemptor;
  private readonly reservations = new PreemptionReservations();
  private isStartLimitReached = false;

  constructor(private readonly dependencies: SchedulerDependencies) {
    this.quotaTracker = new QuotaTracker(dependencies);
    this.preemptor = new Preemptor({
      clusterState: dependencies.clusterState,
      instanceTypes: dependencies.instanceTypes,
      quotaTracker: this.quotaTracker,
      reservations: this.reservations,
      findFreeCapacity: (nodes, nowMs) => this.findFreeCapacity(nodes, nowMs),
      wallMs: dependencies.wallMs,
      stopTask: dependencies.stopTask,
      log: dependencies.log,
    });
  }

  /** Whether a new term must begin because the attempt numbers of this term are running out. */
  get needsNewTerm(): boolean {
    return this.dependencies.attemptNumbers.areRunningOut;
  }

  /**
   * Whether the last scheduling cycle started as many tasks as one cycle may start. Waiting jobs may then find free
   * capacity in the next cycle.
   */
  get hasReachedStartLimit(): boolean {
    return this.isStartLimitReached;
  }

  /** Returns how many more tasks of the job its team's quota allows if `plannedUsage` is reserved for other tasks. */
  countTasksWithinQuota(job: Job, plannedUsage?: Resources): number {
    return this.quotaTracker.countRemainingTasks(job, plannedUsage);
  }

  /**
   * Plans attempts for the jobs' waiting tasks, in the order of the jobs. Visits each node and each job once,
   * regardless of the number of waiting tasks. Returns the jobs that still wait for capacity.
   */
  schedule(openJobs: readonly Job[], nowMs: number): Job[] {
    this.quotaTracker.recountUnreconciledUsage();
    const cycle = this.beginCycle(nowMs);
    this.applyReservations(cycle, nowMs);
    const waitingJobs: Job[] = [];
    for (const job of openJobs) {
      const mayStart = this.mayStart(job, nowMs);
      if (mayStart) this.placeJob(job, cycle, nowMs);
      if (mayStart && job.pendingTaskCount > 0) {
        job.queueTimes.recordPending(job.attemptByTask.size, nowMs);
        waitingJobs.push(job);
      } else {
        job.queueTimes.recordNotPending();
      }
    }
    this.isStartLimitReached = cycle.remainingStarts <= 0;
    return waitingJobs;
  }

  /**
   * Preempts tasks for the waiting jobs if that is allowed. `withinGuarantee` contains the jobs that are within their
   * team's guarantee.
   */
  preempt(
    openJobs: readonly Job[],
    waitingJobs: readonly Job[],
    withinGuarantee: ReadonlySet<Job>,
    nowMs: number,
  ): void {
    this.preemptor.preempt(openJobs, waitingJobs, withinGuarantee, nowMs);
  }

  private beginCycle(nowMs: number): SchedulingCycleState {
    const { nodesWithFreeCapacity } = this.dependencies.clusterState;
    return {
      nodes: new FreeCapacityIndex(this.findFreeCapacity(nodesWithFreeCapacity, nowMs)),
      unschedulableRequests: new UnschedulableRequests(),
      remainingStarts: Math.max(MIN_START_LIMIT_PER_CYCLE, nodesWithFreeCapacity.size),
    };
  }

  /** Returns the free room on those of the given nodes on which new tasks may be placed. */
  private findFreeCapacity(nodes: Iterable<Node>, nowMs: number): NodeCapacity[] {
    const capacities: NodeCapacity[] = [];
    for (const node of nodes) {
      if (node.isPersistedAsUsed && this.dependencies.nodeHealth.isSchedulable(node, nowMs))
        capacities.push({ node, free: this.dependencies.clusterState.computeFreeCapacity(node) });
    }
    return capacities;
  }

  /**
   * Whether tasks of the job may start. They must not start while the job backs off after a failure, or while its tasks
   * may still run on unreconciled nodes.
   */
  private mayStart(job: Job, nowMs: number): boolean {
    if (nowMs < job.progress.earliestStartMs) return false;
    return this.dependencies.isReconciled() || !job.startedInEarlierTerm;
  }

  /** Places the tasks for which room is kept, and keeps the room for those that do not fit yet. */
  private applyReservations(cycle: SchedulingCycleState, nowMs: number): void {
    for (const reservation of this.reservations.listCurrent(nowMs)) {
      const nodeCapacity = cycle.nodes.findNode(reservation.node);
      if (!nodeCapacity) continue;
      if (this.mayPlaceReserved(reservation, nodeCapacity, nowMs)) {
        const { job, node } = reservation;
        this.planStart(job, job.findNextPendingTask(), node, nowMs);
        this.reservations.remove(reservation);
      }
      reserveTask(nodeCapacity.free, reservation.job.spec);
    }
  }

  private mayPlaceReserved(
    { job }: PreemptionReservation,
    nodeCapacity: NodeCapacity,
    nowMs: number,
  ): boolean {
    return (
      this.mayStart(job, nowMs) &&
      job.findNextPendingTask() >= 0 &&
      this.quotaTracker.countRemainingTasks(job) > 0 &&
      isFeasible(job.spec, nodeCapacity) &&
      allowsZone(job.spec, job.allocationsPerZone, nodeCapacity.node.zone)
    );
  }

  /** Places as many tasks of the job as its team's quota, the limit of the cycle and the nodes allow. */
  private placeJob(job: Job, cycle: SchedulingCycleState, nowMs: number): void {
    const maxStarts = Math.min(this.quotaTracker.countRemainingTasks(job), cycle.remainingStarts);
    if (maxStarts <= 0 || cycle.unschedulableRequests.covers(job.spec)) return;
    const startedCount = this.placeTasks(job, cycle.nodes, maxStarts, nowMs);
    cycle.remainingStarts -= startedCount;
    if (startedCount > 0) cycle.nodes.removeFullNodes();
    else if (!cycle.nodes.hasNodeMatching((node) => isFeasible(job.spec, node)))
      cycle.unschedulableRequests.record(job.spec);
  }

  /** Fills the feasible nodes in the order of their scores. Returns the number of placed tasks. */
  private placeTasks(job: Job, nodes: FreeCapacityIndex, maxStarts: number, nowMs: number): number {
    let taskIndex = job.findNextPendingTask();
    if (taskIndex < 0) return 0;
    let startedCount = 0;
    for (const { node, free } of this.rankNodes(job, nodes)) {
      while (fits(job.spec, free) && allowsZone(job.spec, job.allocationsPerZone, node.zone)) {
        this.planStart(job, taskIndex, node, nowMs);
        reserveTask(free, job.spec);
        startedCount++;
        taskIndex = job.findNextPendingTask(taskIndex + 1);
        if (taskIndex < 0 || startedCount >= maxStarts) return startedCount;
      }
    }
    return startedCount;
  }

  private rankNodes(job: Job, nodes: FreeCapacityIndex): NodeCapacity[] {
    const { spec, allocationsPerZone } = job;
    const request: PlacementRequest = {
      spec,
      allocationsPerZone,
      avoidsSpot: job.avoidsSpot,
      avoidedNodeNames: job.progress.nodesWithFailedTask,
    };
    return scoreNodes(request, nodes.findCandidates(spec, allocationsPerZone), (node) =>
      estimateImagePullS(node, spec, this.dependencies.instanceTypes()),
    );
  }

  private planStart(job: Job, taskIndex: number, node: Node, nowMs: number): void {
    job.submitExecutableMembers();
    const attemptNumber = this.dependencies.attemptNumbers.next();
    this.dependencies.clusterState.planAttempt({ job, taskIndex, number: attemptNumber, node }, nowMs);
    node.markBusy();
  }
}
