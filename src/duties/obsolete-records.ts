/** Finds the detail records of jobs that the holder of the role `cleanup` may delete. */
import type { ObsoleteRecord } from '@pumicehinge/duties';
import {
  COMPLETION_SEGMENTS_PREFIX,
  decodeJob,
  DEPENDENCY_LISTS_PREFIX,
  jobKey,
  parseJobUidOfDetail,
} from '../state/records.js';
import type { StateReplica } from '../state/state-replica.js';

/**
 * Finds at most `limit` detail records that nobody reads any more. Detail records are the completion segments and
 * dependency lists that are stored outside a job's own value, and they become obsolete only after the job is over.
 */
export function findObsoleteRecords(replica: StateReplica, limit: number): ObsoleteRecord[] {
  const obsoleteRecords: ObsoleteRecord[] = [];
  for (const prefix of [COMPLETION_SEGMENTS_PREFIX, DEPENDENCY_LISTS_PREFIX])
    for (const { key, modRevision } of replica.listPrefix(prefix)) {
      if (obsoleteRecords.length >= limit) return obsoleteRecords;
      const ownerCondition = findDeletionCondition(replica, key, prefix);
      if (ownerCondition) obsoleteRecords.push({ key, modRevision, conditions: [ownerCondition] });
    }
  return obsoleteRecords;
}

/**
 * Returns the condition that the job of a detail record has not changed, or undefined if the detail record is not
 * obsolete. A job that is done is described by its own value alone, and a job whose description was dropped no longer
 * refers to a dependency list. The completion segments of a cancelled job are kept, because users can still see its
 * finished tasks.
 */
function findDeletionCondition(
  replica: StateReplica,
  detailKey: string,
  prefix: string,
): ObsoleteRecord['conditions'][number] | undefined {
  const key = jobKey(parseJobUidOfDetail(detailKey));
  const stored = replica.get(key);
  const job = decodeJob(stored?.value);
  if (!stored || !job || job.spec) return undefined;
  if (job.phase !== 'done' && prefix === COMPLETION_SEGMENTS_PREFIX) return undefined;
  return { key, modRevision: stored.modRevision };
}
