/** Reads jobs for users. No answer is older than an earlier answer of any controller. */
import { CompletionBitmap } from '../state/completion-bitmap.js';
import type { DependencyGraph } from '../pipeline/dependency-graph.js';
import {
  countCompletionSegments,
  completionSegmentKey,
  decodeJob,
  jobKey,
  type JobRecord,
} from '../state/records.js';
import type { StateReplica } from '../state/state-replica.js';
import type { KeyValue } from '../state/store-client.js';
import type { UserPhase } from './codec.js';

/** Thrown if the stored value of a job is not one that any version of the program writes. */
export class MalformedJobRecordError extends Error {
  override readonly name = 'MalformedJobRecordError';

  /** `key` is the key of the value in the state store. */
  constructor(readonly key: string) {
    super(`stored value of ${key} is not a job record`);
  }
}

/** The stored record of a job, and the key and value that it was decoded from. */
export interface StoredJob {
  readonly record: JobRecord;
  /** The key and value that were read. A conditional write names their revision. */
  readonly keyValue: KeyValue;
}

/** Dependencies of `JobReader`. */
export interface JobReaderDependencies {
  readonly replica: StateReplica;
  readonly jobDependencies: Pick<DependencyGraph, 'getStatus'>;
  /** Number of running tasks of a job, for display. */
  readonly countRunningTasks: (uid: string) => number;
}

/** Reads jobs from the replica, and waits for a read of the state store if the replica may be behind. */
export class JobReader {
  constructor(private readonly dependencies: JobReaderDependencies) {}

  /**
   * Reads the job as the state store holds it at some time after this call began. Only final states are taken from the
   * replica without a read of the store. Undefined if the job was never accepted. Throws MalformedJobRecordError if the
   * stored value is not a job record.
   */
  async read(uid: string): Promise<StoredJob | undefined> {
    const { replica } = this.dependencies;
    const key = jobKey(uid);
    const cachedKeyValue = replica.get(key);
    const cachedRecord = cachedKeyValue && this.decode(uid, cachedKeyValue);
    if (cachedRecord && cachedRecord.phase !== 'open')
      return { record: cachedRecord, keyValue: cachedKeyValue };
    await replica.linearizableRead();
    const keyValue = replica.get(key);
    if (!keyValue) return undefined;
    const record = this.decode(uid, keyValue);
    // A value is stored, so the job must not be reported as unknown. Its state can't be told from the value either.
    if (!record) throw new MalformedJobRecordError(key);
    return { record, keyValue };
  }

  /** Whether the job is accepted, according to a read of the state store that starts now. */
  async isAccepted(uid: string): Promise<boolean> {
    await this.dependencies.replica.linearizableRead();
    return this.dependencies.replica.get(jobKey(uid)) !== undefined;
  }

  /** The state of the job as users see it. */
  getUserPhase(uid: string, record: JobRecord): UserPhase {
    if (record.phase === 'done') return 'done';
    if (record.phase === 'cancelled') return 'withdrawn';
    return this.dependencies.countRunningTasks(uid) > 0 ? 'running' : 'pending';
  }

  /** Number of tasks that run now, for display. */
  countRunningTasks(uid: string, record: JobRecord): number {
    return record.phase === 'open' ? this.dependencies.countRunningTasks(uid) : 0;
  }

  /** Number of tasks that have completed, for display. */
  countCompletedTasks(uid: string, record: JobRecord): number {
    if (record.phase === 'done') return record.taskCount;
    let count = countCompletedInSegment(record.taskCount, record.firstCompletionSegment);
    for (let segment = 1; segment < countCompletionSegments(record.taskCount); segment++) {
      const encoded = this.dependencies.replica.get(completionSegmentKey(uid, segment))?.value;
      if (typeof encoded === 'string') count += countCompletedInSegment(record.taskCount, encoded);
    }
    return count;
  }

  /**
   * Decodes the record of a job. An open job counts as cancelled if a job that it depends on is cancelled, even before
   * the cancellation is written to its own record. Undefined if the value is not a job record.
   */
  private decode(uid: string, { value }: KeyValue): JobRecord | undefined {
    const record = decodeJob(value);
    if (record?.phase !== 'open') return record;
    const isCancelled = this.dependencies.jobDependencies.getStatus(uid) === 'cancelled';
    return isCancelled ? { ...record, phase: 'cancelled' } : record;
  }
}

/** Number of completed tasks in one stored segment of a completion bitmap. */
function countCompletedInSegment(taskCount: number, encoded: string): number {
  const segment = new CompletionBitmap(taskCount);
  segment.mergeEncoded(0, encoded);
  return segment.completedCount;
}
