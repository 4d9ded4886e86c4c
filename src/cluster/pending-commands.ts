/**
 * Derives the commands that a worker should get from the attempts on its node. The functions are pure and mark no
 * command as sent.
 */
import type { WorkerCommand } from './worker-messages.js';
import { formatTaskName, type Attempt } from './attempt.js';
import { isEndRecorded } from './exited-attempts.js';
import type { Node } from './node.js';

/** A command and the attempt that it concerns. */
export interface PendingCommand {
  readonly command: WorkerCommand;
  readonly attempt: Attempt;
}

/** Yields the commands that the node's worker should get now. The attempts that have been known longest come first. */
export function* generatePendingCommands(
  node: Node,
  mayStart: (attempt: Attempt) => boolean,
): Iterable<PendingCommand> {
  for (const attempt of node.attempts.values()) {
    const command = findPendingCommand(attempt, mayStart);
    if (command) yield { command, attempt };
  }
}

/**
 * Whether the worker has to be told to start or stop an attempt. The acknowledgement of an exited attempt can wait
 * for the next heartbeat.
 */
export function needsCommands(node: Node): boolean {
  for (const attempt of node.attempts.values()) {
    if (attempt.state === 'planned') return true;
    if (attempt.stopRequest !== undefined && attempt.state !== 'exited') return true;
  }
  return false;
}

function findPendingCommand(
  attempt: Attempt,
  mayStart: (attempt: Attempt) => boolean,
): WorkerCommand | undefined {
  const { state, stopRequest, number } = attempt;
  const taskName = formatTaskName(attempt);
  if (state === 'exited')
    return mayBeAcknowledged(attempt) ? { kind: 'acknowledge', taskName, attemptNumber: number } : undefined;
  if (stopRequest) {
    // An attempt whose start command was not sent, or certainly not executed, needs no stop command.
    if (state === 'planned' && attempt.directStart === 'none') return undefined;
    // The worker has executed a stop command. Repeating it would take the place of commands for other attempts.
    if (state === 'saving' && stopRequest.gracePeriodS > 0) return undefined;
    return { kind: 'stop', taskName, attemptNumber: number, gracePeriodS: stopRequest.gracePeriodS };
  }
  return state === 'planned' && mayStart(attempt)
    ? { kind: 'start', taskName, attemptNumber: number }
    : undefined;
}

/**
 * Whether the worker may forget an exited attempt. A start command that is still in transit has to find the attempt on the
 * worker, or it would be executed again.
 */
function mayBeAcknowledged(attempt: Attempt): boolean {
  return attempt.directStart === 'none' && isEndRecorded(attempt);
}
