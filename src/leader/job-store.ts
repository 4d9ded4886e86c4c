/** The jobs of a leader's term. They are read from the state store, updated when it changes, and written back to it. */
import type { Logger } from 'pino';
import { MAX_COMPLETION_SEGMENTS_PER_WRITE, MALFORMED_VALUE_RETRY_DELAY_MS } from '../constants.js';
import type { Job } from '../cluster/cluster-state.js';
import { propagatePriority } from '../pipeline/inherited-priority.js';
import { Job as PipelineJob } from '../pipeline/job.js';
import type { JobWrite } from '../pipeline/job-persistence.js';
import type { DeadlineObjective } from '../pipeline/job-pipeline.js';
import { RunTimeEstimator } from '../pipeline/run-time-estimator.js';
import {
  JOBS_PREFIX,
  countCompletionSegments,
  completionSegmentKey,
  decodeJob,
  encodeJob,
  jobKey,
  parseJobUid,
  readDependencies,
  type JobRecord,
} from '../state/records.js';
import type { DependencyListWriter } from '../state/dependency-list-writer.js';
import type { StateReplica } from '../state/state-replica.js';
import type { Condition, KeyChange, Operation } from '../state/store-client.js';
import type { CommitResult } from '../state/transaction-batcher.js';
import type { CommitInTerm } from './term-transactions.js';

/** Dependencies of `JobStore`. */
export interface JobStoreDependencies {
  readonly replica: StateReplica;
  readonly commit: CommitInTerm;
  readonly objectives: DeadlineObjective[];
  readonly dependencyLists: Pick<DependencyListWriter, 'mustMoveList' | 'fitToStore'>;
  /** Maximum number of operations in one transaction. */
  readonly maxOperations: number;
  readonly wallMs: () => number;
  readonly log: Logger;
  /**
   * Called when a write of a job has ended. The result comes back through the leader's mailbox to
   * `handleWriteResult`.
   */
  readonly onWriteEnded: (result: JobWriteResult) => void;
  /** Requests that the stored value of a job is read and applied again. */
  readonly requestRefresh: (key: string) => void;
  /** Called when a job was cancelled, so that its tasks are stopped. */
  readonly onJobCancelled: (job: Job) => void;
}

/** The result of one write of a job. */
export interface JobWriteResult {
  readonly job: Job;
  readonly result: CommitResult;
  /** The value and the completion segments that the write contained. */
  readonly write: JobWrite;
}

/** Holds the jobs of the leader's term and stores their values in the state store. */
export class JobStore {
  /** The jobs of the term, by uid. */
  readonly jobs = new Map<string, Job>();
  private readonly runTimeEstimator = new RunTimeEstimator();

  constructor(private readonly dependencies: JobStoreDependencies) {
    for (const stored of dependencies.replica.listPrefix(JOBS_PREFIX)) this.applyChange(stored);
    // The jobs are listed in any order, so only now is every job present that another job depends on.
    for (const job of this.jobs.values()) propagatePriority(job, (uid) => this.jobs.get(uid));
  }

  /** Counts the running tasks of each job for display, by job uid. Jobs without running tasks are left out. */
  countRunningTasks(): Record<string, number> {
    const countsByJob: Record<string, number> = {};
    for (const job of this.jobs.values()) {
      if (!job.isOpen) continue;
      let runningCount = 0;
      for (const attempt of job.attemptByTask.values())
        if (attempt.state === 'running' || attempt.state === 'saving') runningCount++;
      if (runningCount > 0) countsByJob[job.uid] = runningCount;
    }
    return countsByJob;
  }

  /** Applies a stored value of a job. An unknown job is added, and a newer value of a known job is merged into it. */
  applyChange({ key, value, modRevision }: KeyChange): void {
    const uid = parseJobUid(key);
    const record = decodeJob(value);
    if (!record) return;
    const job = this.jobs.get(uid);
    if (!job) return this.addJob(uid, record, modRevision);
    this.mergeCompletionSegments(job);
    const isNewerRecord = job.persistence.applyRecord(record, modRevision);
    if (isNewerRecord && record.phase === 'cancelled') this.cancel(job);
  }

  private addJob(uid: string, record: JobRecord, modRevision: KeyChange['modRevision']): void {
    // A cancelled job that still has its description is added, because tasks of it may still run on nodes.
    const { spec } = record;
    if (!spec || record.phase === 'done') return;
    const { objectives } = this.dependencies;
    const { runTimeEstimator } = this;
    const dependencyUids = readDependencies(spec, (key) => this.dependencies.replica.get(key)?.value) ?? [];
    const job: Job = new PipelineJob({
      uid,
      record,
      spec,
      modRevision,
      deadlineObjectives: objectives,
      runTimeEstimator,
      dependencies: dependencyUids,
    });
    this.mergeCompletionSegments(job);
    this.jobs.set(uid, job);
    propagatePriority(job, (dependencyUid) => this.jobs.get(dependencyUid));
  }

  /**
   * Cancels the job and stops its tasks, either because its user requested it or because a dependency was cancelled.
   */
  cancel(job: Job): void {
    if (!job.cancel()) return;
    this.dependencies.log.info({ job: job.uid }, 'job cancelled');
    this.dependencies.onJobCancelled(job);
  }

  /**
   * Returns the wall time in ms at which the last dependency of the job finished according to the stored values, or
   * the time at which the job was accepted if that is later.
   */
  findDependenciesFinishedMs(job: Job): number {
    const finishTimesMs = job.dependencies.map(
      (uid) => decodeJob(this.dependencies.replica.get(jobKey(uid))?.value)?.finishedMs ?? 0,
    );
    return finishTimesMs.reduce((latestMs, finishTimeMs) => Math.max(latestMs, finishTimeMs), job.acceptedMs);
  }

  /**
   * Merges newer completion segments. A write without a response may have been applied late, so that the revisions of
   * its segments are not known yet.
   */
  private mergeCompletionSegments(job: Job): void {
    for (let segment = 1; segment < countCompletionSegments(job.spec.tasks); segment++) {
      const stored = this.dependencies.replica.get(completionSegmentKey(job.uid, segment));
      if (stored) job.persistence.applySegment(segment, stored.value, stored.modRevision);
    }
  }

  /**
   * Writes the changes of a job. Nothing happens while another write of the job is in progress or writes are
   * postponed.
   */
  persist(job: Job): void {
    const { persistence } = job;
    if (
      persistence.isWriteInProgress ||
      !job.needsWrite ||
      this.dependencies.wallMs() < persistence.earliestWriteMs
    )
      return;
    // Only a few segments are written at a time, so that a write stays within the limits of the state store.
    const write = job.beginWrite(
      Math.min(MAX_COMPLETION_SEGMENTS_PER_WRITE, this.dependencies.maxOperations - 1),
    );
    if (this.dependencies.dependencyLists.mustMoveList(write.record)) void this.moveListAndCommit(job, write);
    else this.commitWrite(job, write);
  }

  /**
   * Moves the dependency list of the job to keys of its own before the write. The job was stored when the state store
   * allowed larger values.
   */
  private async moveListAndCommit(job: Job, write: JobWrite): Promise<void> {
    const fitted = await this.dependencies.dependencyLists.fitToStore(write.record);
    if (fitted.kind === 'notWritten')
      return this.dependencies.onWriteEnded({ job, result: fitted.result, write });
    if (fitted.kind === 'fits') this.dependencies.log.info({ job: job.uid }, 'dependency list moved');
    this.commitWrite(job, fitted.kind === 'fits' ? { ...write, record: fitted.record } : write);
  }

  private commitWrite(job: Job, write: JobWrite): void {
    const conditions: Condition[] = [{ key: jobKey(job.uid), modRevision: write.modRevision }];
    const operations: Operation[] = [{ key: jobKey(job.uid), value: encodeJob(write.record) }];
    for (const { segmentIndex, encodedBitmap, modRevision } of write.segments) {
      const key = completionSegmentKey(job.uid, segmentIndex);
      conditions.push({ key, modRevision });
      operations.push({ key, value: encodedBitmap });
    }
    void this.dependencies
      .commit(conditions, operations)
      .then((result) => this.dependencies.onWriteEnded({ job, result, write }));
  }

  /** Applies the result of a write. After a failed write the stored value is read again. */
  handleWriteResult({ job, result, write }: JobWriteResult): void {
    if (result.outcome === 'applied') {
      job.persistence.completeWrite(write, result.revision);
      if (write.record.phase === 'done') this.logCompleted(job);
      return;
    }
    job.persistence.abortWrite(write);
    // A value that the state store rejects as malformed would be rejected again, so it is not resent at once.
    if (result.outcome === 'refused' && result.isMalformed) {
      job.persistence.postponeWritesUntil(this.dependencies.wallMs() + MALFORMED_VALUE_RETRY_DELAY_MS);
      this.dependencies.log.error({ job: job.uid }, 'job write rejected as malformed');
    }
    // Another controller may have written a cancellation, or the outcome may be unknown. The stored value decides.
    this.dependencies.requestRefresh(jobKey(job.uid));
  }

  private logCompleted(job: Job): void {
    const tookS = Math.round((this.dependencies.wallMs() - job.acceptedMs) / 1000);
    this.dependencies.log.info({ job: job.uid, tookS, deadlineS: job.spec.deadlineS }, 'job completed');
  }
}
