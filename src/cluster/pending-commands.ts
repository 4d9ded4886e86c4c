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
    for (const command of listPendingCommands(attempt, mayStart)) yield { command, attempt };
  }
}

/** Whether the worker has to be told to stop an attempt. */
export function hasPendingStop(node: Node): boolean {
  for (const { stopRequest, state } of node.attempts.values())
    if (stopRequest !== undefined && state !== 'exited') return true;
  return false;
}

/** Lists the commands about one attempt, in the order in which the worker should execute them. */
function listPendingCommands(attempt: Attempt, mayStart: (attempt: Attempt) => boolean): WorkerCommand[] {
  const { state, stopRequest, number: attemptNumber } = attempt;
  const taskName = formatTaskName(attempt);
  if (state === 'exited')
    return isEndRecorded(attempt) ? [{ kind: 'acknowledge', taskName, attemptNumber }] : [];
  if (!stopRequest)
    return state === 'planned' && mayStart(attempt) ? [{ kind: 'start', taskName, attemptNumber }] : [];
  // An attempt whose start command was not sent, or certainly not executed, needs no stop command.
  if (state === 'planned') return [];
  // The worker has executed a stop command. Repeating it would take the place of commands for other attempts.
  if (state === 'saving' && stopRequest.gracePeriodS > 0) return [];
  return [{ kind: 'stop', taskName, attemptNumber, gracePeriodS: stopRequest.gracePeriodS }];
}
