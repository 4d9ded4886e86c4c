/** The quotas of teams. A quota consists of guaranteed resources and of limits that the team never exceeds. */
import type { Resources } from '../cluster/resources.js';
import { countTasksWithinResources } from './placement-constraints.js';

/** The share of the cluster that a team may use. */
export interface TeamQuota {
  /** Name of the team. */
  readonly name: string;
  /** Number of processor cores that other teams can't keep from the team. */
  readonly guaranteedCpus: number;
  /** Maximum number of processor cores that the team may use. */
  readonly cpuLimit: number;
  /** Number of accelerators that other teams can't keep from the team. */
  readonly guaranteedAccelerators: number;
  /** Maximum number of accelerators that the team may use. */
  readonly acceleratorLimit: number;
}

/**
 * Returns how many more tasks of this size a team may run. `used` must include all resources that the team may be
 * using. There is no quota for memory.
 */
export function countTasksWithinQuota(quota: TeamQuota, used: Resources, taskSize: Resources): number {
  return countTasksWithinResources(
    { ...taskSize, memGb: 0 },
    {
      cpus: quota.cpuLimit - used.cpus,
      accelerators: quota.acceleratorLimit - used.accelerators,
      memGb: 0,
    },
  );
}
