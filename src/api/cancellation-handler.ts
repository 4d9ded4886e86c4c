/**
 * Cancels jobs. The response is sent after the conditional write that decides between a cancellation and a completion.
 */
import type { Logger } from 'pino';
import { SUBMISSION_TIMEOUT_MS } from '../constants.js';
import type { HttpResponse } from '../http/message.js';
import type { DependencyListWriter } from '../state/dependency-list-writer.js';
import { encodeJob, type JobRecord } from '../state/records.js';
import type { CommitResult, TransactionBatcher } from '../state/transaction-batcher.js';
import { encodeJobState, isJobUid } from './codec.js';
import type { JobReader, StoredJob } from './job-reader.js';
import { errorResponse, jsonResponse, TRY_AGAIN } from './responses.js';

/** Dependencies of `CancellationHandler`. */
export interface CancellationHandlerDependencies {
  readonly batcher: TransactionBatcher;
  readonly jobReader: JobReader;
  readonly dependencyLists: Pick<DependencyListWriter, 'mustMoveList' | 'fitToStore'>;
  /** Whether the state store serves this controller. */
  readonly isStoreAvailable: () => boolean;
  readonly log: Logger;
}

/** Handles cancellations by users. */
export class CancellationHandler {
  constructor(private readonly dependencies: CancellationHandlerDependencies) {}

  /**
   * Cancels a job. A response with status 200 contains the final state of the job. The status is 404 for an unknown
   * job, and 503 if the cancellation can't be decided now.
   */
  async cancel(uid: string): Promise<HttpResponse> {
    if (!isJobUid(uid)) return errorResponse(404, 'no such job');
    const { jobReader, isStoreAvailable, log } = this.dependencies;
    for (;;) {
      const job = await jobReader.read(uid);
      if (!job) return errorResponse(404, 'no such job');
      if (job.record.phase !== 'open')
        return jsonResponse(200, encodeJobState(uid, jobReader.getUserPhase(uid, job.record)));
      if (!isStoreAvailable()) return TRY_AGAIN;
      const result = await this.storeCancellation(job);
      if (result.outcome === 'applied') {
        log.info({ job: uid }, 'job cancelled by its user');
        return jsonResponse(200, encodeJobState(uid, 'withdrawn'));
      }
      if (result.outcome === 'refused') return TRY_AGAIN;
    }
  }

  private storeCancellation(job: StoredJob): Promise<CommitResult> {
    const cancelled: JobRecord = { ...job.record, phase: 'cancelled' };
    // The job may have been stored when the state store allowed larger values.
    return this.dependencies.dependencyLists.mustMoveList(cancelled)
      ? this.moveListAndCommit(job, cancelled)
      : this.commit(job, cancelled);
  }

  private async moveListAndCommit(job: StoredJob, cancelled: JobRecord): Promise<CommitResult> {
    const fitted = await this.dependencies.dependencyLists.fitToStore(cancelled);
    if (fitted.kind === 'notWritten') return fitted.result;
    return this.commit(job, fitted.kind === 'fits' ? fitted.record : cancelled);
  }

  private commit({ keyValue }: StoredJob, cancelled: JobRecord): Promise<CommitResult> {
    const { key, modRevision } = keyValue;
    return this.dependencies.batcher.commitForUser(
      [{ key, modRevision }],
      [{ key, value: encodeJob(cancelled) }],
      SUBMISSION_TIMEOUT_MS,
    );
  }
}
