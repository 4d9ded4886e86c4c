/** Handles workers' heartbeats on the leader. */
import type { Logger } from 'pino';
import type { ClusterState, Node, Resources } from '../cluster/cluster-state.js';
import type { HeartbeatReconciler } from '../cluster/heartbeat-reconciler.js';
import {
  classifyHeartbeat,
  provesWorkerReplacement,
  type HeartbeatFreshness,
  type HeartbeatSource,
  type HeartbeatVersion,
} from '../cluster/lease-rules.js';
import type { NodeRecords } from '../cluster/node-records.js';
import { TaskLimitMonitor } from '../cluster/task-slot-usage.js';
import type { Heartbeat, WorkerCommand } from '../cluster/worker-messages.js';
import { FIRST_CONTACT_WINDOW_MS } from '../constants.js';
import type { CancellationWatermark } from '../election/cancellation-watermark.js';
import type { LeadershipTerm } from '../election/leadership-term.js';
import type { HttpResponse } from '../http/message.js';
import type { StateReplica } from '../state/state-replica.js';
import { formatJson } from '../wire/json.js';
import { encodeCommands } from './codec.js';
import type { CommandResponse } from './command-call.js';
import type { CommandDispatcher } from './command-dispatcher.js';
import type { DeferredResponses } from './deferred-responses.js';
import type { ReceivedHeartbeat } from './received-heartbeat.js';
import { createStopCommandsForEndedJobs } from './stop-commands.js';

/** Dependencies of HeartbeatHandler. */
export interface HeartbeatHandlerDependencies {
  readonly term: LeadershipTerm;
  readonly cancellationWatermark: Pick<CancellationWatermark, 'mayAnswerHeartbeats'>;
  readonly clusterState: ClusterState;
  readonly heartbeatReconciler: HeartbeatReconciler;
  readonly replica: Pick<StateReplica, 'get'>;
  readonly nodeRecords: Pick<NodeRecords, 'markUsed'>;
  readonly commandDispatcher: Pick<CommandDispatcher, 'prepareCommandsForHeartbeat'>;
  readonly deferredResponses: DeferredResponses;
  /** The current steady time in milliseconds. */
  readonly nowMs: () => number;
  readonly log: Logger;
  /** The full resources of a node of this instance type. */
  readonly getNodeCapacity: (type: string) => Resources;
  /** Whether a node of this name was deleted recently. */
  readonly wasRecentlyDeleted: (name: string) => boolean;
  /** Called once all attempts on the node are known. */
  readonly onReconciled: (node: Node) => void;
  /** Called if more tasks may fit than in the last scheduling cycle. */
  readonly requestSchedulingCycle: () => void;
}

const NOT_ACCEPTED: HttpResponse = { status: 503, body: '{}' };

/**
 * Applies heartbeats to the cluster state and responds with commands. Only a heartbeat with the fencing token of this
 * term proves that its worker received a response of this leader, so only such a heartbeat is evidence about the node
 * (see `src/cluster/lease-rules.ts`).
 */
export class HeartbeatHandler {
  /** The response without commands. It is encoded once, because most heartbeats get it. */
  private readonly emptyResponse: HttpResponse;
  private readonly taskLimitMonitor: TaskLimitMonitor;

  constructor(private readonly dependencies: HeartbeatHandlerDependencies) {
    this.taskLimitMonitor = new TaskLimitMonitor(dependencies.log);
    this.emptyResponse = {
      status: 200,
      body: formatJson(encodeCommands(dependencies.term.fencingToken, [])),
    };
  }

  /**
   * Handles a heartbeat and responds to it. The status is 200 only if this controller is entitled to extend the
   * worker's lease.
   */
  handle(received: ReceivedHeartbeat): void {
    const { heartbeat, respond, relayedBy } = received;
    const knownNode = this.dependencies.clusterState.nodes.get(heartbeat.nodeName);
    const freshness = this.classifyFreshness(heartbeat, knownNode);
    if (freshness === 'stale') return respond(NOT_ACCEPTED);
    knownNode?.recordRelay(relayedBy);
    if (freshness === 'firstContact') this.handleFirstContact(knownNode, received);
    else this.handleCurrentHeartbeat(knownNode ?? this.addNode(received), received);
  }

  /** Applies the status that a worker returned in response to a direct call. It does not extend the lease. */
  handleCommandResponse({ node, status, knownAtCall }: CommandResponse): void {
    const { term, heartbeatReconciler, nowMs } = this.dependencies;
    if (status.fencingToken > term.fencingToken) return;
    if (provesWorkerReplacement(status, knownAtCall, term.fencingToken)) {
      heartbeatReconciler.applyReplacement(node, status, nowMs());
      this.recordReplacement(node, status, 'commandResponse');
    } else if (heartbeatReconciler.apply(node, status, 'commandResponse', nowMs())) this.recordContact(node);
  }

  private classifyFreshness(heartbeat: Heartbeat, knownNode: Node | undefined): HeartbeatFreshness {
    return classifyHeartbeat(heartbeat.fencingToken, this.dependencies.term.fencingToken, {
      isDeleted: this.dependencies.wasRecentlyDeleted(heartbeat.nodeName),
      isReconciled: knownNode?.isReconciled ?? false,
      isWorkerReplaced: knownNode?.isWorkerReplaced ?? false,
    });
  }

  private addNode({ heartbeat, relayedBy }: ReceivedHeartbeat): Node {
    const { nodeName: name, address, type, zone, spot } = heartbeat;
    const capacity = this.dependencies.getNodeCapacity(type);
    const description = { name, address, type, zone, spot, capacity };
    const node = this.dependencies.clusterState.addNode(description, this.dependencies.nowMs());
    node.recordRelay(relayedBy);
    return node;
  }

  private handleCurrentHeartbeat(node: Node, received: ReceivedHeartbeat): void {
    const { heartbeat, respond } = received;
    const nowMs = this.dependencies.nowMs();
    const isFirstHeartbeat = node.lastHeartbeatMs === -Infinity;
    // A late heartbeat does not get the status 200, because its worker must not rely on the response. The heartbeat may
    // also come from a new worker, whose counters started over. Its node becomes unreachable and is replaced.
    if (!this.dependencies.heartbeatReconciler.apply(node, heartbeat, 'heartbeat', nowMs)) {
      if (node.isWorkerReplaced) this.recordReplacement(node, heartbeat, 'heartbeat');
      return respond(NOT_ACCEPTED);
    }
    if (isFirstHeartbeat) this.recordFirstHeartbeat(node, nowMs);
    this.recordContact(node);
    const { deferredResponses } = this.dependencies;
    if (!this.mayRespond()) return respond(NOT_ACCEPTED);
    if (deferredResponses.shouldDefer(node)) deferredResponses.add(received, node);
    else this.respondWithCommands(received, node);
  }

  /** Responds to the heartbeats whose responses need not wait for a scheduling cycle any longer. */
  respondToDeferred(): void {
    for (const { received, node } of this.dependencies.deferredResponses.takeReady()) {
      if (this.isStillCurrent(node, received.heartbeat)) this.respondWithCommands(received, node);
      else received.respond(NOT_ACCEPTED);
    }
  }

  /** Responds to the heartbeats whose responses have waited for as long as they may. */
  handleResponseReview(): void {
    this.respondToDeferred();
    this.dependencies.deferredResponses.completeReview();
  }

  /**
   * Turns the workers away whose responses are deferred, because the term has ended. A relay forwards its heartbeats to the
   * next leader by itself.
   */
  stop(): void {
    for (const { received } of this.dependencies.deferredResponses.takeAll())
      if (received.maxRelayDelayMs === 0) received.respond(NOT_ACCEPTED);
  }

  /** Whether the worker that sent the heartbeat is still the known one. Its list of tasks was applied a moment ago. */
  private isStillCurrent(node: Node, { incarnation }: Heartbeat): boolean {
    const isKnown = this.dependencies.clusterState.nodes.get(node.name) === node;
    return isKnown && node.isReconciled && !node.isWorkerReplaced && node.incarnation === incarnation;
  }

  private respondWithCommands(received: ReceivedHeartbeat, node: Node): void {
    const { commandDispatcher, nowMs } = this.dependencies;
    const { sequence } = received.heartbeat;
    const commands = commandDispatcher.prepareCommandsForHeartbeat(node, sequence, nowMs());
    if (!this.mayRespond()) return received.respond(NOT_ACCEPTED);
    this.respond(received, node, commands);
  }

  /**
   * Sends the fencing token of this term to a worker that does not know it yet. The response also stops the tasks of
   * ended jobs, because leaders may change faster than workers send heartbeats. The heartbeat may be an old copy, so
   * its list of tasks is not applied to the node.
   */
  private handleFirstContact(node: Node | undefined, received: ReceivedHeartbeat): void {
    const { heartbeat, respond } = received;
    const { nodeRecords, replica, requestSchedulingCycle } = this.dependencies;
    // A heartbeat that gets no response must not count as the first contact, because no lease would end the window.
    if (!this.mayRespond()) return respond(NOT_ACCEPTED);
    if (node) {
      const nowMs = this.dependencies.nowMs();
      // A new worker on the machine is accepted only in a later incarnation, which it reaches if it gets no response.
      if (heartbeat.incarnation <= node.fencedIncarnation) return respond(NOT_ACCEPTED);
      node.recordFirstContact(nowMs);
      // The worker would know the token by now if responses reached it. Further responses would extend its lease on the
      // leader, which would then wait forever for the worker's tasks to end.
      if (nowMs - node.firstContactMs > FIRST_CONTACT_WINDOW_MS) return respond(NOT_ACCEPTED);
      node.recordAddress(heartbeat.address);
      if (!node.isPersistedAsUsed) nodeRecords.markUsed(node);
      requestSchedulingCycle();
    }
    this.respond(received, node, createStopCommandsForEndedJobs(heartbeat, replica));
  }

  private recordFirstHeartbeat(node: Node, nowMs: number): void {
    const timeSinceLaunchMs = Math.round(nowMs - node.launchedMs);
    this.dependencies.log.info({ node: node.name, ms: timeSinceLaunchMs }, 'first heartbeat received');
    node.markIdle(nowMs);
  }

  /** Records that a message shows that a new worker has replaced the known one. The node will be terminated. */
  private recordReplacement(node: Node, message: HeartbeatVersion, source: HeartbeatSource): void {
    const { name, incarnation, sequence } = node;
    this.dependencies.log.info(
      {
        node: name,
        known: { incarnation, sequence },
        received: { incarnation: message.incarnation, sequence: message.sequence },
        source,
      },
      'worker replaced by a new one',
    );
    this.dependencies.requestSchedulingCycle();
  }

  /** Records that all attempts on the node are known. The node may get further ones once its record is written. */
  private recordContact(node: Node): void {
    if (!node.isReconciled) {
      node.markReconciled();
      this.dependencies.onReconciled(node);
      this.dependencies.requestSchedulingCycle();
    }
    this.taskLimitMonitor.check(node);
    if (node.attempts.size > 0) node.markBusy();
    else if (node.idleSinceMs === Infinity) node.markIdle(this.dependencies.nowMs());
    if (!node.isPersistedAsUsed) this.dependencies.nodeRecords.markUsed(node);
  }

  /**
   * Whether this is the only controller entitled to respond to workers, and it knows all the cancellations that it
   * has to know.
   */
  private mayRespond(): boolean {
    const nowMs = this.dependencies.nowMs();
    return (
      this.dependencies.term.authority.isValid(nowMs) &&
      this.dependencies.cancellationWatermark.mayAnswerHeartbeats(nowMs)
    );
  }

  /**
   * Responds with status 200 and records the extension of the worker's lease. It must be called right after
   * `mayRespond`. A node that is not in the cluster state holds no task of this cluster, so its lease does not
   * matter.
   */
  private respond(
    { respond, maxRelayDelayMs }: ReceivedHeartbeat,
    node: Node | undefined,
    commands: readonly WorkerCommand[],
  ): void {
    if (node)
      this.dependencies.heartbeatReconciler.recordResponse(node, this.dependencies.nowMs() + maxRelayDelayMs);
    respond(this.encodeResponse(commands));
  }

  private encodeResponse(commands: readonly WorkerCommand[]): HttpResponse {
    if (commands.length === 0) return this.emptyResponse;
    return { status: 200, body: formatJson(encodeCommands(this.dependencies.term.fencingToken, commands)) };
  }
}
