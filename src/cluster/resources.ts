/** Amounts of the resources that tasks need and nodes offer, and arithmetic with them. */

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

/** Returns what remains of `total` after `amount` is subtracted from it. */
export function subtractResources(total: Resources, amount: Resources): MutableResources {
  return {
    cpus: total.cpus - amount.cpus,
    accelerators: total.accelerators - amount.accelerators,
    memGb: total.memGb - amount.memGb,
  };
}
