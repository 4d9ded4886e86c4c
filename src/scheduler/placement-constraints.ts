/**
 * The rules about where a task may run, as pure functions. A placement that violates them breaks the rule `wrong_place`
 * of the protocol.
 */
import { RESOURCE_TOLERANCE } from '../constants.js';
import type { Capacity, Resources } from '../cluster/resources.js';
import type { JobSpec } from '../state/records.js';

/** A node or an offering of the cloud that is checked against the constraints of a job. */
export interface PlacementTarget {
  /** Name of the instance type. */
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** Whether the job allows the target's instance type, zone and kind (spot or on-demand). */
export function satisfiesConstraints(spec: JobSpec, target: PlacementTarget): boolean {
  return (
    (spec.instanceTypes === null || spec.instanceTypes.includes(target.type)) &&
    (spec.zone === null || spec.zone === target.zone) &&
    (spec.spot || !target.spot)
  );
}

/** Returns the maximum number of the job's tasks per zone. If they must be spread, it is half of them, rounded up. */
export function getMaxTasksPerZone(spec: JobSpec): number {
  return spec.zoneSpread ? Math.ceil(spec.tasks / 2) : spec.tasks;
}

/**
 * Whether one more task of the job may run in the zone. `allocationsPerZone` is the number of the job's tasks per zone
 * that are, or may be, on nodes.
 */
export function allowsZone(
  spec: JobSpec,
  allocationsPerZone: ReadonlyMap<string, number>,
  zone: string,
): boolean {
  if (
    spec.singleZone &&
    allocationsPerZone.size > 0 &&
    !(allocationsPerZone.size === 1 && allocationsPerZone.has(zone))
  )
    return false;
  return (allocationsPerZone.get(zone) ?? 0) < getMaxTasksPerZone(spec);
}

/** Returns how many more tasks of the job may run in the zone. */
export function countRemainingZoneTasks(
  spec: JobSpec,
  allocationsPerZone: ReadonlyMap<string, number>,
  zone: string,
): number {
  if (!allowsZone(spec, allocationsPerZone, zone)) return 0;
  return getMaxTasksPerZone(spec) - (allocationsPerZone.get(zone) ?? 0);
}

/** Whether one more task of this size fits into the free room of a node. */
export function fits(taskSize: Resources, free: Capacity): boolean {
  return free.taskSlots > 0 && isWithin(taskSize, free);
}

/** Whether an amount of resources is no larger than another one. */
export function isWithin(amount: Resources, available: Resources): boolean {
  return (
    amount.cpus <= available.cpus + RESOURCE_TOLERANCE &&
    amount.accelerators <= available.accelerators + RESOURCE_TOLERANCE &&
    amount.memGb <= available.memGb + RESOURCE_TOLERANCE
  );
}

/** Returns how many tasks of this size fit into the free room of a node, or 0 for a task that needs no resources. */
export function countFittingTasks(taskSize: Resources, free: Capacity): number {
  return Math.max(0, Math.min(free.taskSlots, countTasksWithinResources(taskSize, free)));
}

/** Returns how many tasks of this size the resources are enough for, or 0 for a task that needs no resources. */
export function countTasksWithinResources(taskSize: Resources, free: Resources): number {
  const count = Math.min(
    countUnitsThatFit(taskSize.cpus, free.cpus),
    countUnitsThatFit(taskSize.accelerators, free.accelerators),
    countUnitsThatFit(taskSize.memGb, free.memGb),
  );
  return Number.isFinite(count) ? Math.max(0, count) : 0;
}

function countUnitsThatFit(needed: number, available: number): number {
  return needed > 0 ? Math.floor((available + RESOURCE_TOLERANCE) / needed) : Infinity;
}
