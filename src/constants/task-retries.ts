/** Constants for the backoff of jobs with failed tasks, and for the quarantine of nodes on which tasks fail. */

/** Backoff of a job, in milliseconds, after one of its tasks failed. It doubles with each consecutive failure. */
export const INITIAL_FAILURE_BACKOFF_MS = 2_000;
/**
 * Maximum backoff of a job, in milliseconds. A job that was submitted with an error fails until its user cancels it.
 */
export const MAX_FAILURE_BACKOFF_MS = 60_000;
/**
 * A node is quarantined after tasks of this many jobs failed on it. A job whose tasks failed on more nodes than this
 * number does not count, because the job itself is probably faulty.
 */
export const QUARANTINE_AFTER_FAILED_JOBS = 2;
