/**
 * All components of a leader, built in the order of their dependencies. They share the leader's mailbox, so the
 * result of each asynchronous operation that a component starts comes back as a message to the leader.
 */
import { Autoscaler } from '../autoscaler/autoscaler.js';
import { CloudClient, computeLeaderCloudRates, type CloudEvent } from '../autoscaler/cloud-client.js';
import { DirectProvisioner, type Provisioner } from '../autoscaler/provisioner.js';
import { SpotInterruptionRate } from '../autoscaler/spot-interruption-rate.js';
import { HeartbeatReconciler } from '../cluster/heartbeat-reconciler.js';
import { DelegatedProvisioner } from '../duties/delegated-provisioner.js';
import { AttemptNumberGenerator } from '../scheduler/attempt-numbers.js';
import { Scheduler } from '../scheduler/scheduler.js';
import type { TeamQuota } from '../scheduler/team-quota.js';
import { SPOT_INTERRUPTIONS_KEY } from '../state/records.js';
import { DeferredResponses } from '../workers/deferred-responses.js';
import { HeartbeatHandler } from '../workers/heartbeat-handler.js';
import { CloudEventHandler } from './cloud-event-handler.js';
import { ClusterComponents } from './cluster-components.js';
import { FleetReconciler } from './fleet-reconciler.js';
import type { LeaderDependencies, LeaderMailbox } from './leader-dependencies.js';
import { SchedulingCycle } from './scheduling-cycle.js';
import { SpotUsageRecorder } from './spot-usage-recorder.js';

/** The components of one term's leader. */
export class LeaderComponents {
  /** The components that manage jobs and nodes and send commands to workers. */
  readonly cluster: ClusterComponents;
  /** Places tasks on nodes. */
  readonly scheduler: Scheduler;
  /** Drains and terminates nodes. */
  readonly fleetReconciler: FleetReconciler;
  /** Records how many spot nodes are in use. */
  readonly spotUsageRecorder: SpotUsageRecorder;
  /** Applies the heartbeats of workers and responds to them. */
  readonly heartbeatHandler: HeartbeatHandler;
  /** Makes the scheduling decisions. */
  readonly schedulingCycle: SchedulingCycle;
  /** Applies cloud events. */
  readonly cloudEventHandler: CloudEventHandler;

  private readonly cloudClient: CloudClient;
  private readonly provisioner: Provisioner;
  private readonly autoscaler: Autoscaler;
  private readonly spotInterruptionRate: SpotInterruptionRate;
  private readonly quotas: ReadonlyMap<string, TeamQuota>;

  constructor(
    private readonly dependencies: LeaderDependencies,
    private readonly mailbox: LeaderMailbox,
  ) {
    const { settings, replica } = dependencies;
    this.quotas = new Map(settings.teams.map((team) => [team.name, team]));
    this.cloudClient = this.createCloudClient();
    this.provisioner = this.createProvisioner();
    this.cluster = new ClusterComponents({
      dependencies,
      mailbox,
      handleCommandResponse: (response) => this.heartbeatHandler.handleCommandResponse(response),
    });
    this.scheduler = this.createScheduler();
    this.spotInterruptionRate = new SpotInterruptionRate(
      replica.get(SPOT_INTERRUPTIONS_KEY)?.value,
      this.cluster.termStartMs,
    );
    this.autoscaler = this.createAutoscaler();
    this.fleetReconciler = this.createFleetReconciler();
    this.spotUsageRecorder = this.createSpotUsageRecorder();
    this.heartbeatHandler = this.createHeartbeatHandler();
    this.schedulingCycle = this.createSchedulingCycle();
    this.cloudEventHandler = this.createCloudEventHandler();
  }

  /**
   * Loads what earlier terms stored, adopts the launches and terminations that they committed, and starts the calls
   * to the cloud.
   */
  start(): void {
    const { reconciliation, nodeRecords, getCapacity } = this.cluster;
    reconciliation.load(nodeRecords, getCapacity);
    this.cloudEventHandler.adoptInheritedIntents();
    this.cloudClient.send({ kind: 'tick' });
  }

  /** Stops the calls to the cloud, and turns away the workers that wait for a response. */
  stop(): void {
    this.cloudClient.stop();
    this.provisioner.stop();
    this.heartbeatHandler.stop();
  }

  private createCloudClient(): CloudClient {
    const { settings, term, httpClient, leasedRoles, clock, log, resign } = this.dependencies;
    return new CloudClient({
      httpClient,
      address: settings.cloudAddress,
      rates: computeLeaderCloudRates(settings.cloudLimits.rps, leasedRoles !== undefined),
      clock,
      onEvent: (event) => this.mailbox.send({ kind: 'cloudEvent', event }),
      mayCall: () => term.authority.isValid(clock.steadyMs()),
      log,
      onFailure: resign,
    });
  }

  private createProvisioner(): Provisioner {
    const { leasedRoles, term, settings, resign } = this.dependencies;
    if (!leasedRoles) return new DirectProvisioner(this.cloudClient);
    const sendEvent = (event: CloudEvent): void => this.mailbox.send({ kind: 'cloudEvent', event });
    return new DelegatedProvisioner({
      roles: leasedRoles,
      term,
      maxValueBytes: settings.stateLimits.valueBytes,
      onEvent: sendEvent,
      onFailure: resign,
    });
  }

  private createScheduler(): Scheduler {
    const { clusterState, nodeHealth, jobStore, instanceCatalog, reconciliation, commandDispatcher } =
      this.cluster;
    const { term, clock, log } = this.dependencies;
    return new Scheduler({
      clusterState,
      nodeHealth,
      jobs: jobStore.jobs,
      quotas: this.quotas,
      attemptNumbers: new AttemptNumberGenerator(term.fencingToken),
      instanceTypes: () => instanceCatalog.types,
      isReconciled: () => reconciliation.isComplete,
      wallMs: () => clock.wallMs(),
      stopTask: (attempt, gracePeriodS) =>
        commandDispatcher.requestStop(attempt, { gracePeriodS, reason: 'preempted' }),
      log,
    });
  }

  private createAutoscaler(): Autoscaler {
    const { clusterState, nodeHealth, jobStore, instanceCatalog, getCapacity } = this.cluster;
    const { settings, term, clock } = this.dependencies;
    return new Autoscaler({
      clusterState,
      nodeHealth,
      scheduler: this.scheduler,
      term: term.fencingToken,
      instanceTypes: () => instanceCatalog.types,
      getNodeCapacity: getCapacity,
      isSpotEnabled: settings.operator.useSpot,
      spotInterruptionRate: this.spotInterruptionRate,
      startObjectives: settings.startObjectives,
      recentJobs: () => [...jobStore.jobs.values()].filter((job) => job.isService && job.isOpen),
      wallMs: () => clock.wallMs(),
      launch: (request) => this.provisioner.launch(request),
    });
  }

  private createFleetReconciler(): FleetReconciler {
    const { clusterState, nodeHealth, reconciliation, nodeRecords, commandDispatcher, getCapacity, nowMs } =
      this.cluster;
    const { settings, term, log } = this.dependencies;
    return new FleetReconciler({
      settings,
      term,
      clusterState,
      nodeHealth,
      reconciliation,
      nodeRecords,
      commandDispatcher,
      provisioner: this.provisioner,
      autoscaler: this.autoscaler,
      spotInterruptionRate: this.spotInterruptionRate,
      getCapacity,
      nowMs,
      log,
    });
  }

  private createSpotUsageRecorder(): SpotUsageRecorder {
    const { clusterState, commit, nowMs } = this.cluster;
    const { spotInterruptionRate } = this;
    return new SpotUsageRecorder({
      clusterState,
      spotInterruptionRate,
      replica: this.dependencies.replica,
      commit,
      nowMs,
    });
  }

  private createHeartbeatHandler(): HeartbeatHandler {
    const { clusterState, jobStore, nodeRecords, commandDispatcher, reconciliation, getCapacity, nowMs } =
      this.cluster;
    const { term, cancellationWatermark, replica, settings, log } = this.dependencies;
    const heartbeatReconciler = new HeartbeatReconciler({
      clusterState,
      leaseS: settings.leaseDurationS,
      findJob: (uid) => jobStore.jobs.get(uid),
      log,
    });
    return new HeartbeatHandler({
      term,
      cancellationWatermark,
      clusterState,
      heartbeatReconciler,
      replica,
      nodeRecords,
      commandDispatcher,
      deferredResponses: this.createDeferredResponses(),
      nowMs,
      log,
      getNodeCapacity: getCapacity,
      wasRecentlyDeleted: (name) => this.fleetReconciler.wasRecentlyDeleted(name),
      onReconciled: (node) => reconciliation.markReconciled(node),
      requestSchedulingCycle: this.mailbox.requestSchedulingCycle,
    });
  }

  private createDeferredResponses(): DeferredResponses {
    const { clusterState, taskLifecycle, nowMs } = this.cluster;
    const { isSchedulingCycleDueBy, send } = this.mailbox;
    return new DeferredResponses({
      clusterState,
      nowMs,
      isSchedulingCycleDueBy,
      mayStart: (attempt) => taskLifecycle.mayStart(attempt),
      requestReview: (delayMs) =>
        this.dependencies.clock.setTimer(delayMs, () => send({ kind: 'responseReviewDue' })),
    });
  }

  private createSchedulingCycle(): SchedulingCycle {
    const { jobStore, reconciliation, nodeRecords, commandDispatcher } = this.cluster;
    const { jobDependencies, clock, log } = this.dependencies;
    return new SchedulingCycle({
      jobStore,
      jobDependencies,
      reconciliation,
      nodeRecords,
      commandDispatcher,
      scheduler: this.scheduler,
      autoscaler: this.autoscaler,
      quotas: this.quotas,
      clock,
      log,
    });
  }

  private createCloudEventHandler(): CloudEventHandler {
    const { clusterState, instanceCatalog, nodeRecords, nowMs } = this.cluster;
    return new CloudEventHandler({
      autoscaler: this.autoscaler,
      clusterState,
      fleetReconciler: this.fleetReconciler,
      instanceCatalog,
      nodeRecords,
      provisioner: this.provisioner,
      nowMs,
      log: this.dependencies.log,
      requestSchedulingCycle: this.mailbox.requestSchedulingCycle,
    });
  }
}
