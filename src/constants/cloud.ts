/** Constants for calls to the cloud, and for instances and their boot times. */

/**
 * All controllers together use this share of the cloud's request rate. If no roles are delegated, the leader uses it
 * alone.
 */
export const CLOUD_RATE_SHARE = 0.8;
/**
 * If the holders of controller roles launch and terminate instances in place of the leader, the usable request rate is
 * split into these shares: one for the leader, which reads the instance list and the catalog, and one for each role,
 * under the name of the role.
 * The shares add up to 1. The launches have the largest share because waiting work depends on them.
 */
export const DELEGATED_CLOUD_RATE_SHARES = { leader: 0.3, rent: 0.45, return: 0.125, reclaim: 0.125 };
/**
 * If roles are delegated, the leader uses this share of its own rate to read the instance list. The catalog uses the
 * rest.
 */
export const DELEGATED_INSTANCE_LIST_RATE_SHARE = 0.8;
/** Timeout of a call to the cloud, in milliseconds. */
export const CLOUD_CALL_TIMEOUT_MS = 5_000;
/**
 * Margin, in milliseconds, on top of twice the lag of the instance list, before a node that is not listed counts as
 * missing.
 */
export const INSTANCE_LIST_MARGIN_MS = 1_000;
/** Interval between two reads of the instance list, in milliseconds. */
export const INSTANCE_LIST_INTERVAL_MS = 4_000;
/**
 * If no roles are delegated, the leader uses this share of its rate to read the instance list. A list of thousands of
 * instances takes many requests.
 */
export const INSTANCE_LIST_RATE_SHARE = 0.35;
/** Interval between two reads of the catalog, in milliseconds. Spot prices change over time. */
export const CATALOG_INTERVAL_MS = 30_000;
/** The protocol allows at most this many instances in one launch request. */
export const MAX_INSTANCES_PER_LAUNCH = 50;
/** The protocol allows at most this many instances in one termination request. */
export const MAX_INSTANCES_PER_TERMINATION = 100;
/** Number of instances per page of the instance list, as defined by the protocol. */
export const INSTANCE_LIST_PAGE_SIZE = 500;
/** Backoff, in milliseconds, before an offering that had no capacity left is requested again. */
export const OFFERING_UNAVAILABLE_BACKOFF_MS = 10_000;
/**
 * Backoff, in milliseconds, before an offering is requested again after a fault of the cloud. Faults pass sooner than a
 * lack of capacity.
 */
export const OFFERING_FAULT_BACKOFF_MS = 2_500;
/**
 * For a job that avoids spot instances, a spot instance is priced at this multiple of the on-demand price of its type.
 * Such a job therefore gets a spot instance only if no on-demand offering that it can use has a better score. This is so
 * if none is available, or if those that are cost much more per task or would make the tasks much later.
 */
export const AVOIDED_SPOT_PRICE_RATIO = 2;
/** A booting node counts as stuck after this multiple of the boot time in the catalog. */
export const STUCK_BOOT_TIME_RATIO = 3;
/** Minimum time, in milliseconds, before a booting node counts as stuck. */
export const STUCK_BOOT_MIN_MS = 45_000;
/** Assumed boot time, in seconds, of an instance type that is not in the catalog. */
export const DEFAULT_BOOT_TIME_S = 60;
