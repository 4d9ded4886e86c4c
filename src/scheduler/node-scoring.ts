/**
 * The score step of the scheduler, which determines the order in which a job's feasible nodes are filled (bin packing).
 */
import {
  FAILED_NODE_SCORE_PENALTY,
  IMAGE_PULL_SCORE_PENALTY_PER_S,
  UNPREFERRED_KIND_SCORE_PENALTY,
} from '../constants.js';
import type { Node } from '../cluster/cluster-state.js';
import type { JobSpec } from '../state/records.js';
import { isFeasible, type NodeCapacity } from './node-filter.js';
import { allowsZone } from './placement-constraints.js';

/** The requirements and preferences of a job for the placement of its tasks. */
export interface PlacementRequest {
  readonly spec: JobSpec;
  /** Number of the job's tasks per zone that are, or may be, on nodes. */
  readonly allocationsPerZone: ReadonlyMap<string, number>;
  /** Whether the job prefers on-demand nodes, because the interruption of a spot node would make it late. */
  readonly avoidsSpot: boolean;
  /** Names of the nodes on which a task of the job failed. */
  readonly avoidedNodeNames: ReadonlySet<string>;
}

/** Returns the estimated time, in seconds, for a node to pull the image of a job. */
export type ImagePullTimeEstimator = (node: Node, spec: JobSpec) => number;

/**
 * Returns the feasible nodes for a task, best first. The order holds for all tasks of the job, because a node that gets
 * one task becomes the fullest node for the next task.
 */
export function scoreNodes(
  request: PlacementRequest,
  candidates: Iterable<NodeCapacity>,
  estimateImagePullS: ImagePullTimeEstimator,
): NodeCapacity[] {
  const { spec, allocationsPerZone } = request;
  const scoredCandidates: { candidate: NodeCapacity; score: number }[] = [];
  for (const candidate of candidates) {
    if (!isFeasible(spec, candidate) || !allowsZone(spec, allocationsPerZone, candidate.node.zone)) continue;
    scoredCandidates.push({ candidate, score: scoreNode(request, candidate, estimateImagePullS) });
  }
  return scoredCandidates
    .sort((a, b) => a.score - b.score || a.candidate.node.ordinal - b.candidate.node.ordinal)
    .map(({ candidate }) => candidate);
}

/**
 * Computes the score of a node. A lower score is better. Nodes on which a task of the job failed come last. If the job
 * may use spot nodes, they come first, so that on-demand capacity stays free for other jobs. If an interruption would
 * make the job late, on-demand nodes come first instead. Next come the nodes on which the task starts soonest, and then
 * the fullest nodes, so that other nodes become idle and are terminated.
 */
function scoreNode(
  { spec, avoidsSpot, avoidedNodeNames }: PlacementRequest,
  { node, free }: NodeCapacity,
  estimateImagePullS: ImagePullTimeEstimator,
): number {
  const failedNodeFactor = avoidedNodeNames.has(node.name) ? 1 : 0;
  const unpreferredKindFactor = spec.spot && node.spot === avoidsSpot ? 1 : 0;
  return (
    failedNodeFactor * FAILED_NODE_SCORE_PENALTY +
    unpreferredKindFactor * UNPREFERRED_KIND_SCORE_PENALTY +
    estimateImagePullS(node, spec) * IMAGE_PULL_SCORE_PENALTY_PER_S +
    (free.cpus - spec.cpus)
  );
}
