/** Instance types and team quotas for tests of scheduling and scaling. */
import type { InstanceType } from '../../src/autoscaler/cloud-codec.js';
import type { TeamQuota } from '../../src/scheduler/team-quota.js';

/** A small instance type with a short boot time. */
export const SMALL_INSTANCE_TYPE: InstanceType = {
  name: 'small',
  cpus: 4,
  accelerators: 0,
  memGb: 16,
  cacheGb: 40,
  pullGbPerS: 1,
  price: 0.2,
  spotPrice: 0.1,
  bootS: 15,
  zones: ['a', 'b'],
};
/** A large instance type that is cheaper per processor core and takes longer to boot. */
export const LARGE_INSTANCE_TYPE: InstanceType = {
  ...SMALL_INSTANCE_TYPE,
  name: 'large',
  cpus: 16,
  memGb: 64,
  price: 0.7,
  spotPrice: 0.3,
  bootS: 60,
};
/** The quota of team `red`. */
export const RED_TEAM_QUOTA: TeamQuota = {
  name: 'red',
  guaranteedCpus: 8,
  cpuLimit: 20,
  guaranteedAccelerators: 0,
  acceleratorLimit: 0,
};
/** The quota of team `blue`, which equals that of team `red` except for the name. */
export const BLUE_TEAM_QUOTA: TeamQuota = { ...RED_TEAM_QUOTA, name: 'blue' };
