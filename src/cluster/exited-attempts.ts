/** What may be done with exited attempts, which a worker lists until they are acknowledged. All functions are pure. */
import type { Attempt } from './attempt.js';

/**
 * Whether an exited attempt may be forgotten as far as its job is concerned. Until a completion is stored, a new leader can
 * learn of it only from the worker's list.
 */
export function isEndRecorded({ exitCause, taskIndex, job }: Attempt): boolean {
  if (exitCause !== 'completed' || !job?.isOpen) return true;
  return job.persistence.isCompletionPersisted(taskIndex);
}
