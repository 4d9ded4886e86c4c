/** The state of a node, and the transitions that `Node` allows. */
import { MAX_UNACKNOWLEDGED_RESPONSES } from '../constants.js';
import type { WireInt } from '../wire/json.js';
import { formatAttemptKey, type Attempt } from './attempt.js';
import type { Node, NodeDescription } from './node.js';
import { addResources, NO_RESOURCES, type Resources } from './resources.js';
import type { Heartbeat } from './worker-messages.js';

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
  isWorkerReplaced = false;
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
    this.isReconciled = false;
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

  markWorkerReplaced(): void {
    this.isWorkerReplaced = true;
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
