/** Creates the parts of a controller in the order of their dependencies, and starts them. */
import type { Logger } from 'pino';
import { LeasedRoles } from '@pumicehinge/duties';
import type { Clock } from '@pumicehinge/runtime';
import { UserApi } from './api/user-api.js';
import {
  CLOUD_RATE_SHARE,
  DELEGATED_CLOUD_RATE_SHARES,
  WAITING_HEARTBEATS_SOCKET_SHARE,
} from './constants.js';
import { ControllerRoleStore } from './duties/controller-role-store.js';
import { readCurrentLeader } from './duties/current-leader.js';
import { HttpCloudProvider } from './duties/http-cloud-provider.js';
import { findObsoleteRecords } from './duties/obsolete-records.js';
import { CancellationWatermark, computeMaxCancellationLagMs } from './election/cancellation-watermark.js';
import { Election } from './election/election.js';
import type { HttpClient, HttpRequest, ResponseCallback } from './http/message.js';
import { Leadership } from './leader/leadership.js';
import { RunningTaskCounts } from './leader/running-task-counts.js';
import { MemoryGuard } from './memory-guard.js';
import { ControllerMetrics } from './metrics.js';
import type { PeerTransport } from './peers/peer-transport.js';
import { DependencyGraph } from './pipeline/dependency-graph.js';
import type { Settings } from './settings.js';
import { divideMemory } from './sizing.js';
import { decodeJobDependencies, isJobKey, jobKey, parseJobUid, ROOT_PREFIX } from './state/records.js';
import { StateReplica } from './state/state-replica.js';
import { StoreClient } from './state/store-client.js';
import { TransactionBatcher } from './state/transaction-batcher.js';
import { HeartbeatRelay } from './workers/heartbeat-relay.js';
import { HeartbeatRouter } from './workers/heartbeat-router.js';
import { LeaseRenewalProxy } from './workers/lease-renewal-proxy.js';

/**
 * What a controller needs from its environment. The program provides real sockets and clocks, and a simulation provides
 * simulated ones.
 */
export interface ControllerEnvironment {
  readonly settings: Settings;
  readonly clock: Clock;
  /** Returns a random number that is at least 0 and less than 1. */
  readonly random: () => number;
  /** When this process started, in milliseconds on the steady clock. */
  readonly processStartMs: number;
  /** Returns the size of the heap and of the buffers outside it, in bytes. */
  readonly measureUsedBytes: () => number;
  /** The client for calls to the state store and the cloud. */
  readonly httpClient: HttpClient;
  /** The client for calls to workers. */
  readonly workerHttpClient: HttpClient;
  /** The transport to the other controllers. */
  readonly peerTransport: PeerTransport;
  readonly log: Logger;
}

/**
 * A controller. It serves the API for users and workers, and it acts as the leader during the terms for which it is elected.
 * The parts register their listeners when they are created, so the constructor determines the order in which they receive
 * changes and messages.
 */
export class Controller {
  private readonly storeClient: StoreClient;
  private readonly replica: StateReplica;
  private readonly cancellationWatermark: CancellationWatermark;
  private readonly jobDependencies: DependencyGraph;
  private readonly batcher: TransactionBatcher;
  private readonly election: Election;
  private readonly leasedRoles: LeasedRoles | undefined;
  private readonly leadership: Leadership;
  private readonly leaseRenewalProxy: LeaseRenewalProxy;
  private readonly memoryGuard: MemoryGuard;
  private readonly userApi: UserApi;
  private readonly heartbeatRelay: HeartbeatRelay;
  private readonly heartbeatRouter: HeartbeatRouter;
  private readonly runningTaskCounts: RunningTaskCounts;
  private readonly metrics = new ControllerMetrics();

  constructor(private readonly environment: ControllerEnvironment) {
    const { settings, clock, log } = environment;
    this.storeClient = this.createStoreClient();
    this.replica = new StateReplica(this.storeClient, ROOT_PREFIX, clock, log);
    this.cancellationWatermark = new CancellationWatermark(
      computeMaxCancellationLagMs(settings.maxCancellationS, settings.leaseDurationS),
    );
    this.jobDependencies = this.createJobDependencies();
    this.replica.onSynced((requestedMs) => this.cancellationWatermark.advance(requestedMs));
    this.batcher = new TransactionBatcher(this.storeClient, this.replica, clock, log);
    this.election = this.createElection();
    this.leasedRoles = settings.operator.duties.enabled ? this.createLeasedRoles() : undefined;
    this.leadership = this.createLeadership();
    this.leaseRenewalProxy = this.createLeaseRenewalProxy();
    this.memoryGuard = this.createMemoryGuard();
    this.userApi = this.createUserApi();
    this.heartbeatRelay = this.createHeartbeatRelay();
    this.heartbeatRouter = this.createHeartbeatRouter();
    this.runningTaskCounts = this.createRunningTaskCounts();
    this.replica.onChange((change) => this.leadership.leader?.send({ kind: 'keyChanged', change }));
  }

  /** Starts the replica of the state store, the election and the periodic work of the other parts. */
  start(): void {
    void this.replica.run();
    this.election.start();
    this.leaseRenewalProxy.start();
    this.memoryGuard.start();
    this.leasedRoles?.start();
    this.runningTaskCounts.start();
  }

  /** Handles a request from a user or a worker. `respond` is called once, either before this method returns or later. */
  handleRequest(request: HttpRequest, respond: ResponseCallback): void {
    this.userApi.handleRequest(request, respond);
  }

  /** Records that a request was rejected with this status before it reached `handleRequest`. */
  recordRejectedRequest(status: number): void {
    this.metrics.recordRejectedRequest(status);
  }

  /** Resigns from the current term after an unexpected error. The next leader rebuilds its state from the state store. */
  resignLeadership(): void {
    this.election.resign();
  }

  private createStoreClient(): StoreClient {
    const { settings, clock, httpClient } = this.environment;
    return new StoreClient({
      httpClient,
      address: settings.stateStoreAddress,
      clock,
      limits: settings.stateLimits,
      controllerCount: settings.controllerCount,
    });
  }

  /** Creates the graph of job dependencies. The graph is updated before any other listener receives a change of a job. */
  private createJobDependencies(): DependencyGraph {
    const getValue = (key: string): unknown => this.replica.get(key)?.value;
    const graph = new DependencyGraph((uid) => decodeJobDependencies(getValue(jobKey(uid)), getValue));
    this.replica.onChange(({ key, value }) => {
      const dependencies = isJobKey(key) ? decodeJobDependencies(value, getValue) : undefined;
      if (dependencies) graph.updateJob(parseJobUid(key), dependencies);
    });
    return graph;
  }

  private createElection(): Election {
    const { settings, clock, random, peerTransport, processStartMs, log } = this.environment;
    return new Election({
      member: settings.member,
      zone: settings.zone,
      delegatesCloudCalls: settings.operator.duties.enabled,
      peers: settings.peers,
      storeClient: this.storeClient,
      replica: this.replica,
      transport: peerTransport,
      callbacks: {
        onElected: (term) => void this.leadership.beginTerm(term),
        onLeadershipLost: () => this.leadership.endTerm(),
      },
      clock,
      random,
      watermark: this.cancellationWatermark,
      maxValueBytes: settings.stateLimits.valueBytes,
      processStartMs,
      log,
    });
  }

  private createLeasedRoles(): LeasedRoles {
    const { settings, clock, random, log, httpClient } = this.environment;
    const { replica, batcher, storeClient } = this;
    const usableRequestsPerSecond = settings.cloudLimits.rps * CLOUD_RATE_SHARE;
    const cloudRateShares = DELEGATED_CLOUD_RATE_SHARES;
    return new LeasedRoles({
      member: settings.member,
      store: new ControllerRoleStore(replica, batcher, storeClient),
      cloudProvider: new HttpCloudProvider(httpClient, settings.cloudAddress),
      currentLeader: () => readCurrentLeader(replica),
      findObsoleteRecords: (limit) => findObsoleteRecords(replica, limit),
      maxTransactionOperations: settings.stateLimits.maxTransactionOperations,
      cloudRequestsPerSecond: {
        rent: usableRequestsPerSecond * cloudRateShares.rent,
        return: usableRequestsPerSecond * cloudRateShares.return,
        reclaim: usableRequestsPerSecond * cloudRateShares.reclaim,
      },
      clock,
      random,
      log,
    });
  }

  private createLeadership(): Leadership {
    const { settings, clock, log, httpClient, workerHttpClient } = this.environment;
    return new Leadership({
      settings,
      cancellationWatermark: this.cancellationWatermark,
      jobDependencies: this.jobDependencies,
      isStateStoreAvailable: () => !this.storeClient.lastCallFailed,
      replica: this.replica,
      transactionBatcher: this.batcher,
      httpClient,
      workerHttpClient,
      clock,
      log,
      leasedRoles: this.leasedRoles,
      resign: () => this.election.resign(),
      isZoneUnreachable: (zone) => this.election.leaderView.isZoneSuspect(zone),
      isCurrentTerm: (term) => this.election.isCurrentTerm(term),
    });
  }

  private createLeaseRenewalProxy(): LeaseRenewalProxy {
    const { settings, clock, log, peerTransport } = this.environment;
    return new LeaseRenewalProxy({
      member: settings.member,
      maxValueBytes: settings.stateLimits.valueBytes,
      replica: this.replica,
      batcher: this.batcher,
      clock,
      log,
      refusesConnections: (member) => peerTransport.refusesConnections(member),
      getLastContactMs: (member) => this.election.failureDetector.getLastMessageAtMs(member),
    });
  }

  private createMemoryGuard(): MemoryGuard {
    const { settings, clock, log, measureUsedBytes } = this.environment;
    const { rejectUsersAboveBytes } = divideMemory(settings.memoryBytes, settings.peers.length);
    return new MemoryGuard(clock, measureUsedBytes, rejectUsersAboveBytes, log);
  }

  private createUserApi(): UserApi {
    const { settings, clock, random, log } = this.environment;
    return new UserApi({
      teams: settings.teams,
      replica: this.replica,
      jobDependencies: this.jobDependencies,
      storeLimits: settings.stateLimits,
      random,
      batcher: this.batcher,
      clock,
      log,
      countRunningTasks: (uid) => this.runningTaskCounts.getCount(uid),
      isStoreAvailable: () => this.storeClient.isStoreAvailable,
      isHealthy: () => this.election.leaderView.isHealthy,
      isShortOfMemory: () => this.memoryGuard.isUnderPressure,
      routeHeartbeat: (heartbeat, body, respond) => {
        this.metrics.recordHeartbeat(body.length);
        return this.heartbeatRouter.route(heartbeat, body, respond);
      },
      collectMetrics: () => this.metrics.collect(this.leadership.leader?.measure()),
    });
  }

  private createHeartbeatRelay(): HeartbeatRelay {
    const { settings, clock, random, log, peerTransport } = this.environment;
    const { maxWaitingHeartbeatBytes } = divideMemory(settings.memoryBytes, settings.peers.length);
    return new HeartbeatRelay({
      clock,
      peerTransport,
      log,
      random,
      maxPending: Math.ceil(settings.socketLimits.maxClientConnections * WAITING_HEARTBEATS_SOCKET_SHARE),
      maxPendingBytes: maxWaitingHeartbeatBytes,
      getReachableLeader: () => this.election.leaderView.getReachableLeader(),
      getRefusingLeader: () => this.heartbeatRouter.findRefusingLeader(),
      handleLocally: (body, respond) => this.heartbeatRouter.handleLocally(body, respond),
    });
  }

  private createHeartbeatRouter(): HeartbeatRouter {
    const { settings, clock, peerTransport } = this.environment;
    return new HeartbeatRouter({
      self: { member: settings.member, zone: settings.zone },
      leaderView: this.election.leaderView,
      peers: peerTransport,
      clock,
      getLeaderActor: () => this.leadership.leader,
      getRedirector: () => this.leadership.relayRedirector,
      leaseRenewalProxy: this.leaseRenewalProxy,
      relay: this.heartbeatRelay,
    });
  }

  private createRunningTaskCounts(): RunningTaskCounts {
    const { settings, clock, peerTransport } = this.environment;
    return new RunningTaskCounts({
      peers: settings.peers,
      transport: peerTransport,
      clock,
      getLeader: () => this.leadership.leader,
    });
  }
}
