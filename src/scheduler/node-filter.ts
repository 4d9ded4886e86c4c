/** The filter step of the scheduler, which finds the nodes that can run a task. */
import { RESOURCE_TOLERANCE } from '../constants.js';
import type { Node } from '../cluster/cluster-state.js';
import type { MutableResources } from '../cluster/resources.js';
import type { JobSpec } from '../state/records.js';
import { fits, satisfiesConstraints } from './placement-constraints.js';

/** A node and its free resources, without those that the current scheduling cycle has already assigned. */
export interface NodeCapacity {
  readonly node: Node;
  readonly free: MutableResources;
}

/** Whether the free resources, instance type, zone and kind (spot or on-demand) of the node allow a task of the job. */
export function isFeasible(spec: JobSpec, { node, free }: NodeCapacity): boolean {
  return fits(spec, free) && satisfiesConstraints(spec, node);
}

/** Whether any processor core or accelerator of the node is free, at least in part. */
export function hasFreeCapacity({ free }: NodeCapacity): boolean {
  return free.cpus > RESOURCE_TOLERANCE || free.accelerators > RESOURCE_TOLERANCE;
}
