/** The filter step of the scheduler, which finds the nodes that can run a task. */
import type { Node } from '../cluster/cluster-state.js';
import { hasFreeCapacity as hasRoom, type MutableCapacity } from '../cluster/resources.js';
import type { JobSpec } from '../state/records.js';
import { fits, satisfiesConstraints } from './placement-constraints.js';

/** A node and its free room, without what the current scheduling cycle has already assigned. */
export interface NodeCapacity {
  readonly node: Node;
  readonly free: MutableCapacity;
}

/** Whether the free room, instance type, zone and kind (spot or on-demand) of the node allow a task of the job. */
export function isFeasible(spec: JobSpec, { node, free }: NodeCapacity): boolean {
  return fits(spec, free) && satisfiesConstraints(spec, node);
}

/** Whether the node has room for another task of some size. */
export function hasFreeCapacity({ free }: NodeCapacity): boolean {
  return hasRoom(free);
}
