/** What may be done with exited attempts, which a worker lists until they are acknowledged. All functions are pure. */
import type { Attempt } from './attempt.js';
import type { Node } from './node.js';

/**
 * Whether an exited attempt may be forgotten as far as its job is concerned. Until a completion is stored, a new leader can
 * learn of it only from the worker's list.
 */
export function isEndRecorded({ exitCause, taskIndex, job }: Attempt): boolean {
  if (exitCause !== 'completed' || !job?.isOpen) return true;
  return job.persistence.isCompletionPersisted(taskIndex);
}

/**
 * Whether the attempt has exited, but has to stay on the worker's list for as long as the worker's incarnation and the
 * term last. A start command that was lost may still arrive. It would be executed again if the worker had forgotten the
 * attempt.
 */
export function isKeptForLostStart({ state, directStart }: Attempt): boolean {
  return state === 'exited' && directStart === 'lost';
}

/**
 * Whether an exited attempt is about to leave the worker's list. An attempt that is kept for a lost start is not, so its
 * task slot must not be counted on.
 */
export function isAboutToBeForgotten(attempt: Attempt): boolean {
  return attempt.state === 'exited' && !isKeptForLostStart(attempt);
}

/**
 * Whether a node may be terminated without loss: it has no attempts, except exited ones that are kept for a lost start
 * and whose ends are recorded. A start command that arrives after the termination finds no worker.
 */
export function isVacant(node: Pick<Node, 'attempts'>): boolean {
  for (const attempt of node.attempts.values())
    if (!isKeptForLostStart(attempt) || !isEndRecorded(attempt)) return false;
  return true;
}
