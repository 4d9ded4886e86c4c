/**
 * Delivers commands to workers: all kinds in the responses to their heartbeats, and stop commands also by direct calls.
 */
import type { Logger } from 'pino';
import {
  formatTaskName,
  type Attempt,
  type ClusterState,
  type Node,
  type StopRequest,
} from '../cluster/cluster-state.js';
import { generatePendingCommands, hasPendingStop } from '../cluster/pending-commands.js';
import type { WorkerCommand } from '../cluster/worker-messages.js';
import { COMMAND_CALL_TIMEOUT_MS, MAX_COMMANDS_PER_RESPONSE, STOP_RESEND_INTERVAL_MS } from '../constants.js';
import type { LeadershipTerm } from '../election/leadership-term.js';
import type { HttpClient } from '../http/message.js';
import { formatJson, type WireInt } from '../wire/json.js';
import { encodeCommands, parseHeartbeat } from './codec.js';
import {
  isRefused,
  parseCommandResponse,
  type CommandCallOutcome,
  type CommandCallResult,
  type CommandResponse,
} from './command-call.js';

const COMMANDS_PATH = '/orders';

/** Dependencies of CommandDispatcher. */
export interface CommandDispatcherDependencies {
  readonly term: LeadershipTerm;
  readonly clusterState: ClusterState;
  /** Sends the direct calls to workers. */
  readonly httpClient: HttpClient;
  readonly log: Logger;
  /** Whether a planned attempt may be started now. This is checked right before each start command. */
  readonly mayStart: (attempt: Attempt) => boolean;
  /** Delivers the result to `handleCallResult` through the leader's mailbox. */
  readonly deliverCallResult: (result: CommandCallResult) => void;
  /** Handles the status that a worker returns in response to a direct call. */
  readonly handleResponse: (response: CommandResponse) => void;
}

/** Numbers of commands and calls to workers since the term began. */
export interface CommandCounts {
  readonly startsSent: number;
  readonly directCalls: number;
  /** Direct calls that their workers refused because of the fencing token or of the incarnation. */
  readonly directCallsRefused: number;
}

/**
 * Sends each command until a heartbeat shows its effect. A direct call may be executed late and more than once, also by
 * a new worker on the machine, so it carries only stop commands. A worker ignores a response that comes late, so starts
 * are sent in responses only.
 */
export class CommandDispatcher {
  /** Nodes with a direct call in flight. */
  private readonly nodesBeingCalled = new Set<Node>();
  /** Steady time in milliseconds at which a direct call last carried a stop command for the attempt. */
  private readonly stopSentMs = new Map<Attempt, number>();

  private readonly counts = { startsSent: 0, directCalls: 0, directCallsRefused: 0 };

  constructor(private readonly dependencies: CommandDispatcherDependencies) {}

  /** What was sent since the term began. */
  get commandCounts(): CommandCounts {
    return { ...this.counts };
  }

  /**
   * Requests that the attempt stop. A request with a shorter grace period overrides an earlier one. An attempt whose start
   * was never sent, or was certainly not executed, is withdrawn at once.
   */
  requestStop(attempt: Attempt, request: StopRequest): void {
    if (attempt.state === 'exited') return;
    if (attempt.state === 'planned') {
      this.dependencies.clusterState.withdrawPlannedAttempt(attempt);
    } else if (!attempt.stopRequest || request.gracePeriodS < attempt.stopRequest.gracePeriodS) {
      attempt.requestStop(request);
      this.dependencies.log.debug({ ...describeAttempt(attempt), ...request }, 'task stop requested');
      this.dependencies.clusterState.markAwaitingStops(attempt.node);
      this.stopSentMs.delete(attempt);
    }
  }

  /** Discards what is recorded about the stop commands for an attempt that has ended. No more of them are sent. */
  discardAttempt(attempt: Attempt): void {
    this.stopSentMs.delete(attempt);
  }

  /**
   * Prepares the commands for the response to the node's heartbeat with this sequence number, and marks the start
   * commands among them as sent. `nowMs` is the steady time in milliseconds.
   */
  prepareCommandsForHeartbeat(node: Node, sequence: WireInt, nowMs: number): WorkerCommand[] {
    const commands: WorkerCommand[] = [];
    for (const { command, attempt } of generatePendingCommands(node, this.dependencies.mayStart)) {
      if (commands.length >= MAX_COMMANDS_PER_RESPONSE) break;
      if (command.kind === 'start') this.markStartSent(attempt, sequence, nowMs);
      if (command.kind === 'acknowledge') this.logAcknowledgement(attempt, sequence);
      commands.push(command);
    }
    return commands;
  }

  /** Calls all workers that may not know of their stop commands yet. `nowMs` is the steady time in milliseconds. */
  sendPendingStops(nowMs: number): void {
    for (const node of this.dependencies.clusterState.nodesAwaitingStops) this.sendStops(node, nowMs);
  }

  /** Applies the worker's response to a direct call to the node. */
  handleCallResult({ node, knownAtCall, outcome }: CommandCallResult): void {
    this.nodesBeingCalled.delete(node);
    if (isRefused(outcome)) this.recordRefusal(node, outcome.body);
    const status = parseCommandResponse(outcome);
    // The node may have been deleted in the meantime, or deleted and added again.
    if (!status || this.dependencies.clusterState.nodes.get(node.name) !== node) return;
    this.dependencies.handleResponse({ node, status, knownAtCall });
  }

  private sendStops(node: Node, nowMs: number): void {
    if (this.nodesBeingCalled.has(node) || !node.isReconciled || node.address === '') return;
    if (node.isWorkerReplaced) return;
    if (!this.dependencies.term.authority.isValid(nowMs)) return;
    if (!hasPendingStop(node)) {
      this.dependencies.clusterState.clearAwaitingStops(node);
      return;
    }
    const commands = this.prepareDirectCall(node, nowMs);
    if (commands.length === 0) return;
    this.nodesBeingCalled.add(node);
    this.counts.directCalls++;
    this.callWorker(node, commands);
  }

  private callWorker(node: Node, commands: readonly WorkerCommand[]): void {
    const { httpClient, term, deliverCallResult } = this.dependencies;
    const knownAtCall = { incarnation: node.incarnation, sequence: node.sequence };
    const deliver = (outcome: CommandCallOutcome): void => deliverCallResult({ node, knownAtCall, outcome });
    const body = formatJson(encodeCommands(term.fencingToken, commands, node.incarnation));
    httpClient.call(node.address, 'POST', COMMANDS_PATH, body, COMMAND_CALL_TIMEOUT_MS).then(
      (response) => {
        deliver({ kind: 'response', status: response.status, body: response.body });
      },
      () => {
        deliver({ kind: 'noResponse' });
      },
    );
  }

  /** Returns the stop commands that a direct call should carry now, and marks them as sent. */
  private prepareDirectCall(node: Node, nowMs: number): WorkerCommand[] {
    const commands: WorkerCommand[] = [];
    for (const { command, attempt } of generatePendingCommands(node, () => false)) {
      if (commands.length >= MAX_COMMANDS_PER_RESPONSE) break;
      if (command.kind !== 'stop' || !this.isStopDue(attempt, nowMs)) continue;
      this.stopSentMs.set(attempt, nowMs);
      commands.push(command);
    }
    return commands;
  }

  private isStopDue(attempt: Attempt, nowMs: number): boolean {
    const lastSentMs = this.stopSentMs.get(attempt) ?? -Infinity;
    return nowMs - lastSentMs >= STOP_RESEND_INTERVAL_MS;
  }

  private markStartSent(attempt: Attempt, sequence: WireInt, nowMs: number): void {
    attempt.markStartSent(sequence, nowMs);
    this.counts.startsSent++;
    const { log, term } = this.dependencies;
    log.debug({ ...describeAttempt(attempt), term: term.fencingToken, sequence }, 'task start sent');
  }

  private logAcknowledgement(attempt: Attempt, sequence: WireInt): void {
    const { log, term } = this.dependencies;
    const { exitCause } = attempt;
    log.debug(
      { ...describeAttempt(attempt), term: term.fencingToken, sequence, exitCause },
      'task exit acknowledged',
    );
  }

  /** Records that a worker refused a direct call: it has seen a later term, or has begun another incarnation. */
  private recordRefusal({ name, incarnation }: Node, body: string): void {
    this.counts.directCallsRefused++;
    const { log, term } = this.dependencies;
    const status = parseHeartbeat(body);
    log.info(
      {
        node: name,
        term: term.fencingToken,
        incarnation,
        workerToken: status?.fencingToken,
        workerIncarnation: status?.incarnation,
      },
      'direct call refused by its worker',
    );
  }
}

function describeAttempt(attempt: Attempt): { task: string; attempt: WireInt; node: string } {
  return { task: formatTaskName(attempt), attempt: attempt.number, node: attempt.node.name };
}
