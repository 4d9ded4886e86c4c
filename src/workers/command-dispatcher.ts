/**
 * Delivers commands to workers in the responses to their heartbeats, and by direct calls if waiting for the next
 * heartbeat would cost time.
 */
import type { Logger } from 'pino';
import { assertNever } from '@pumicehinge/runtime';
import {
  formatAttemptKey,
  formatTaskName,
  type Attempt,
  type ClusterState,
  type Node,
} from '../cluster/cluster-state.js';
import { computeDirectStartExpiryMs, type HeartbeatVersion } from '../cluster/lease-rules.js';
import { needsCommands, generatePendingCommands, type PendingCommand } from '../cluster/pending-commands.js';
import type { WorkerCommand } from '../cluster/worker-messages.js';
import {
  COMMAND_CALL_TIMEOUT_MS,
  LOST_START_FENCING_DELAY_MS,
  MAX_COMMANDS_PER_RESPONSE,
  STOP_RESEND_INTERVAL_MS,
} from '../constants.js';
import type { LeadershipTerm } from '../election/leadership-term.js';
import { HttpCallError, type HttpClient } from '../http/message.js';
import { formatJson, type WireInt } from '../wire/json.js';
import { encodeCommands } from './codec.js';
import {
  determineExecutionStatus,
  parseCommandResponse,
  type CommandCallOutcome,
  type CommandCallResult,
  type CommandResponse,
  type ExecutionStatus,
} from './command-call.js';

const COMMANDS_PATH = '/orders';

/** Dependencies of CommandDispatcher. */
export interface CommandDispatcherDependencies {
  readonly term: LeadershipTerm;
  readonly clusterState: ClusterState;
  /** Sends the direct calls to workers. */
  readonly httpClient: HttpClient;
  /** Duration of a worker's lease in seconds. */
  readonly leaseS: number;
  /** The current steady time in milliseconds. */
  readonly nowMs: () => number;
  readonly log: Logger;
  /** Whether a planned attempt may be started now. This is checked right before each start command. */
  readonly mayStart: (attempt: Attempt) => boolean;
  /** Delivers the result to `handleCallResult` through the leader's mailbox. */
  readonly deliverCallResult: (result: CommandCallResult) => void;
  /** Handles the status that a worker returns in response to a direct call. */
  readonly handleResponse: (response: CommandResponse) => void;
}

/** The commands of one direct call, and the attempts that it starts. */
interface DirectCall {
  readonly commands: readonly WorkerCommand[];
  readonly attemptsToStart: readonly Attempt[];
}

/**
 * Sends each command until a heartbeat shows its effect. A start command that was sent by a direct call without a
 * response keeps its resources allocated, because it may be executed for as long as the worker's incarnation lasts.
 */
export class CommandDispatcher {
  /** Nodes with a direct call in flight. */
  private readonly nodesBeingCalled = new Set<Node>();
  /** Attempts for which it is unknown whether their direct start was executed. */
  private readonly lostStarts = new Set<Attempt>();
  /** Steady time in milliseconds at which a direct call last carried a stop command for the attempt. */
  private readonly stopSentMs = new Map<Attempt, number>();

  constructor(private readonly dependencies: CommandDispatcherDependencies) {}

  /**
   * Requests that the attempt stop, with `gracePeriodS` seconds to save a checkpoint. A request with a shorter grace
   * period overrides an earlier one. An attempt whose start was never sent, or was certainly not executed, is
   * withdrawn at once.
   */
  requestStop(attempt: Attempt, gracePeriodS: number): void {
    if (attempt.state === 'exited') return;
    if (attempt.state === 'planned' && attempt.directStart === 'none') {
      this.dependencies.clusterState.withdrawPlannedAttempt(attempt);
    } else if (!attempt.stopRequest || gracePeriodS < attempt.stopRequest.gracePeriodS) {
      attempt.requestStop(gracePeriodS);
      this.dependencies.clusterState.markAwaitingCommands(attempt.node);
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
      if (command.kind === 'start') this.markSent(attempt, sequence, nowMs);
      commands.push(command);
    }
    return commands;
  }

  /** Calls all workers that may not know of their commands yet. `nowMs` is the steady time in milliseconds. */
  sendPending(nowMs: number): void {
    for (const node of this.dependencies.clusterState.nodesAwaitingCommands) this.sendToNode(node, nowMs);
  }

  /**
   * Applies the result of a direct call to the attempts that it was meant to start, and the worker's response to the
   * node.
   */
  handleCallResult({ node, attemptsToStart, knownAtCall, outcome }: CommandCallResult): void {
    this.nodesBeingCalled.delete(node);
    const executionStatus = determineExecutionStatus(outcome);
    if (attemptsToStart.length > 0) this.extendLease(node, knownAtCall, executionStatus);
    for (const attempt of attemptsToStart) this.endDirectStart(attempt, executionStatus);
    const status = parseCommandResponse(outcome);
    // The node may have been deleted in the meantime, or deleted and added again.
    if (!status || this.dependencies.clusterState.nodes.get(node.name) !== node) return;
    this.dependencies.handleResponse({ node, status, knownAtCall });
  }

  /**
   * Whether the leader must give up its term because a lost start of an ended job may still be executed. That is
   * possible for as long as the worker's incarnation lasts, and only a higher fencing token rules it out.
   */
  needsNewTerm(nowMs: number): boolean {
    for (const attempt of this.lostStarts) {
      if (!isAllocated(attempt)) {
        this.lostStarts.delete(attempt);
      } else if (
        attempt.job &&
        !attempt.job.isOpen &&
        nowMs - attempt.startSentMs >= LOST_START_FENCING_DELAY_MS
      ) {
        this.dependencies.log.info(
          { task: formatTaskName(attempt) },
          'term ended to fence a lost task start of an ended job',
        );
        return true;
      }
    }
    return false;
  }

  private sendToNode(node: Node, nowMs: number): void {
    if (this.nodesBeingCalled.has(node) || !node.isReconciled || node.address === '') return;
    if (node.isWorkerReplaced) return;
    if (!this.dependencies.term.authority.isValid(nowMs)) return;
    if (!needsCommands(node)) {
      this.dependencies.clusterState.clearAwaitingCommands(node);
      return;
    }
    const { commands, attemptsToStart } = this.prepareDirectCall(node, nowMs);
    if (commands.length === 0) return;
    this.nodesBeingCalled.add(node);
    this.callWorker(node, commands, attemptsToStart);
  }

  private callWorker(
    node: Node,
    commands: readonly WorkerCommand[],
    attemptsToStart: readonly Attempt[],
  ): void {
    const { httpClient, term, deliverCallResult } = this.dependencies;
    const knownAtCall = { incarnation: node.incarnation, sequence: node.sequence };
    const deliver = (outcome: CommandCallOutcome): void =>
      deliverCallResult({ node, attemptsToStart, knownAtCall, outcome });
    const body = formatJson(encodeCommands(term.fencingToken, commands, node.incarnation));
    httpClient.call(node.address, 'POST', COMMANDS_PATH, body, COMMAND_CALL_TIMEOUT_MS).then(
      (response) => {
        deliver({ kind: 'response', status: response.status, body: response.body });
      },
      (error: unknown) => {
        const failure = error instanceof HttpCallError ? error.failure : 'unclear';
        deliver({ kind: 'noResponse', failure });
      },
    );
  }

  private prepareDirectCall(node: Node, nowMs: number): DirectCall {
    const commands: WorkerCommand[] = [];
    const attemptsToStart: Attempt[] = [];
    for (const pendingCommand of generatePendingCommands(node, this.dependencies.mayStart)) {
      if (commands.length >= MAX_COMMANDS_PER_RESPONSE) break;
      if (!this.prepareDirectCommand(pendingCommand, nowMs)) continue;
      commands.push(pendingCommand.command);
      if (pendingCommand.command.kind === 'start') attemptsToStart.push(pendingCommand.attempt);
    }
    return { commands, attemptsToStart };
  }

  /** Whether the direct call carries the command now. If so, the command is marked as sent. */
  private prepareDirectCommand({ command, attempt }: PendingCommand, nowMs: number): boolean {
    switch (command.kind) {
      case 'acknowledge':
        // An acknowledgement is not urgent and is sent in the response to the next heartbeat.
        return false;
      case 'stop':
        return this.prepareDirectStop(attempt, nowMs);
      case 'start':
        return this.prepareDirectStart(attempt, nowMs);
      default:
        return assertNever(command);
    }
  }

  private prepareDirectStop(attempt: Attempt, nowMs: number): boolean {
    const lastSentMs = this.stopSentMs.get(attempt) ?? -Infinity;
    if (nowMs - lastSentMs < STOP_RESEND_INTERVAL_MS) return false;
    this.stopSentMs.set(attempt, nowMs);
    return true;
  }

  private prepareDirectStart(attempt: Attempt, nowMs: number): boolean {
    // A lost start is repeated only in responses to heartbeats. After a second direct call it would be unclear which of
    // the two copies the worker's response refers to.
    if (attempt.directStart !== 'none') return false;
    this.markSent(attempt, attempt.node.sequence, nowMs);
    attempt.beginDirectStart();
    return true;
  }

  private markSent(attempt: Attempt, sequence: WireInt, nowMs: number): void {
    attempt.markStartSent(sequence, nowMs);
    this.dependencies.log.debug(
      { task: formatTaskName(attempt), node: attempt.node.name },
      'task start sent',
    );
  }

  /** Extends the lease of a node on which a direct call that has just ended may have started tasks. */
  private extendLease(node: Node, { incarnation }: HeartbeatVersion, executionStatus: ExecutionStatus): void {
    if (executionStatus === 'notExecuted') return;
    const { nowMs, leaseS } = this.dependencies;
    const call = { endMs: nowMs(), incarnation, isExecuted: executionStatus === 'executed' };
    node.extendLease(computeDirectStartExpiryMs(call, leaseS));
  }

  private endDirectStart(attempt: Attempt, executionStatus: ExecutionStatus): void {
    attempt.endDirectStart(executionStatus === 'unknown' ? 'lost' : 'none');
    if (executionStatus === 'unknown') this.lostStarts.add(attempt);
    if (executionStatus === 'notExecuted' && attempt.state === 'sent') attempt.returnToPlanned();
  }
}

/** Whether the node still holds resources for the attempt. */
function isAllocated(attempt: Attempt): boolean {
  const { node, jobUid, taskIndex, number, state } = attempt;
  return state !== 'exited' && node.attempts.get(formatAttemptKey(jobUid, taskIndex, number)) === attempt;
}
