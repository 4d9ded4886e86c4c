/**
 * The actor that leads for one term. It handles the messages in its mailbox, and decides when to review the fleet and
 * when to run scheduling cycles.
 */
import { Actor, assertNever } from '@pumicehinge/runtime';
import { measureTaskSlotUsage } from '../cluster/task-slot-usage.js';
import type { LeaderMeasurements } from './leader-measurements.js';
import {
  FLEET_REVIEW_MIN_INTERVAL_MS,
  FLEET_REVIEW_INTERVAL_RATIO,
  SCHEDULING_CYCLE_MAX_INTERVAL_MS,
  SCHEDULING_CYCLE_MIN_INTERVAL_MS,
  SCHEDULING_CYCLE_INTERVAL_RATIO,
} from '../constants.js';
import { isDelegatedLeasesKey, isJobKey } from '../state/records.js';
import type { KeyChange } from '../state/store-client.js';
import { LeaderComponents } from './leader-components.js';
import type { LeaderDependencies } from './leader-dependencies.js';
import type { LeaderMessage } from './leader-message.js';
import { Throttle, ThrottledTask } from './throttled-task.js';

/**
 * The leader of one term owns the jobs and the fleet, and decides what runs where. It is built from the state store
 * when a term begins and discarded when the term ends. Its components share its mailbox, so that no two of them ever
 * run at the same time.
 */
export class Leader extends Actor<LeaderMessage> {
  private readonly components: LeaderComponents;
  private readonly schedulingCycleTask: ThrottledTask;
  /**
   * Limits how often the fleet is reviewed. Reviews run within scheduling cycles, which run at least once per second.
   */
  private readonly fleetReviewThrottle: Throttle;

  constructor(private readonly dependencies: LeaderDependencies) {
    super(dependencies.log, dependencies.resign);
    const { clock, log } = dependencies;
    this.schedulingCycleTask = new ThrottledTask(
      clock,
      { minIntervalMs: SCHEDULING_CYCLE_MIN_INTERVAL_MS, intervalRatio: SCHEDULING_CYCLE_INTERVAL_RATIO },
      () => this.send({ kind: 'schedulingCycleDue' }),
    );
    this.fleetReviewThrottle = new Throttle(clock, {
      minIntervalMs: FLEET_REVIEW_MIN_INTERVAL_MS,
      intervalRatio: FLEET_REVIEW_INTERVAL_RATIO,
    });
    this.components = new LeaderComponents(dependencies, {
      send: (message) => this.send(message),
      requestSchedulingCycle: () => this.schedulingCycleTask.request(),
      isSchedulingCycleDueBy: (steadyMs) => this.schedulingCycleTask.isDueBy(steadyMs),
    });
    this.components.start();
    this.schedulingCycleTask.request();
    const { jobStore, reconciliation } = this.components.cluster;
    log.info(
      { jobs: jobStore.jobs.size, unreconciledNodes: reconciliation.unreconciledCount },
      'leader ready',
    );
  }

  /** Stops the work of the term: its timers, its calls to the cloud, and its requests for launches and terminations. */
  override stop(): void {
    super.stop();
    this.components.stop();
    this.schedulingCycleTask.stop();
  }

  /** Counts the running tasks of each job for display, by job uid. Jobs without running tasks are left out. */
  countRunningTasks(): Record<string, number> {
    return this.components.cluster.jobStore.countRunningTasks();
  }

  /** Measures the work of the term, for display. */
  measure(): LeaderMeasurements {
    const { clusterState, commandDispatcher } = this.components.cluster;
    return {
      term: this.dependencies.term.fencingToken,
      taskSlots: measureTaskSlotUsage(clusterState.nodes.values()),
      commands: commandDispatcher.commandCounts,
    };
  }

  protected receive(message: LeaderMessage): void {
    const { cluster, heartbeatHandler, cloudEventHandler } = this.components;
    switch (message.kind) {
      case 'heartbeat':
        return heartbeatHandler.handle(message);
      case 'keyChanged':
        return this.handleKeyChange(message.change);
      case 'cloudEvent':
        return cloudEventHandler.handle(message.event);
      case 'commandCallEnded':
        return cluster.commandDispatcher.handleCallResult(message.result);
      case 'jobWriteEnded':
        cluster.jobStore.handleWriteResult(message.result);
        return this.schedulingCycleTask.request();
      case 'nodeGroupWriteEnded':
        cluster.nodeRecords.handleWriteResult(message.result);
        return this.schedulingCycleTask.request();
      case 'leaseCheckEnded':
        return cluster.reconciliation.handleLeaseCheckResult(message.result);
      case 'responseReviewDue':
        return heartbeatHandler.handleResponseReview();
      case 'schedulingCycleDue':
        return this.schedulingCycleTask.run((nowMs) => this.runSchedulingCycle(nowMs));
      default:
        return assertNever(message);
    }
  }

  private handleKeyChange(change: KeyChange): void {
    const { jobStore, reconciliation } = this.components.cluster;
    if (isDelegatedLeasesKey(change.key)) reconciliation.handleDelegatedLease(change);
    if (!isJobKey(change.key)) return;
    if (change.value !== undefined) jobStore.applyChange(change);
    this.schedulingCycleTask.request();
  }

  /** Reviews the fleet if a review is due, then makes the scheduling decisions and sends commands. */
  private runSchedulingCycle(nowMs: number): void {
    // Without authority the leader receives no heartbeats, and another controller may lead. Nodes that only seem
    // unreachable would be terminated while tasks of that other leader run on them.
    if (!this.dependencies.term.authority.isValid(nowMs)) {
      this.components.heartbeatHandler.respondToDeferred();
      this.schedulingCycleTask.requestBy(nowMs + SCHEDULING_CYCLE_MAX_INTERVAL_MS);
      return;
    }
    const { schedulingCycle, scheduler, cluster, heartbeatHandler } = this.components;
    const { commandDispatcher, nodeRecords } = cluster;
    if (this.fleetReviewThrottle.isDue(nowMs))
      this.fleetReviewThrottle.run((startedMs) => this.reviewFleet(startedMs));
    schedulingCycle.run(nowMs);
    heartbeatHandler.respondToDeferred();
    commandDispatcher.sendPendingStops(nowMs);
    if (scheduler.needsNewTerm) this.dependencies.resign();
    if (this.isStopped) return;
    const flushDelayMs = Math.max(nodeRecords.computeFlushDelayMs(nowMs), SCHEDULING_CYCLE_MIN_INTERVAL_MS);
    this.schedulingCycleTask.requestBy(nowMs + Math.min(SCHEDULING_CYCLE_MAX_INTERVAL_MS, flushDelayMs));
  }

  /**
   * Reviews each node. Reviews are less frequent than scheduling cycles, because health, interruption notices and
   * leases change over seconds.
   */
  private reviewFleet(nowMs: number): void {
    const { fleetReconciler, spotUsageRecorder, cluster } = this.components;
    const { nodeHealth } = cluster;
    nodeHealth.evaluateNodes(nowMs);
    fleetReconciler.reviewNodes(nowMs);
    spotUsageRecorder.record(nowMs);
    fleetReconciler.terminateUnneededNodes(nowMs);
    if (!nodeHealth.isLeaderPartitioned(nowMs)) return;
    this.log.info('leader partitioned from most nodes, resigning');
    this.dependencies.resign();
  }
}
