/** Constants for scheduling, preemption, run time estimates, spot interruptions and scaling. */

/** Minimum interval between scheduling cycles, in milliseconds. Events in between are handled together. */
export const SCHEDULING_CYCLE_MIN_INTERVAL_MS = 60;
/**
 * Minimum interval between scheduling cycles, as a multiple of the duration of a cycle. It bounds the processor time
 * that cycles take, so a slow controller runs fewer of them.
 */
export const SCHEDULING_CYCLE_INTERVAL_RATIO = 4;
/**
 * Minimum interval between two reviews of all nodes, in milliseconds. Heartbeats, interruption notices and leases
 * change within seconds.
 */
export const FLEET_REVIEW_MIN_INTERVAL_MS = 250;
/**
 * Minimum interval between two reviews of all nodes, as a multiple of the duration of a review, and between two rounds
 * of scale-out, as a multiple of the duration of a round. It bounds the processor time that both take, because their
 * durations grow with the fleet.
 */
export const FLEET_REVIEW_INTERVAL_RATIO = 20;
/**
 * Minimum interval, in milliseconds, between two rounds of scale-out, and between two rounds of preemption for jobs
 * below rank `prod`. Nodes take many seconds to boot.
 */
export const SCALE_OUT_MIN_INTERVAL_MS = 500;
/** Maximum interval between scheduling cycles, in milliseconds. */
export const SCHEDULING_CYCLE_MAX_INTERVAL_MS = 1_000;
/**
 * The maximum number of tasks that one scheduling cycle starts is never less than this. That maximum bounds the load on
 * the stages after scheduling.
 */
export const MIN_START_LIMIT_PER_CYCLE = 300;
/** Tolerance for comparing resource amounts. Amounts are decimals, and smaller differences are rounding errors. */
export const RESOURCE_TOLERANCE = 1e-6;
/** Minimum billed time of an on-demand instance, in milliseconds. Terminating it earlier saves nothing. */
export const MIN_BILLED_MS = 60_000;
/**
 * Score penalty of a node on which a task of the job failed. The unit is one processor core left free. Such nodes rank
 * after all others.
 */
export const FAILED_NODE_SCORE_PENALTY = 1e6;
/**
 * Score penalty of a node that is not of the kind, spot or on-demand, that the job prefers. The unit is one processor
 * core left free. The kind takes precedence over the start time.
 */
export const UNPREFERRED_KIND_SCORE_PENALTY = 1e4;
/**
 * Score penalty of a node for each second that it takes to pull the image. The unit is one processor core left free.
 * The start time takes precedence over bin packing.
 */
export const IMAGE_PULL_SCORE_PENALTY_PER_S = 10;
/** A job of rank `prod` preempts lower ranks after waiting this many milliseconds, because its users wait for it. */
export const PROD_PREEMPTION_WAIT_MS = 0;
/**
 * Any other job waits this many milliseconds before it preempts lower ranks, or tasks that keep its team from using its
 * guarantee.
 */
export const PREEMPTION_WAIT_MS = 4_000;
/**
 * For this many milliseconds after the preempted tasks have had their time to stop, the room that they leave is kept for
 * the job that it was made for.
 */
export const PREEMPTION_RESERVATION_MS = 10_000;
/**
 * Expected run time of a task as a multiple of its owner's estimate, as long as no run time of its job class has been
 * observed.
 */
export const RUN_TIME_ESTIMATE_MARGIN = 1.6;
/** `RUN_TIME_ESTIMATE_MARGIN` has the same weight as the observed run times of this many jobs of a class. */
export const RUN_TIME_ESTIMATE_WEIGHT_JOBS = 3;
/** Expected run time of a task as a multiple of the mean run time of the completed tasks of its job. */
export const OBSERVED_RUN_TIME_MARGIN = 1.25;
/** A task that exceeded its estimate is expected to run on for this share of the time that it has already run. */
export const OVERRUN_TIME_SHARE = 0.5;
/**
 * Assumed minimum run time of a task, as a share of its owner's estimate, when checking if a deadline can still be met.
 */
export const MIN_RUN_TIME_ESTIMATE_SHARE = 0.7;
/** Added to the cost, in seconds, of a preemption that makes a job miss a deadline which it could otherwise meet. */
export const MISSED_DEADLINE_PENALTY_S = 1_000;
/**
 * A job that has waited this many seconds for running tasks to complete gets nodes of its own. Otherwise newer jobs
 * with earlier deadlines could take the freed capacity again and again.
 */
export const MAX_OCCUPIED_CAPACITY_WAIT_S = 60;
/**
 * A job that can no longer meet any of its deadlines is queued as if it were due this many milliseconds after the
 * earliest of them, so that a stream of newer jobs can't delay it forever.
 */
export const LATE_JOB_DUE_DELAY_MS = 90_000;
/**
 * Expected delay, in milliseconds, between the end of a job and the first start of a dependent job. It covers
 * heartbeats, the write to the state store and the pull of an image.
 */
export const DEPENDENT_START_DELAY_MS = 4_000;
/** A job without a deadline is queued as if it were due this many milliseconds after it became ready to run. */
export const NO_DEADLINE_JOB_DUE_DELAY_MS = 120_000;
/**
 * A job that has waited this many milliseconds without an allocated task is queued with the jobs within their team's
 * guarantee, so that even the largest jobs start in time.
 */
export const STARVATION_WAIT_MS = 100_000;
/** Milliseconds per hour. */
export const MS_PER_HOUR = 3_600_000;
/** Expected number of spot interruptions per hour of use before any use has been observed. */
export const SPOT_PRIOR_INTERRUPTIONS_PER_HOUR = 2;
/** `SPOT_PRIOR_INTERRUPTIONS_PER_HOUR` has the same weight as this many hours of observed use. */
export const SPOT_PRIOR_WEIGHT_HOURS = 0.25;
/**
 * Above this number of spot interruptions per hour of use, jobs with a deadline avoid spot nodes. Such a job is done
 * only when its last task is.
 */
export const MAX_SPOT_INTERRUPTIONS_PER_HOUR = 4;
/** Spot interruptions within this many milliseconds of the first one count as one burst. */
export const SPOT_BURST_WINDOW_MS = 10_000;
/** Of the interruptions in a burst, at most this multiple of the number expected in that time is counted. */
export const MAX_COUNTED_SPOT_BURST_RATIO = 3;
/** Of the interruptions in a burst, up to this many are always counted, even if fewer were expected. */
export const MIN_COUNTED_SPOT_BURST = 3;
/** Minimum interval between two writes of the observed interruptions, in milliseconds. */
export const SPOT_INTERRUPTIONS_WRITE_INTERVAL_MS = 30_000;
/** Time window, in milliseconds, in which the arrivals of a job class are counted to compute its headroom. */
export const HEADROOM_WINDOW_MS = 180_000;
/** Headroom as a multiple of the tasks expected to arrive while a node boots. Jobs do not arrive evenly. */
export const HEADROOM_MARGIN = 1.5;
/** Maximum headroom, as a number of jobs of average size. */
export const MAX_HEADROOM_JOBS = 3;
/**
 * Expected time, in seconds, between the end of the catalog's boot time and the start of a task: the node has to send a
 * heartbeat and pull an image.
 */
export const NODE_START_OVERHEAD_S = 8;
/**
 * Expected time, in seconds, from the report of a task's exit until its task slot is free: the exit has to be stored and
 * acknowledged, and the next heartbeat must no longer list the task.
 */
export const ACKNOWLEDGEMENT_DELAY_S = 2;
/** Grace period, in seconds, of a task that is stopped because its node is drained. */
export const DRAIN_GRACE_PERIOD_S = 30;
/**
 * Margin, in seconds, for stopping a task before its node is interrupted. It is added to the time for a checkpoint and
 * to one heartbeat interval.
 */
export const CHECKPOINT_MARGIN_S = 2;
