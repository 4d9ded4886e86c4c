/**
 * The cluster state of one term: the nodes, the attempts on them, the resources that attempts take from nodes and
 * teams, and indexes of the nodes. It makes no decisions.
 */
import { MAX_TASKS_PER_NODE } from '../constants.js';
import type { WireInt } from '../wire/json.js';
import type { ExitCause } from './worker-messages.js';
import { createAttempt, type Attempt, type AttemptIdentity, type AttemptState, type Job } from './attempt.js';
import type { Node, NodeDescription } from './node.js';
import {
  addResources,
  hasFreeCapacity,
  NO_RESOURCES,
  type MutableCapacity,
  type MutableResources,
  type Resources,
} from './resources.js';
import { createNode } from './tracked-node.js';

export { formatAttemptKey, formatTaskName, type Attempt, type Job, type StopRequest } from './attempt.js';
export type { Node, NodeDescription } from './node.js';
export type { MutableResources, Resources } from './resources.js';

/** Is notified of each end of an attempt, after the cluster state has changed. */
export interface AttemptListener {
  /** The worker has reported that the attempt exited. */
  onExited(attempt: Attempt, cause: ExitCause): void;
  /** The attempt has certainly ended without a reported exit: it was lost, or withdrawn before it was started. */
  onReleased(attempt: Attempt): void;
  /** The worker of a node without a free task slot has forgotten an exited attempt, so a slot is free. */
  onTaskSlotFreed(node: Node): void;
}

/** A task start that the scheduler has decided on. */
export interface PlannedStart {
  readonly job: Job;
  /** Index of the task within its job, starting at 0. */
  readonly taskIndex: number;
  /** The number of the attempt, which is unique among all attempts. */
  readonly number: WireInt;
  readonly node: Node;
}

/**
 * Holds the nodes and their attempts, and tracks the resources that are allocated on each node and by each team.
 * Resources that are not known to be free count as allocated.
 */
export class ClusterState {
  /**
   * Names of nodes whose termination an earlier term irrevocably requested, whether or not the nodes are known here.
   */
  private readonly terminatingNodeNames = new Set<string>();
  private readonly nodesByName = new Map<string, Node>();
  private readonly usageByTeam = new Map<string, MutableResources>();
  private readonly stopAwaitingNodes = new Set<Node>();
  private readonly freeCapacityNodes = new Set<Node>();
  private readonly nodeCountsByZone = new Map<string, number>();
  private lastOrdinal = 0;

  constructor(private readonly listener: AttemptListener) {}

  /** All nodes by name, in the order in which they became known. */
  get nodes(): ReadonlyMap<string, Node> {
    return this.nodesByName;
  }

  /** Number of nodes in each zone that has nodes. */
  get nodeCountByZone(): ReadonlyMap<string, number> {
    return this.nodeCountsByZone;
  }

  /**
   * The nodes on which a task slot, and processors or accelerators are free. Most nodes of a large cluster are full and
   * not among them.
   */
  get nodesWithFreeCapacity(): ReadonlySet<Node> {
    return this.freeCapacityNodes;
  }

  /** The nodes with a requested stop that their workers may not know of. */
  get nodesAwaitingStops(): ReadonlySet<Node> {
    return this.stopAwaitingNodes;
  }

  /** Adds a node without attempts. */
  addNode(description: NodeDescription, nowMs: number): Node {
    const node = createNode(description, ++this.lastOrdinal, nowMs);
    if (this.terminatingNodeNames.has(node.name)) node.markTerminating();
    this.nodesByName.set(node.name, node);
    this.nodeCountsByZone.set(node.zone, (this.nodeCountsByZone.get(node.zone) ?? 0) + 1);
    this.indexFreeCapacity(node);
    return node;
  }

  /** Removes a node that was deleted, and releases all attempts on it. */
  removeNode(node: Node): void {
    this.terminatingNodeNames.delete(node.name);
    this.releaseAllAttempts(node);
    if (!this.nodesByName.delete(node.name)) return;
    const remainingCount = (this.nodeCountsByZone.get(node.zone) ?? 1) - 1;
    if (remainingCount > 0) this.nodeCountsByZone.set(node.zone, remainingCount);
    else this.nodeCountsByZone.delete(node.zone);
    this.stopAwaitingNodes.delete(node);
    this.freeCapacityNodes.delete(node);
  }

  /**
   * Records that an earlier term irrevocably requested the termination of the node of this name, whether or not the
   * node is known yet.
   */
  inheritTermination(name: string): void {
    this.terminatingNodeNames.add(name);
    this.nodesByName.get(name)?.markTerminating();
  }

  /** Sets the capacity of the node to that of its type in the instance catalog. */
  setCapacity(node: Node, capacity: Resources): void {
    node.setCapacity(capacity);
    this.indexFreeCapacity(node);
  }

  /** Allocates resources for a start whose command still has to be sent to the worker. */
  planAttempt({ job, taskIndex, number, node }: PlannedStart, nowMs: number): Attempt {
    return this.allocate({ job, jobUid: job.uid, taskIndex, number, node }, 'planned', nowMs);
  }

  /** Adds an attempt that a worker lists and that was not known before. */
  addListedAttempt(identity: AttemptIdentity, nowMs: number): Attempt {
    return this.allocate(identity, 'running', nowMs);
  }

  /** Withdraws a planned attempt. Its start command was not sent, or was certainly not executed and never will be. */
  withdrawPlannedAttempt(attempt: Attempt): void {
    this.removeAttempt(attempt);
  }

  /**
   * Records that the attempt has exited. Its resources become free, and its node keeps it until the worker no longer
   * lists it.
   */
  exitAttempt(attempt: Attempt, cause: ExitCause): void {
    attempt.recordExit(cause);
    this.deallocate(attempt);
    this.listener.onExited(attempt, cause);
  }

  /** Removes an attempt that has certainly ended. It counts as released unless it had exited. */
  removeAttempt(attempt: Attempt): void {
    if (attempt.state === 'exited') return this.forgetExitedAttempt(attempt);
    attempt.node.removeAttempt(attempt);
    this.deallocate(attempt);
    this.listener.onReleased(attempt);
  }

  /** Removes all attempts on the node, because all of them have certainly ended. */
  releaseAllAttempts(node: Node): void {
    for (const attempt of [...node.attempts.values()]) this.removeAttempt(attempt);
  }

  /**
   * Fences the incarnation of a node whose lease has expired. All its attempts have ended, and its heartbeats are no
   * longer accepted.
   */
  fenceIncarnation(node: Node): void {
    node.fence();
    this.releaseAllAttempts(node);
  }

  /** Records that the node's worker has to be sent a stop command that it may not know of. */
  markAwaitingStops(node: Node): void {
    this.stopAwaitingNodes.add(node);
  }

  /** Records that the node's worker has to be sent no stop commands until the node is marked again. */
  clearAwaitingStops(node: Node): void {
    this.stopAwaitingNodes.delete(node);
  }

  /**
   * Returns the free room on the node, in a new object that the caller may change. An exited attempt takes a task slot
   * for as long as the worker may list it.
   */
  computeFreeCapacity(node: Node): MutableCapacity {
    const { capacity, allocated, attempts } = node;
    return {
      cpus: capacity.cpus - allocated.cpus,
      accelerators: capacity.accelerators - allocated.accelerators,
      memGb: capacity.memGb - allocated.memGb,
      taskSlots: MAX_TASKS_PER_NODE - attempts.size,
    };
  }

  /** Returns the resources that the attempts of the team's jobs take. */
  getTeamUsage(team: string): Resources {
    return this.usageByTeam.get(team) ?? NO_RESOURCES;
  }

  private allocate(identity: AttemptIdentity, state: AttemptState, nowMs: number): Attempt {
    const { job, node, taskIndex } = identity;
    const attempt = createAttempt(identity, state, nowMs);
    node.addAttempt(attempt);
    this.indexFreeCapacity(node);
    if (job) {
      this.addTeamUsage(job.spec.team, attempt.resources, 1);
      // A second attempt of an allocated task takes resources as well, but the first attempt remains the allocation
      // of the task.
      if (!job.attemptByTask.has(taskIndex)) job.addAllocation(attempt, node.zone);
    }
    return attempt;
  }

  private deallocate(attempt: Attempt): void {
    const { job, node, resources } = attempt;
    node.releaseResources(attempt);
    this.indexFreeCapacity(node);
    if (!job) return;
    this.addTeamUsage(job.spec.team, resources, -1);
    job.removeAllocation(attempt, node.zone);
  }

  private addTeamUsage(team: string, amount: Resources, sign: 1 | -1): void {
    let usage = this.usageByTeam.get(team);
    if (!usage) this.usageByTeam.set(team, (usage = { ...NO_RESOURCES }));
    addResources(usage, amount, sign);
  }

  private forgetExitedAttempt(attempt: Attempt): void {
    const { node } = attempt;
    const hadFreeTaskSlot = node.attempts.size < MAX_TASKS_PER_NODE;
    node.removeAttempt(attempt);
    this.indexFreeCapacity(node);
    if (!hadFreeTaskSlot) this.listener.onTaskSlotFreed(node);
  }

  private indexFreeCapacity(node: Node): void {
    const hasRoom = hasFreeCapacity(this.computeFreeCapacity(node));
    // A removed node stays out of the index, even if attempts on it end later.
    if (hasRoom && this.nodesByName.get(node.name) === node) this.freeCapacityNodes.add(node);
    else this.freeCapacityNodes.delete(node);
  }
}
