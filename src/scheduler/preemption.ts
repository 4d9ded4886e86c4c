/** Finds the running tasks that have to stop to make capacity for a waiting task, and computes the cost of that. */
import type { Attempt, Job, Node } from '../cluster/cluster-state.js';
import { releaseTask, type MutableCapacity } from '../cluster/resources.js';
import type { NodeCapacity } from './node-filter.js';
import { allowsZone, fits, satisfiesConstraints } from './placement-constraints.js';

/** An attempt whose job is known. */
export type JobAttempt = Attempt & { readonly job: Job };

/**
 * A node on which a waiting task can get capacity, and the attempts that have to stop for it. There are no such
 * attempts if the task only has to wait.
 */
export interface Preemption {
  readonly nodeCapacity: NodeCapacity;
  readonly victims: readonly JobAttempt[];
  /** Cost of the preemption, in seconds of lost work and of waiting. */
  readonly costS: number;
}

/** The rules and costs for a search for preemptions. */
export interface PreemptionPolicy {
  /** Time, in seconds, for the node to pull the waiting job's image. It counts as much as lost work. */
  readonly estimateImagePullS: (node: Node) => number;
  /** Whether tasks of this job may be stopped for the waiting job. */
  readonly mayPreempt: (victim: Job) => boolean;
  /** Cost of stopping an attempt, in seconds. */
  readonly computeStopCostS: (victim: JobAttempt) => number;
}

/**
 * Returns the preemptions that give capacity to one task of `job` each, at most one per node, cheapest first. The free
 * room in `nodes` must not include what is reserved for other tasks.
 */
export function rankPreemptions(
  job: Job,
  nodes: Iterable<NodeCapacity>,
  policy: PreemptionPolicy,
): Preemption[] {
  const preemptions: Preemption[] = [];
  for (const nodeCapacity of nodes) {
    const { node } = nodeCapacity;
    if (!satisfiesConstraints(job.spec, node) || !allowsZone(job.spec, job.allocationsPerZone, node.zone))
      continue;
    const preemption = findPreemption(job, nodeCapacity, policy);
    if (preemption) preemptions.push(preemption);
  }
  return preemptions.sort(compareByCost);
}

/** Compares preemptions by their costs. */
export function compareByCost(a: Preemption, b: Preemption): number {
  return a.costS - b.costS;
}

/**
 * Selects the cheapest attempts to stop until a task of the job fits on the node. Returns undefined if it does not fit
 * even after all preemptible attempts are stopped.
 */
function findPreemption(
  job: Job,
  nodeCapacity: NodeCapacity,
  policy: PreemptionPolicy,
): Preemption | undefined {
  const { node } = nodeCapacity;
  const victims: JobAttempt[] = [];
  const free = computeFreeAfterRequestedStops(nodeCapacity);
  let costS = policy.estimateImagePullS(node);
  if (!fits(job.spec, free)) {
    for (const candidate of rankVictims(node, policy)) {
      victims.push(candidate.attempt);
      releaseTask(free, candidate.attempt.resources);
      costS += candidate.stopCostS;
      if (fits(job.spec, free)) break;
    }
  }
  return fits(job.spec, free) ? { nodeCapacity, victims, costS } : undefined;
}

/**
 * Returns the room that will be free once the attempts that are already being stopped have ended, and the worker has
 * forgotten the exited ones that it may forget.
 */
function computeFreeAfterRequestedStops({ node, free }: NodeCapacity): MutableCapacity {
  const freeAfterStops = { ...free };
  for (const attempt of node.attempts.values()) {
    if (attempt.state === 'exited') freeAfterStops.taskSlots++;
    else if (attempt.stopRequest) releaseTask(freeAfterStops, attempt.resources);
  }
  return freeAfterStops;
}

/** Returns the attempts on the node that may be stopped, cheapest first. */
function rankVictims(
  node: Node,
  policy: PreemptionPolicy,
): { readonly attempt: JobAttempt; readonly stopCostS: number }[] {
  return [...node.attempts.values()]
    .filter((attempt): attempt is JobAttempt => isPreemptible(attempt, policy))
    .map((attempt) => ({ attempt, stopCostS: policy.computeStopCostS(attempt) }))
    .sort((a, b) => a.stopCostS - b.stopCostS);
}

function isPreemptible(attempt: Attempt, policy: PreemptionPolicy): attempt is JobAttempt {
  if (attempt.state === 'exited' || attempt.stopRequest || !attempt.job) return false;
  return policy.mayPreempt(attempt.job);
}
