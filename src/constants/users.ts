/** Constants for requests of users. */

/**
 * Timeout for the answer to a submission or cancellation, in milliseconds. Users give up after 5 s, and get status 503
 * before that.
 */
export const SUBMISSION_TIMEOUT_MS = 3_500;
/** Timeout for the answer to a poll, in milliseconds. Users wait 2 s for the answer. */
export const POLL_TIMEOUT_MS = 1_500;
/**
 * Seconds after which users are asked to retry by a controller that is overloaded or does not reach the state store. It
 * is the shortest delay that the protocol allows.
 */
export const RETRY_AFTER_S = 1;
/**
 * Maximum number of submissions and polls in progress at one controller. Further requests get status 503 immediately.
 */
export const MAX_USER_REQUESTS_IN_PROGRESS = 400;
/** Maximum number of tasks in one job, as defined by the protocol. */
export const MAX_TASKS_PER_JOB = 100_000;

/** Number of possible dependency list ids. It is so large that no two attempts to submit a job draw the same id. */
export const DEPENDENCY_LIST_ID_RANGE = 2 ** 48;
/** Maximum number of characters of a malformed submission that are logged. */
export const MAX_LOGGED_BODY_CHARACTERS = 500;
