import { EPSILON } from '../constants.js';
import type { MachineType } from '../cloud/codec.js';
import { slots, type TeamLimit } from '../placement/rules.js';
import type { JobSpec } from '../state/records.js';

/** Why a job can never run (422), or undefined. Pure. */
export function neverRuns(
  spec: JobSpec,
  types: MachineType[],
  teams: ReadonlyMap<string, TeamLimit>,
): string | undefined {
  const limit = teams.get(spec.team);
  if (!limit) return 'unknown team';
  const fitting = types.some(
    (type) =>
      (spec.types === null || spec.types.includes(type.name)) &&
      (spec.zone === null || type.zones.includes(spec.zone)) &&
      slots(spec, type) > 0,
  );
  if (!fitting) return 'a task fits no allowed machine type';
  const tasks = spec.kind === 'service' ? spec.tasks : 1;
  if (
    spec.cpus * tasks > limit.cpusMax + EPSILON ||
    spec.accelerators * tasks > limit.acceleratorsMax + EPSILON
  )
    return "more than the team's limit";
  return undefined;
}
