/**
 * A node of the cluster as the leader of one term knows it. Its state changes only through the transition methods of
 * `Node`, which `src/cluster/tracked-node.ts` implements.
 */
import type { WireInt } from '../wire/json.js';
import type { Heartbeat } from './worker-messages.js';
import type { Attempt } from './attempt.js';
import type { Resources } from './resources.js';

/** What is known about a node before its worker sends a heartbeat. */
export interface NodeDescription {
  readonly name: string;
  /** `host:port` of the worker. Empty while it is unknown. */
  readonly address: string;
  /** Name of the instance type. */
  readonly type: string;
  readonly zone: string;
  /** Whether the cloud may reclaim the node at short notice. */
  readonly spot: boolean;
  /** All resources of the node that tasks may use. */
  readonly capacity: Resources;
}

/** One machine of the cluster. All times are steady times in ms. */
export interface Node extends NodeDescription {
  /** Position in the order in which nodes became known. The oldest are filled first, so that the others become idle. */
  readonly ordinal: number;
  /** The controller through which the last heartbeat of this term came. Empty if no heartbeat arrived in this term. */
  readonly relayedBy: string;
  /** Resources that the attempts on the node take, including attempts that may still be started. */
  readonly allocated: Resources;
  /** All attempts that are or may be on the node, by `formatAttemptKey`, in the order in which they became known. */
  readonly attempts: ReadonlyMap<string, Attempt>;
  /** The worker's incarnation, which grows each time the worker's lease expires. 0 if none was seen. */
  readonly incarnation: WireInt;
  /** Sequence number of the worker's newest message, which is a heartbeat or the response to a command. */
  readonly sequence: WireInt;
  /** When the last heartbeat with this term's fencing token arrived. -Infinity if none did. */
  readonly lastHeartbeatMs: number;
  /**
   * When the first heartbeat without this term's fencing token arrived in this term, or since the lease last expired.
   * -Infinity if none did.
   */
  readonly firstContactMs: number;
  /** When the last response with status 200 to a heartbeat reaches the worker at the latest. */
  readonly lastResponseMs: number;
  /** Number of responses in a row that have no effect according to the heartbeats. */
  readonly unacknowledgedResponses: number;
  /** When the tasks have certainly ended, unless the lease is extended. -Infinity if the node has no lease. */
  readonly leaseExpiryMs: number;
  /** Incarnations up to this one have certainly ended. */
  readonly fencedIncarnation: WireInt;
  /**
   * Whether a heartbeat showed this term's fencing token since the lease last expired, so that the worker has seen the
   * token and the list of attempts is complete.
   */
  readonly isReconciled: boolean;
  /** Whether the state store marks the node as possibly holding tasks. This has to be so before a task is started. */
  readonly isPersistedAsUsed: boolean;
  /** When the node was launched, as far as this is known. */
  readonly launchedMs: number;
  /** When the cloud's last instance list that contains the node was requested. -Infinity if none contains it. */
  readonly lastListedMs: number;
  /** When the cloud will reclaim the node. Infinity if the cloud gave no interruption notice. */
  readonly interruptionMs: number;
  /** Since when the node has had no task. Infinity while it has one. */
  readonly idleSinceMs: number;
  /**
   * Whether a new worker has replaced the one that was known. Its counters start over, so the order of the node's
   * messages is unknown from then on, and no message is evidence any more.
   */
  readonly isWorkerReplaced: boolean;
  /** Whether the termination of the node was requested. No new tasks are placed on it then. */
  readonly isTerminating: boolean;
  /** Images that are probably in the node's cache, with their sizes in GB, the least recently used one first. */
  readonly cachedImages: ReadonlyMap<string, number>;
  /** Uids of the jobs of which a task failed on the node. */
  readonly failedJobs: ReadonlySet<string>;

  /** Records that a heartbeat came through this controller. */
  recordRelay(controller: string): void;
  /** Records that a heartbeat without this term's fencing token arrived. Only the first such heartbeat counts. */
  recordFirstContact(nowMs: number): void;
  /** Records the `host:port` at which the worker can be reached. */
  recordAddress(address: string): void;
  /** Records that a heartbeat arrived, rather than the response to a command. */
  recordHeartbeat(nowMs: number): void;
  /** Applies what a newer status says about the node itself. */
  recordStatus(
    status: Pick<Heartbeat, 'incarnation' | 'sequence' | 'address' | 'interruptionNoticeS'>,
    nowMs: number,
  ): void;
  /** Records that a heartbeat is answered with status 200. The response arrives at `responseMs` at the latest. */
  recordResponse(responseMs: number): void;
  /** Records that the heartbeats show the effect of a response. */
  acknowledgeResponses(): void;
  /** Records that a heartbeat shows that a response had no effect. */
  countUnacknowledgedResponse(): void;
  /** Records that the lease expired although a heartbeat was answered, so that responses certainly do not arrive. */
  markResponsesLost(): void;
  /** Records that a lease of the worker may last until `expiryMs`. An expiry before the known one changes nothing. */
  extendLease(expiryMs: number): void;
  /**
   * Records that the lease has expired. The node then counts as never contacted, because a new worker that has not seen
   * this term's fencing token may have replaced the known one.
   */
  expireLease(): void;
  /** Records that the current incarnation has certainly ended. No message of it is accepted any more. */
  fence(): void;
  /** Records that the list of attempts is complete from now on. */
  markReconciled(): void;
  /** Records that the node is marked in the state store as possibly holding tasks. */
  markPersistedAsUsed(): void;
  /** Records that a new worker has replaced the one that was known. */
  markWorkerReplaced(): void;
  /** Records that the termination of the node was requested. */
  markTerminating(): void;
  /** Records that the node has a task or is about to get one. */
  markBusy(): void;
  /** Records that the node has had no task since `nowMs`. */
  markIdle(nowMs: number): void;
  /**
   * Records that the cloud's instance list contains the node. Only the launch time of the first list counts, and only
   * if it is earlier than the known one.
   */
  recordListing(listing: { readonly requestedMs: number; readonly launchedMs: number }): void;
  /** Records that a task of this job failed on the node. */
  recordFailedJob(jobUid: string): void;
  /** Records that the node has just used this image. */
  cacheImage(image: string, sizeGb: number): void;
  /**
   * Sets the capacity that the instance catalog gives. Only `ClusterState` may call this, because it keeps an index
   * of free capacity.
   */
  setCapacity(capacity: Resources): void;
  /** Adds an attempt that takes resources of the node. Only `ClusterState` may call this. */
  addAttempt(attempt: Attempt): void;
  /** Frees the resources of an attempt that stays in the list of attempts. Only `ClusterState` may call this. */
  releaseResources(attempt: Attempt): void;
  /** Removes an attempt that has ended. Only `ClusterState` may call this. */
  removeAttempt(attempt: Attempt): void;
}
