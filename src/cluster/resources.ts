/** Amounts of the resources that tasks need and nodes offer, the room for tasks on a node, and arithmetic with them. */
import { MAX_TASKS_PER_NODE, RESOURCE_TOLERANCE } from '../constants.js';

/**
 * Amounts of the resources that a node has or a task needs. They are decimals, so they have to be compared with the
 * tolerance `RESOURCE_TOLERANCE`.
 */
export interface Resources {
  /** Processor cores. */
  readonly cpus: number;
  /** Accelerator devices. */
  readonly accelerators: number;
  /** Gigabytes of memory. */
  readonly memGb: number;
}

/** A running total of resources. Only its owner changes it. */
export type MutableResources = { -readonly [Name in keyof Resources]: Resources[Name] };

/** The room for tasks on a node, or a part of it: resources, and a number of tasks. */
export interface Capacity extends Resources {
  /**
   * Number of tasks, whatever their resources. A node's heartbeat lists each of its tasks and has a limited size. It is
   * negative for a node that holds too many tasks.
   */
  readonly taskSlots: number;
}

/** Room for tasks that its owner reserves and releases. */
export type MutableCapacity = { -readonly [Name in keyof Capacity]: Capacity[Name] };

/** No resources at all. An attempt of an unknown job is counted with this amount. */
export const NO_RESOURCES: Resources = { cpus: 0, accelerators: 0, memGb: 0 };

/**
 * Adds an amount to a total in place if `sign` is 1, or subtracts it if `sign` is -1. It allocates no object, because
 * the scheduler calls it for each start.
 */
export function addResources(total: MutableResources, amount: Resources, sign: 1 | -1): void {
  total.cpus += sign * amount.cpus;
  total.accelerators += sign * amount.accelerators;
  total.memGb += sign * amount.memGb;
}

/** Returns the room on a node that has these resources and no task. */
export function createEmptyNodeCapacity({ cpus, accelerators, memGb }: Resources): MutableCapacity {
  return { cpus, accelerators, memGb, taskSlots: MAX_TASKS_PER_NODE };
}

/** Takes the room of one task of this size from `free`, in place. */
export function reserveTask(free: MutableCapacity, taskSize: Resources): void {
  addResources(free, taskSize, -1);
  free.taskSlots--;
}

/** Adds the room of one task of this size to `free`, in place. */
export function releaseTask(free: MutableCapacity, taskSize: Resources): void {
  addResources(free, taskSize, 1);
  free.taskSlots++;
}

/** Whether the room allows another task of some size. */
export function hasFreeCapacity({ cpus, accelerators, taskSlots }: Capacity): boolean {
  return taskSlots > 0 && (cpus > RESOURCE_TOLERANCE || accelerators > RESOURCE_TOLERANCE);
}
