import type { RemovableRow } from '@pumicehinge/duties';
import type { Mirror } from '../state/mirror.js';
import { decodeJob, DEPENDENCY_LISTS, detailOwner, DONE_CHUNKS, jobKey } from '../state/records.js';

/**
 * Details of jobs that are over, in keys of their own. A job that is done answers from its own value, and one whose
 * description is gone names no list any more; of a cancelled job the finished tasks are still shown, so those stay.
 */
export function removableRows(mirror: Mirror, most: number): RemovableRow[] {
  const removable: RemovableRow[] = [];
  for (const prefix of [DONE_CHUNKS, DEPENDENCY_LISTS])
    for (const { key, stamp } of mirror.startingWith(prefix)) {
      if (removable.length >= most) return removable;
      const owner = jobKey(detailOwner(key));
      const row = mirror.get(owner);
      const job = decodeJob(row?.value);
      if (!row || !job || job.spec) continue;
      if (job.phase !== 'done' && prefix === DONE_CHUNKS) continue;
      removable.push({ key, stamp, conditions: [{ key: owner, stamp: row.stamp }] });
    }
  return removable;
}
