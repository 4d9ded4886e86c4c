/** Time estimates that scheduling, preemption and scaling share. */
import { OVERRUN_TIME_SHARE } from '../constants.js';
import type { Attempt, Job, Node } from '../cluster/cluster-state.js';
import type { JobSpec } from '../state/records.js';

/** The property of an instance type that determines the time to pull an image. */
export interface ImagePullRate {
  /** Rate at which a node of the instance type pulls images, in GB per second. */
  readonly pullGbPerS: number;
}

/**
 * Returns the seconds until the deadline that determines the job's position in the queue. Infinity if the job has no
 * deadline that can still be met.
 */
export function getTimeToDeadlineS(job: Job, wallMs: number): number {
  return (job.getSchedulingDeadlineMs(wallMs) - wallMs) / 1000;
}

/**
 * Estimates the seconds until the attempt's task completes. The estimate follows from the expected run time of the
 * job's tasks. It is never less than a share of the time that the task has already run. Infinity for services, for
 * exited attempts and for tasks of unknown jobs.
 *
 * @param nowMs - steady time in milliseconds
 */
export function estimateRemainingRunS({ job, state, startedMs }: Attempt, nowMs: number): number {
  if (!job || job.isService || state === 'exited') return Infinity;
  const elapsedRunS = (nowMs - startedMs) / 1000;
  return Math.max(job.progress.expectedRunTimeS - elapsedRunS, elapsedRunS * OVERRUN_TIME_SHARE);
}

/** Estimates the seconds until the node has pulled the job's image. The result is 0 if the image is cached. */
export function estimateImagePullS(
  node: Node,
  spec: JobSpec,
  instanceTypes: ReadonlyMap<string, ImagePullRate>,
): number {
  if (node.cachedImages.has(spec.image)) return 0;
  return spec.imageGb / (instanceTypes.get(node.type)?.pullGbPerS ?? 1);
}
