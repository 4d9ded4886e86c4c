/** The scheduler: gives waiting tasks to nodes by filter and score, within the quotas of their teams. */
import type { Logger } from 'pino';
import type { Attempt, ClusterState, Job, Node } from '../cluster/cluster-state.js';
import type { NodeHealth } from '../cluster/node-health.js';
import { addResources, type Resources } from '../cluster/resources.js';
import { MIN_STARTS_PER_CYCLE } from '../constants.js';
import type { AttemptNumbers } from './attempt-numbers.js';
import { FreeCapacityIndex } from './free-capacity-index.js';
import { isFeasible, type NodeCapacity } from './node-filter.js';
import { scoreNodes, type PlacementRequest } from './node-scoring.js';
import { allowsZone, fits } from './placement-constraints.js';
import { Preemptor } from './preemptor.js';
import { QuotaTracker } from './quota-tracker.js';
import type { TeamQuota } from './team-quota.js';
import { imagePullS, type ImagePullRate } from './time-estimates.js';
import { UnschedulableRequests } from './unschedulable-requests.js';

/** Dependencies of Scheduler. */
export interface SchedulerDependencies {
  readonly clusterState: ClusterState;
  readonly nodeHealth: NodeHealth;
  /** All jobs by uid. */
  readonly jobs: ReadonlyMap<string, Job>;
  /** Quotas by name of the team. */
  readonly quotas: ReadonlyMap<string, TeamQuota>;
  /** The numbers of the attempts of this term. */
  readonly attemptNumbers: AttemptNumbers;
  /** Instance types by name. */
  readonly instanceTypes: () => ReadonlyMap<string, ImagePullRate>;
  /** Whether every node of earlier terms is reconciled. */
  readonly isReconciled: () => boolean;
  readonly wallMs: () => number;
  /** Stops a task, which has this many seconds to save a checkpoint. */
  readonly stopTask: (attempt: Attempt, gracePeriodS: number) => void;
  readonly log: Logger;
}

/** What one scheduling cycle has left to give, and what it has found out. */
interface SchedulingCycleState {
  readonly nodes: FreeCapacityIndex;
  readonly unschedulable: UnschedulableRequests;
  remainingStarts: number;
}

/** Places waiting tasks on nodes with free capacity, and has others stopped for them where that is allowed. */
export class Scheduler {
  private readonly quotaTracker: QuotaTracker;
  private readonly preemptor: Preemptor;

  constructor(private readonly deps: SchedulerDependencies) {
    this.quotaTracker = new QuotaTracker(deps);
    this.preemptor = new Preemptor({
      clusterState: deps.clusterState,
      instanceTypes: deps.instanceTypes,
      quotaTracker: this.quotaTracker,
      freeCapacity: (nodes, now) => this.freeCapacity(nodes, now),
      wallMs: deps.wallMs,
      stopTask: deps.stopTask,
      log: deps.log,
    });
  }

  /** Whether a new term must begin, as the attempt numbers of this one are running out. */
  get needsNewTerm(): boolean {
    return this.deps.attemptNumbers.areRunningOut;
  }

  /** How many more tasks of the job the quota of its team allows, where `planned` was promised to the team besides. */
  remainingQuotaOf(job: Job, planned?: Resources): number {
    return this.quotaTracker.remainingTasks(job, planned);
  }

  /**
   * Plans attempts for the jobs' waiting tasks, in the order of the jobs. Visits each node and each job once, however
   * many tasks wait. Returns the jobs that still wait for capacity.
   */
  schedule(openJobs: readonly Job[], now: number): Job[] {
    this.quotaTracker.recountUnreconciled();
    const cycle = this.beginCycle(now);
    const waitingJobs: Job[] = [];
    for (const job of openJobs) {
      const mayStart = this.mayStart(job, now);
      if (mayStart) this.placeJob(job, cycle, now);
      if (mayStart && job.pendingTasks > 0) {
        job.queueTimes.recordPending(job.allocations.size, now);
        waitingJobs.push(job);
      } else {
        job.queueTimes.recordNotPending();
      }
    }
    return waitingJobs;
  }

  /** Stops tasks for the waiting jobs where that is allowed; `withinGuarantee` are the jobs within their team's guarantee. */
  preempt(
    openJobs: readonly Job[],
    waitingJobs: readonly Job[],
    withinGuarantee: ReadonlySet<Job>,
    now: number,
  ): void {
    this.preemptor.preempt(openJobs, waitingJobs, withinGuarantee, now);
  }

  private beginCycle(now: number): SchedulingCycleState {
    const { nodesWithFreeCapacity } = this.deps.clusterState;
    return {
      nodes: new FreeCapacityIndex(this.freeCapacity(nodesWithFreeCapacity, now)),
      unschedulable: new UnschedulableRequests(),
      remainingStarts: Math.max(MIN_STARTS_PER_CYCLE, nodesWithFreeCapacity.size),
    };
  }

  /** What is free on each of the nodes that may be given new tasks. */
  private freeCapacity(nodes: Iterable<Node>, now: number): NodeCapacity[] {
    const capacities: NodeCapacity[] = [];
    for (const node of nodes) {
      if (node.persisted && this.deps.nodeHealth.isSchedulable(node, now))
        capacities.push({ node, free: this.deps.clusterState.freeResources(node) });
    }
    return capacities;
  }

  /** Not while it backs off after a failure, nor while its tasks may still run on unreconciled nodes. */
  private mayStart(job: Job, now: number): boolean {
    if (now < job.progress.startNotBeforeMs) return false;
    return this.deps.isReconciled() || !job.startedInEarlierTerm;
  }

  /** Places as many tasks of the job as its quota, the cycle and the nodes allow. */
  private placeJob(job: Job, cycle: SchedulingCycleState, now: number): void {
    const limit = Math.min(this.quotaTracker.remainingTasks(job), cycle.remainingStarts);
    if (limit <= 0 || cycle.unschedulable.covers(job.spec)) return;
    const started = this.placeTasks(job, cycle.nodes, limit, now);
    cycle.remainingStarts -= started;
    if (started > 0) cycle.nodes.dropFull();
    else if (!cycle.nodes.some((node) => isFeasible(job.spec, node))) cycle.unschedulable.record(job.spec);
  }

  /** Fills the feasible nodes in the order of their score. Returns how many tasks were placed. */
  private placeTasks(job: Job, nodes: FreeCapacityIndex, limit: number, now: number): number {
    let task = job.findNextPendingTask();
    if (task < 0) return 0;
    let started = 0;
    for (const { node, free } of this.rankNodes(job, nodes)) {
      while (fits(job.spec, free) && allowsZone(job.spec, job.allocationsPerZone, node.zone)) {
        this.planStart(job, task, node, now);
        addResources(free, job.spec, -1);
        started++;
        task = job.findNextPendingTask(task + 1);
        if (task < 0 || started >= limit) return started;
      }
    }
    return started;
  }

  private rankNodes(job: Job, nodes: FreeCapacityIndex): NodeCapacity[] {
    const { spec, allocationsPerZone } = job;
    const request: PlacementRequest = {
      spec,
      allocationsPerZone,
      avoidsSpot: job.avoidsSpot,
      avoidedNodes: job.progress.failedNodes,
    };
    return scoreNodes(request, nodes.candidatesFor(spec, allocationsPerZone), (node) =>
      imagePullS(node, spec, this.deps.instanceTypes()),
    );
  }

  private planStart(job: Job, index: number, node: Node, now: number): void {
    job.submitExecutableMembers();
    const number = this.deps.attemptNumbers.next();
    this.deps.clusterState.planAttempt({ job, index, number, node }, now);
    node.markBusy();
  }
}
