/** Scales out: launches instances for waiting tasks that find no capacity, and for headroom. */
import type { LaunchRefusalReason } from '@pumicehinge/duties';
import type { ClusterState, Job, Node } from '../cluster/cluster-state.js';
import type { NodeHealth } from '../cluster/node-health.js';
import type { MutableResources, Resources } from '../cluster/resources.js';
import { MAX_INSTANCES_PER_LAUNCH } from '../constants.js';
import type { Scheduler } from '../scheduler/scheduler.js';
import { getTimeToDeadlineS } from '../scheduler/time-estimates.js';
import { toCapacityDemand, type CapacityDemand } from './capacity-demand.js';
import type { InstanceType, LaunchRequest } from './cloud-codec.js';
import { planHeadroom, type HeadroomDemand, type RecentJob, type StartObjective } from './headroom.js';
import { IncomingCapacityFinder, type IncomingCapacity } from './incoming-capacity.js';
import { OfferingBackoff } from './offering-backoff.js';
import { planScaleOut, type ScaleOutPlan } from './scale-out-planner.js';
import type { SpotInterruptionRate } from './spot-interruption-rate.js';
import { SpotPolicy } from './spot-policy.js';

/** Dependencies of Autoscaler. */
export interface AutoscalerDependencies {
  readonly clusterState: ClusterState;
  readonly nodeHealth: NodeHealth;
  readonly scheduler: Pick<Scheduler, 'countTasksWithinQuota' | 'hasReachedStartLimit'>;
  /** Number of the leader's term. */
  readonly term: number;
  /** Instance types by name. */
  readonly instanceTypes: () => ReadonlyMap<string, InstanceType>;
  /** The full resources of a node of this instance type. */
  readonly getNodeCapacity: (type: string) => Resources;
  /** Whether spot instances may be launched at all. */
  readonly isSpotEnabled: boolean;
  readonly spotInterruptionRate: SpotInterruptionRate;
  readonly startObjectives: readonly StartObjective[];
  /** Recent jobs. Headroom is estimated from the services among them. */
  readonly recentJobs: () => readonly RecentJob[];
  readonly wallMs: () => number;
  readonly launch: (request: LaunchRequest) => void;
}

/** Launches instances for waiting jobs and keeps track of the launch requests. */
export class Autoscaler {
  /** Launch requests that have no response yet, by request name. */
  private readonly pendingLaunches = new Map<string, LaunchRequest>();
  private readonly offeringBackoff: OfferingBackoff;
  private readonly spotPolicy: SpotPolicy;
  private readonly capacityFinder: IncomingCapacityFinder;
  private headroomNodes: ReadonlySet<Node> = new Set();
  private launchCount = 0;
  private hasInstanceList = false;

  constructor(private readonly dependencies: AutoscalerDependencies) {
    this.offeringBackoff = new OfferingBackoff(dependencies.isSpotEnabled);
    this.spotPolicy = new SpotPolicy({
      instanceTypes: dependencies.instanceTypes,
      offeringBackoff: this.offeringBackoff,
      spotInterruptionRate: dependencies.spotInterruptionRate,
      wallMs: dependencies.wallMs,
    });
    this.capacityFinder = new IncomingCapacityFinder(dependencies);
  }

  /**
   * Records that the cloud's instance list was read. Nothing is launched before that, because the list shows which
   * instances an earlier leader launched.
   */
  recordInstanceListRead(): void {
    this.hasInstanceList = true;
  }

  /**
   * Records how many instances the cloud launched. If there are fewer than requested, the offering has no more
   * instances for now.
   */
  handleLaunched(
    { requestName, offering, nodeCount }: LaunchRequest,
    launchedCount: number,
    nowMs: number,
  ): void {
    this.pendingLaunches.delete(requestName);
    if (launchedCount < nodeCount) this.offeringBackoff.recordRefusal(offering, 'no capacity', nowMs);
  }

  /** Records that the cloud launched nothing, and why. */
  handleLaunchFailed(
    { requestName, offering }: LaunchRequest,
    reason: LaunchRefusalReason,
    nowMs: number,
  ): void {
    this.pendingLaunches.delete(requestName);
    this.offeringBackoff.recordRefusal(offering, reason, nowMs);
  }

  /**
   * Adopts a launch request of an earlier term that is still being carried out. Its instances then count as incoming
   * capacity.
   */
  adoptPendingLaunch(request: LaunchRequest): void {
    this.pendingLaunches.set(request.requestName, request);
  }

  /** Whether the node must not be terminated because headroom relies on it. */
  isReservedForHeadroom(node: Node): boolean {
    return this.headroomNodes.has(node);
  }

  /**
   * Launches the instances that the waiting jobs and the headroom lack. `waitingJobs` are in the order in which they
   * are scheduled.
   */
  scaleOut(waitingJobs: readonly Job[], nowMs: number): void {
    if (this.dependencies.instanceTypes().size === 0 || !this.hasInstanceList) return;
    const demands = this.createDemands(waitingJobs, nowMs);
    const headroomDemands = this.planHeadroom();
    if (demands.length === 0 && headroomDemands.length === 0) return;
    const { plans, headroomNodes } = planScaleOut({
      demands,
      incomingCapacity: this.findIncomingCapacity(nowMs),
      availability: {
        instanceTypes: [...this.dependencies.instanceTypes().values()],
        isUnavailable: (offering) => this.offeringBackoff.isUnavailable(offering, nowMs),
      },
      headroomDemands: headroomDemands.map(toCapacityDemand),
      immediateCapacity: headroomDemands.length > 0 ? this.capacityFinder.findImmediate(nowMs) : [],
    });
    this.headroomNodes = headroomNodes;
    for (const plan of plans) this.launch(plan);
  }

  /** Finds the capacity that waiting tasks get without a launch. */
  private findIncomingCapacity(nowMs: number): IncomingCapacity[] {
    const incoming = this.capacityFinder.findIncoming(this.pendingLaunches.values(), nowMs);
    // Otherwise the waiting tasks have found no free capacity that suits them.
    if (this.dependencies.scheduler.hasReachedStartLimit)
      incoming.push(...this.capacityFinder.findFree(nowMs));
    return incoming;
  }

  private planHeadroom(): HeadroomDemand[] {
    const { startObjectives, recentJobs, instanceTypes, wallMs } = this.dependencies;
    return planHeadroom(startObjectives, recentJobs(), [...instanceTypes().values()], wallMs());
  }

  /**
   * Creates the demands of the waiting jobs, limited by the remaining quotas of their teams. Updates for each job
   * whether it uses spot instances.
   */
  private createDemands(waitingJobs: readonly Job[], nowMs: number): CapacityDemand[] {
    const demands: CapacityDemand[] = [];
    const plannedResourcesByTeam = new Map<string, MutableResources>();
    for (const job of waitingJobs) {
      const { spec } = job;
      const secondsToDeadline = getTimeToDeadlineS(job, this.dependencies.wallMs());
      this.spotPolicy.updateSpotPreference(job, nowMs);
      // Resources planned for one job of a team count against the team's quota for the jobs that follow.
      const plannedResources = plannedResourcesByTeam.get(spec.team) ?? {
        cpus: 0,
        accelerators: 0,
        memGb: 0,
      };
      plannedResourcesByTeam.set(spec.team, plannedResources);
      const taskCount = Math.min(
        job.pendingTaskCount,
        this.dependencies.scheduler.countTasksWithinQuota(job, plannedResources),
      );
      if (taskCount <= 0) continue;
      plannedResources.cpus += taskCount * spec.cpus;
      plannedResources.accelerators += taskCount * spec.accelerators;
      demands.push(this.createDemand(job, taskCount, secondsToDeadline, nowMs));
    }
    return demands;
  }

  private createDemand(
    job: Job,
    taskCount: number,
    secondsToDeadline: number,
    nowMs: number,
  ): CapacityDemand {
    return {
      spec: job.spec,
      expectedRunTimeS: job.progress.expectedRunTimeS,
      taskCount,
      allocationsPerZone: job.allocationsPerZone,
      mayLaunchOnDemand: job.mayLaunchOnDemand,
      avoidsSpot: job.avoidsSpot,
      waitedS: (nowMs - job.queueTimes.pendingSinceMs) / 1000,
      timeToDeadlineS: secondsToDeadline,
      timeToStartObjectiveS: this.computeTimeToStartObjectiveS(job),
    };
  }

  private computeTimeToStartObjectiveS(job: Job): number {
    const objective = this.dependencies.startObjectives.find(
      ({ jobClass }) => jobClass === job.spec.jobClass,
    );
    if (!objective) return Infinity;
    const remainingS = objective.withinS - (this.dependencies.wallMs() - job.queuedSinceMs) / 1000;
    return remainingS > 0 ? remainingS : Infinity;
  }

  /** Requests the planned instances, split into several requests if the cloud's limit per request requires it. */
  private launch({ offering, count }: ScaleOutPlan): void {
    for (let remainingCount = count; remainingCount > 0; remainingCount -= MAX_INSTANCES_PER_LAUNCH) {
      const request: LaunchRequest = {
        requestName: `r-${this.dependencies.term}-${++this.launchCount}`,
        offering,
        nodeCount: Math.min(remainingCount, MAX_INSTANCES_PER_LAUNCH),
      };
      this.pendingLaunches.set(request.requestName, request);
      this.dependencies.launch(request);
    }
  }
}
