/**
 * A node of the cluster as the leader of one term knows it. Its state changes only through the transition methods of
 * `Node`.
 */
import { MAX_UNACKNOWLEDGED_RESPONSES } from '../constants.js';
import type { WireInt } from '../wire/json.js';
import type { Heartbeat } from './worker-messages.js';
import { formatAttemptKey, type Attempt } from './attempt.js';
import { addResources, NO_RESOURCES, type Resources } from './resources.js';

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
  /** Whether a heartbeat showed this term's fencing token, so that the list of attempts is complete. */
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
  /** Records that the lease has expired. The node then counts as never contacted. */
  expireLease(): void;
  /** Records that the current incarnation has certainly ended. No message of it is accepted any more. */
  fence(): void;
  /** Records that the list of attempts is complete from now on. */
  markReconciled(): void;
  /** Records that the node is marked in the state store as possibly holding tasks. */
  markPersistedAsUsed(): void;
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

class TrackedNode implements Node {
  readonly name: string;
  readonly ordinal: number;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  address: string;
  capacity: Resources;
  relayedBy = '';
  readonly allocated = { ...NO_RESOURCES };
  readonly attempts = new Map<string, Attempt>();
  incarnation: WireInt = 0;
  sequence: WireInt = 0;
  lastHeartbeatMs = -Infinity;
  firstContactMs = -Infinity;
  lastResponseMs = -Infinity;
  unacknowledgedResponses = 0;
  leaseExpiryMs = -Infinity;
  fencedIncarnation: WireInt = 0;
  isReconciled = false;
  isPersistedAsUsed = false;
  launchedMs: number;
  lastListedMs = -Infinity;
  interruptionMs = Infinity;
  idleSinceMs: number;
  isTerminating = false;
  readonly cachedImages = new Map<string, number>();
  readonly failedJobs = new Set<string>();

  constructor(description: NodeDescription, ordinal: number, nowMs: number) {
    this.name = description.name;
    this.address = description.address;
    this.type = description.type;
    this.zone = description.zone;
    this.spot = description.spot;
    this.capacity = description.capacity;
    this.ordinal = ordinal;
    this.launchedMs = nowMs;
    this.idleSinceMs = nowMs;
  }

  recordRelay(controller: string): void {
    this.relayedBy = controller;
  }

  recordFirstContact(nowMs: number): void {
    if (this.firstContactMs === -Infinity) this.firstContactMs = nowMs;
  }

  recordAddress(address: string): void {
    this.address = address;
  }

  recordHeartbeat(nowMs: number): void {
    this.lastHeartbeatMs = nowMs;
  }

  recordStatus(
    status: Pick<Heartbeat, 'incarnation' | 'sequence' | 'address' | 'interruptionNoticeS'>,
    nowMs: number,
  ): void {
    const { interruptionNoticeS } = status;
    this.incarnation = status.incarnation;
    this.sequence = status.sequence;
    this.address = status.address;
    this.interruptionMs = interruptionNoticeS === null ? Infinity : nowMs + interruptionNoticeS * 1000;
  }

  recordResponse(responseMs: number): void {
    this.lastResponseMs = responseMs;
  }

  acknowledgeResponses(): void {
    this.unacknowledgedResponses = 0;
  }

  countUnacknowledgedResponse(): void {
    this.unacknowledgedResponses++;
  }

  markResponsesLost(): void {
    this.unacknowledgedResponses = MAX_UNACKNOWLEDGED_RESPONSES;
  }

  extendLease(expiryMs: number): void {
    this.leaseExpiryMs = Math.max(this.leaseExpiryMs, expiryMs);
  }

  expireLease(): void {
    this.leaseExpiryMs = -Infinity;
    this.firstContactMs = -Infinity;
  }

  fence(): void {
    this.fencedIncarnation = this.incarnation;
  }

  markReconciled(): void {
    this.isReconciled = true;
  }

  markPersistedAsUsed(): void {
    this.isPersistedAsUsed = true;
  }

  markTerminating(): void {
    this.isTerminating = true;
  }

  markBusy(): void {
    this.idleSinceMs = Infinity;
  }

  markIdle(nowMs: number): void {
    this.idleSinceMs = nowMs;
  }

  recordListing({ requestedMs, launchedMs }: { requestedMs: number; launchedMs: number }): void {
    if (this.lastListedMs === -Infinity) this.launchedMs = Math.min(this.launchedMs, launchedMs);
    this.lastListedMs = requestedMs;
  }

  recordFailedJob(jobUid: string): void {
    this.failedJobs.add(jobUid);
  }

  cacheImage(image: string, sizeGb: number): void {
    // The image is deleted first, so that it becomes the most recently used one.
    this.cachedImages.delete(image);
    this.cachedImages.set(image, sizeGb);
  }

  setCapacity(capacity: Resources): void {
    this.capacity = capacity;
  }

  addAttempt(attempt: Attempt): void {
    this.attempts.set(getAttemptKey(attempt), attempt);
    addResources(this.allocated, attempt.resources, 1);
  }

  releaseResources(attempt: Attempt): void {
    addResources(this.allocated, attempt.resources, -1);
  }

  removeAttempt(attempt: Attempt): void {
    this.attempts.delete(getAttemptKey(attempt));
  }
}

/** Creates a node that has sent no heartbeat in this term. It is not part of a cluster state yet. */
export function createNode(description: NodeDescription, ordinal: number, nowMs: number): Node {
  return new TrackedNode(description, ordinal, nowMs);
}

function getAttemptKey({ jobUid, taskIndex, number }: Attempt): string {
  return formatAttemptKey(jobUid, taskIndex, number);
}
