/**
 * Constants for leader election, lease votes, lease renewal proxies, relays and the connections between controllers.
 */

/**
 * Time to live of the leader's lease, in milliseconds. It is short because the leases of workers run on while there is
 * no leader.
 */
export const LEADER_LEASE_TTL_MS = 3_000;
/** Interval between renewals of the leader's lease, in milliseconds. Several attempts fit into the time to live. */
export const LEADER_LEASE_RENEWAL_MS = 700;
/** The leader's authority ends this many milliseconds early, to allow for pauses between a check and a send. */
export const AUTHORITY_MARGIN_MS = 250;
/**
 * Assumed maximum ratio by which the steady clocks of two machines drift apart. The clocks drift apart by at most
 * 0.05%, and twice that is assumed.
 */
export const MAX_CLOCK_DRIFT_RATIO = 0.001;
/**
 * Duration of a lease vote, in milliseconds. A vote lets the leader continue to lead while the state store serves
 * neither the leader nor the voter, so the voter does not campaign until its vote has ended. The duration is short
 * because a restarted controller has to wait until any vote that it granted before the restart has ended.
 */
export const LEASE_VOTE_DURATION_MS = 1_500;
/**
 * Margin, in milliseconds, on top of the longest time from a confirmed cancellation to the end of the job's last task.
 * It covers the delay until an expired lease is noticed, and late timers.
 */
export const CANCELLATION_MARGIN_MS = 1_000;
/**
 * A leader that the state store serves starts tasks only while its cancellation watermark is younger than this, in
 * milliseconds. A watch may take that long.
 */
export const MAX_START_CANCELLATION_LAG_MS = 5_000;
/**
 * Number of most recent entries that a cancellation log always keeps, and half of the maximum number of entries. A
 * leader that catches up only lacks the entries of a few seconds.
 */
export const MIN_CANCELLATION_LOG_ENTRIES = 1_000;
/** Number of possible cancellation log ids. It is so large that no two processes draw the same id at random. */
export const CANCELLATION_LOG_ID_RANGE = 2 ** 48;
/** Upper bound, in bytes, for the key and revision of a job that is sent with a lease vote. */
export const KEY_VALUE_OVERHEAD_BYTES = 256;
/** Interval between two rounds of lease vote requests, in milliseconds. */
export const LEASE_VOTE_REQUEST_INTERVAL_MS = 350;
/** After its lease vote has ended, a voter waits this many milliseconds before it may campaign. */
export const LEASE_VOTE_MARGIN_MS = 200;
/**
 * A lease vote is granted once a probe of the state store has been unanswered for this many milliseconds. An answer
 * of the state store usually takes less than 10 ms.
 */
export const STATE_STORE_PROBE_TIMEOUT_MS = 300;
/** Maximum random delay before a campaign, in milliseconds. It makes collisions between two candidates rare. */
export const CAMPAIGN_JITTER_MS = 150;
/** A controller in a zone with few or no nodes delays its campaign by this many milliseconds. */
export const REMOTE_CAMPAIGN_DELAY_MS = 400;
/** A zone counts as remote from the nodes if it has at most this share of the number of nodes of the largest zone. */
export const REMOTE_ZONE_MAX_NODE_SHARE = 0.2;
/**
 * Minimum interval, in milliseconds, between two leadership transfers by the same controller. Each transfer briefly
 * stops the start of tasks.
 */
export const LEADERSHIP_TRANSFER_INTERVAL_MS = 60_000;
/**
 * With fewer nodes than this, no conclusion is drawn about which zones the nodes are in or whether they are
 * partitioned.
 */
export const MIN_NODE_SAMPLE_SIZE = 3;
/**
 * If more than this share of the nodes has sent no heartbeat for too long at the same time, the leader considers itself
 * partitioned from the nodes.
 */
export const PARTITIONED_NODES_SHARE = 0.6;
/**
 * A term must last at least this many milliseconds before its leader may consider itself partitioned from the nodes.
 */
export const PARTITION_CHECK_MIN_TERM_MS = 10_000;
/**
 * A term must last at least this many milliseconds before a leadership transfer. Right after a crash the jobs have only
 * just been reconciled, and another change of leader would delay them again. Relays limit the cost of a remote leader.
 */
export const LEADERSHIP_TRANSFER_MIN_TERM_MS = 20_000;
/**
 * The leader redirects workers of a zone only if at least this many other controllers of the zone relay heartbeats. A
 * single relay would receive the heartbeats of all workers of the zone.
 */
export const MIN_RELAYS_FOR_REDIRECT = 2;
/**
 * A term must last at least this many milliseconds before its leader redirects workers. At the beginning of a term the
 * workers' leases are close to their expiry.
 */
export const REDIRECT_MIN_TERM_MS = 20_000;
/** Minimum time, in milliseconds, before the same worker is redirected again. */
export const REDIRECT_REPEAT_INTERVAL_MS = 60_000;
/**
 * A controller does not campaign for this many milliseconds after it stepped down. Before the transfer, the successor
 * must have been alive without interruption for more than the same time.
 */
export const STEP_DOWN_PAUSE_MS = 5_000;
/** A controller renews leases of workers by proxy after this many milliseconds without a message from the leader. */
export const LEASE_PROXY_ACTIVATION_MS = 2_000;
/**
 * A lease renewal proxy relies on a read of the state store for this many milliseconds. A new leader assumes that
 * proxies of the previous term may renew leases for this many milliseconds after its own term began.
 */
export const LEASE_PROXY_READ_VALIDITY_MS = 1_000;
/**
 * The leader's response to a relayed heartbeat may be passed on to the worker for this many milliseconds after the
 * heartbeat was forwarded. The leader counts the worker's lease from the end of this time. A new leader assumes that
 * relays may pass on responses of its predecessor for this many milliseconds after its own term began.
 */
export const RELAY_RESPONSE_VALIDITY_MS = 1_500;
/**
 * A heartbeat waits at most this many milliseconds for the leader or a lease renewal proxy. Workers give up after 4 s
 * and turn to another controller.
 */
export const RELAY_TIMEOUT_MS = 3_000;
/** Interval, in milliseconds, between two reviews of the heartbeats that the leader has not answered. */
export const RELAY_REVIEW_INTERVAL_MS = 200;
/** A relay draws its first request id at random from this many, so that no two relay processes use the same ids. */
export const RELAY_ID_RANGE = 2 ** 52;
/** Interval, in milliseconds, between two checks whether delegated leases can be returned to the leader. */
export const LEASE_PROXY_CHECK_INTERVAL_MS = 500;
/**
 * Interval between two heartbeats to each peer, in milliseconds. Status and task counts are sent at the same interval.
 */
export const PEER_HEARTBEAT_INTERVAL_MS = 700;
/** Maximum size of a frame between controllers, in bytes. */
export const MAX_PEER_FRAME_BYTES = 1024 * 1024;
/**
 * Delay, in milliseconds, before a controller connects to a peer again. If the previous connection lasted at least this
 * long, the controller reconnects immediately.
 */
export const PEER_RECONNECT_DELAY_MS = 1_000;
/** Timeout, in milliseconds, of a connection attempt to a peer, and of a connection on which no data arrives. */
export const PEER_IDLE_TIMEOUT_MS = 3_500;
