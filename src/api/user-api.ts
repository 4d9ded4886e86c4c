/** Routes the HTTP requests to a controller: user requests, health checks and the workers' heartbeats. */
import { assertNever, type Clock } from '@pumicehinge/runtime';
import type { Logger } from 'pino';
import type { Heartbeat } from '../cluster/worker-messages.js';
import { DEPENDENCY_LIST_ID_RANGE, POLL_TIMEOUT_MS, SUBMISSION_TIMEOUT_MS } from '../constants.js';
import type { HttpRequest, HttpResponse, ResponseCallback } from '../http/message.js';
import { formatMetrics, METRICS_CONTENT_TYPE, type MetricSample } from '../metrics.js';
import type { DependencyGraph } from '../pipeline/dependency-graph.js';
import type { TeamQuota } from '../scheduler/team-quota.js';
import { DependencyListWriter } from '../state/dependency-list-writer.js';
import type { StateReplica } from '../state/state-replica.js';
import type { TransactionBatcher } from '../state/transaction-batcher.js';
import { encodeRedirect, parseHeartbeat } from '../workers/codec.js';
import type { HeartbeatRoute } from '../workers/heartbeat-router.js';
import { CancellationHandler } from './cancellation-handler.js';
import {
  CANCEL_ACTION,
  encodeJobStatus,
  HEALTH_PATH,
  HEARTBEAT_PATH,
  isJobUid,
  METRICS_PATH,
  SUBMISSIONS_PATH,
} from './codec.js';
import { JobReader } from './job-reader.js';
import { RequestLimiter } from './request-limiter.js';
import { errorResponse, jsonResponse, TRY_AGAIN } from './responses.js';
import { SubmissionHandler } from './submission-handler.js';

/** Dependencies of `UserApi`. */
export interface UserApiDependencies {
  readonly teams: readonly TeamQuota[];
  readonly replica: StateReplica;
  readonly batcher: TransactionBatcher;
  readonly jobDependencies: Pick<DependencyGraph, 'getStatus'>;
  /** Limits of the state store: the largest size of a value in bytes, and the most operations in a transaction. */
  readonly storeLimits: { readonly valueBytes: number; readonly maxTransactionOperations: number };
  readonly random: () => number;
  readonly clock: Clock;
  readonly log: Logger;
  /** Number of running tasks of a job, for display. */
  readonly countRunningTasks: (uid: string) => number;
  /** Whether the state store serves this controller. */
  readonly isStoreAvailable: () => boolean;
  /** Whether memory is so short that user requests are rejected. */
  readonly isShortOfMemory: () => boolean;
  /** Whether this controller reports itself as healthy to the load balancer. */
  readonly isHealthy: () => boolean;
  /** Routes a worker's heartbeat. A heartbeat that is accepted is answered through `respond`. */
  readonly routeHeartbeat: (heartbeat: Heartbeat, body: string, respond: ResponseCallback) => HeartbeatRoute;
  /** Returns the current values of all metrics. */
  readonly collectMetrics: () => readonly MetricSample[];
}

/** The HTTP interface of every controller. It serves users and receives the workers' heartbeats. */
export class UserApi {
  private readonly requestLimiter: RequestLimiter;
  private readonly jobReader: JobReader;
  private readonly submissionHandler: SubmissionHandler;
  private readonly cancellationHandler: CancellationHandler;

  constructor(private readonly dependencies: UserApiDependencies) {
    this.requestLimiter = new RequestLimiter(dependencies);
    this.jobReader = new JobReader(dependencies);
    const { jobReader } = this;
    const { storeLimits, batcher, random } = dependencies;
    const dependencyLists = new DependencyListWriter({
      storeLimits,
      commit: (conditions, operations) =>
        batcher.commitForUser(conditions, operations, SUBMISSION_TIMEOUT_MS),
      createListId: () => Math.floor(random() * DEPENDENCY_LIST_ID_RANGE).toString(36),
    });
    this.submissionHandler = new SubmissionHandler({ ...dependencies, jobReader, dependencyLists });
    this.cancellationHandler = new CancellationHandler({ ...dependencies, jobReader, dependencyLists });
  }

  /** Handles one request. `respond` is called once, now or later. */
  handleRequest(request: HttpRequest, respond: ResponseCallback): void {
    if (request.path === HEARTBEAT_PATH) return this.handleHeartbeat(request, respond);
    if (request.path === HEALTH_PATH) return respond(this.createHealthResponse(request));
    if (request.path === METRICS_PATH) return respond(this.createMetricsResponse(request));
    if (request.path === SUBMISSIONS_PATH) return this.handleSubmission(request, respond);
    if (request.path.startsWith(`${SUBMISSIONS_PATH}/`)) return this.handleJobRequest(request, respond);
    respond(errorResponse(404, 'no such path'));
  }

  private createHealthResponse({ method }: HttpRequest): HttpResponse {
    if (method !== 'GET') return errorResponse(405, 'GET only');
    return this.dependencies.isHealthy() ? jsonResponse(200, { status: 'ok' }) : TRY_AGAIN;
  }

  private createMetricsResponse({ method }: HttpRequest): HttpResponse {
    if (method !== 'GET') return errorResponse(405, 'GET only');
    const body = formatMetrics(this.dependencies.collectMetrics());
    return { status: 200, body, contentType: METRICS_CONTENT_TYPE };
  }

  private handleSubmission({ method, body }: HttpRequest, respond: ResponseCallback): void {
    if (method !== 'POST') return respond(errorResponse(405, 'POST only'));
    this.requestLimiter.run(SUBMISSION_TIMEOUT_MS, respond, () => this.submissionHandler.submit(body));
  }

  /** Handles a status request for one job, or its cancellation. */
  private handleJobRequest({ method, path }: HttpRequest, respond: ResponseCallback): void {
    const [uid = '', action, extraSegment] = path.slice(SUBMISSIONS_PATH.length + 1).split('/');
    if (extraSegment === undefined && action === CANCEL_ACTION) {
      if (method !== 'POST') return respond(errorResponse(405, 'POST only'));
      return this.requestLimiter.run(SUBMISSION_TIMEOUT_MS, respond, () =>
        this.cancellationHandler.cancel(uid),
      );
    }
    if (action === undefined) {
      if (method !== 'GET') return respond(errorResponse(405, 'GET only'));
      return this.requestLimiter.run(POLL_TIMEOUT_MS, respond, () => this.readJobStatus(uid));
    }
    respond(errorResponse(404, 'no such path'));
  }

  private async readJobStatus(uid: string): Promise<HttpResponse> {
    if (!isJobUid(uid)) return errorResponse(404, 'no such job');
    const job = await this.jobReader.read(uid);
    if (!job) return errorResponse(404, 'no such job');
    const { record } = job;
    const status = {
      phase: this.jobReader.getUserPhase(uid, record),
      completedTasks: this.jobReader.countCompletedTasks(uid, record),
      runningTasks: this.jobReader.countRunningTasks(uid, record),
    };
    return jsonResponse(200, encodeJobStatus(uid, status));
  }

  private handleHeartbeat({ method, body }: HttpRequest, respond: ResponseCallback): void {
    if (method !== 'POST') return respond(errorResponse(405, 'POST only'));
    const heartbeat = parseHeartbeat(body);
    if (!heartbeat) return respond(errorResponse(400, 'no report'));
    const route = this.dependencies.routeHeartbeat(heartbeat, body, respond);
    switch (route.kind) {
      case 'accepted':
        return;
      case 'redirected':
        return respond(jsonResponse(421, encodeRedirect(route.member)));
      case 'unavailable':
        return respond(errorResponse(503, 'no leader'));
      default:
        assertNever(route);
    }
  }
}
