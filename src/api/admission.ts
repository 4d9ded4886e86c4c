/**
 * Finds jobs that can never run, so that they are rejected when they are submitted. The module is free of side
 * effects.
 */
import { RESOURCE_TOLERANCE } from '../constants.js';
import type { InstanceType } from '../autoscaler/cloud-codec.js';
import { countTasksWithinResources } from '../scheduler/placement-constraints.js';
import type { TeamQuota } from '../scheduler/team-quota.js';
import type { JobSpec } from '../state/records.js';

/** Finds the reason why a job can never run. Undefined if it can run. */
export function findRejectionReason(
  spec: JobSpec,
  instanceTypes: readonly InstanceType[],
  quotas: ReadonlyMap<string, TeamQuota>,
): string | undefined {
  const quota = quotas.get(spec.team);
  if (!quota) return 'unknown team';
  const fitsAnyType = instanceTypes.some(
    (type) =>
      (spec.instanceTypes === null || spec.instanceTypes.includes(type.name)) &&
      (spec.zone === null || type.zones.includes(spec.zone)) &&
      countTasksWithinResources(spec, type) > 0,
  );
  if (!fitsAnyType) return 'a task fits no allowed machine type';
  const concurrentTasks = spec.kind === 'service' ? spec.tasks : 1;
  if (
    spec.cpus * concurrentTasks > quota.cpuLimit + RESOURCE_TOLERANCE ||
    spec.accelerators * concurrentTasks > quota.acceleratorLimit + RESOURCE_TOLERANCE
  )
    return "more than the team's limit";
  return undefined;
}
