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

/** Lists the commands about one attempt, in the order in which the worker should execute them. */
function listPendingCommands(attempt: Attempt, mayStart: (attempt: Attempt) => boolean): WorkerCommand[] {
  const { state, stopRequest, directStart, number: attemptNumber } = attempt;
  const taskName = formatTaskName(attempt);
  if (state === 'exited')
    return mayBeAcknowledged(attempt) ? [{ kind: 'acknowledge', taskName, attemptNumber }] : [];
  const start: WorkerCommand = { kind: 'start', taskName, attemptNumber };
  if (!stopRequest) return state === 'planned' && mayStart(attempt) ? [start] : [];
  // An attempt whose start command was not sent, or certainly not executed, needs no stop command.
  if (state === 'planned' && directStart === 'none') return [];
  // The worker has executed a stop command. Repeating it would take the place of commands for other attempts.
  if (state === 'saving' && stopRequest.gracePeriodS > 0) return [];
  const { gracePeriodS } = stopRequest;
  const stop: WorkerCommand = { kind: 'stop', taskName, attemptNumber, gracePeriodS };
  // A worker that does not know the attempt ignores the stop, and a lost start command may still arrive. With the start
  // before it, the stop makes the worker hold the attempt as exited, and a late start then has no effect.
  const mayArriveLate = state === 'planned' && directStart === 'lost';
  return mayArriveLate && mayStart(attempt) ? [start, stop] : [stop];
}

/**
 * Whether the worker may forget an exited attempt. A start command that is still in transit has to find the attempt on the
 * worker, or it would be executed again.
 */
function mayBeAcknowledged(attempt: Attempt): boolean {
  return attempt.directStart === 'none' && isEndRecorded(attempt);
}
