/** Accepts jobs. A submission is answered with 201 only once the job is stored, and a job is accepted only once. */
import type { Clock } from '@pumicehinge/runtime';
import type { Logger } from 'pino';
import type { InstanceType } from '../autoscaler/cloud-codec.js';
import { MAX_LOGGED_BODY_CHARACTERS, SUBMISSION_TIMEOUT_MS } from '../constants.js';
import type { HttpResponse } from '../http/message.js';
import type { TeamQuota } from '../scheduler/team-quota.js';
import {
  CATALOG_KEY,
  decodeInstanceTypes,
  decodeJob,
  encodeJob,
  jobKey,
  type JobRecord,
  type JobSpec,
} from '../state/records.js';
import type { DependencyListWriter } from '../state/dependency-list-writer.js';
import type { StateReplica } from '../state/state-replica.js';
import type { TransactionBatcher } from '../state/transaction-batcher.js';
import { findRejectionReason } from './admission.js';
import { decodeSubmission, encodeJobState, MalformedSubmissionError } from './codec.js';
import type { JobReader } from './job-reader.js';
import { errorResponse, jsonResponse, TRY_AGAIN } from './responses.js';

/** Dependencies of `SubmissionHandler`. */
export interface SubmissionHandlerDependencies {
  readonly teams: readonly TeamQuota[];
  readonly replica: StateReplica;
  readonly batcher: TransactionBatcher;
  readonly jobReader: JobReader;
  readonly dependencyLists: DependencyListWriter;
  /** Whether the state store serves this controller. */
  readonly isStoreAvailable: () => boolean;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Handles submissions of jobs. */
export class SubmissionHandler {
  private readonly quotas: ReadonlyMap<string, TeamQuota>;

  constructor(private readonly dependencies: SubmissionHandlerDependencies) {
    this.quotas = new Map(dependencies.teams.map((team) => [team.name, team]));
  }

  /**
   * Handles a submission. The status of the response is 201 for a new job, 200 for a known job, 400 for a malformed
   * submission, 422 for a job that is rejected, or 503 if that can't be decided now. This is one method, because
   * responses that wait for the same read stay in order only as long as the number of awaits does not change.
   */
  async submit(body: string): Promise<HttpResponse> {
    const spec = this.decode(body);
    if (spec instanceof MalformedSubmissionError) return errorResponse(400, spec.message);
    const { replica, batcher, jobReader, dependencyLists, clock } = this.dependencies;
    const { uid, dependencies: dependencyUids = [] } = spec;
    const key = jobKey(uid);
    if (replica.get(key)) return this.respondToResubmission(uid);
    if (!this.canAccept()) return TRY_AGAIN;
    const rejection = this.findRejection(spec);
    // An accepted job must never be rejected, whatever has changed since it was accepted. The state store is therefore
    // read before a rejection.
    if (rejection) return (await jobReader.isAccepted(uid)) ? this.respondToResubmission(uid) : rejection;
    const unknownDependency = await this.findNeverAccepted(dependencyUids);
    if (unknownDependency !== undefined)
      return replica.get(key)
        ? this.respondToResubmission(uid)
        : errorResponse(422, `${unknownDependency} was never accepted`);
    const serviceDependency = dependencyUids.find((dependencyUid) => this.isService(dependencyUid));
    if (serviceDependency !== undefined)
      return errorResponse(422, `${serviceDependency} is a service and never done`);
    const fittedRecord = await dependencyLists.fitToStore(createJobRecord(spec, clock.wallMs()));
    if (fittedRecord.kind === 'tooLong')
      return errorResponse(422, 'the description is longer than can be kept');
    if (fittedRecord.kind === 'notWritten') return TRY_AGAIN;
    const result = await batcher.commitForUser(
      [{ key, modRevision: 0 }],
      [{ key, value: encodeJob(fittedRecord.record) }],
      SUBMISSION_TIMEOUT_MS,
    );
    if (result.outcome === 'applied') return this.confirmAcceptance(spec);
    if (result.outcome === 'refused') return TRY_AGAIN;
    return (await jobReader.isAccepted(uid)) ? this.respondToResubmission(uid) : TRY_AGAIN;
  }

  /** Whether jobs can be accepted now. If not, the user is told at once when to retry. */
  private canAccept(): boolean {
    const { replica, batcher, isStoreAvailable } = this.dependencies;
    return replica.isLoaded && !batcher.isFull && isStoreAvailable();
  }

  /**
   * The response to a job that can never run, or for which it is not known yet whether it can. Undefined if the job can
   * run.
   */
  private findRejection(spec: JobSpec): HttpResponse | undefined {
    const instanceTypes = this.readInstanceTypes();
    if (!instanceTypes) return TRY_AGAIN;
    const reason = findRejectionReason(spec, instanceTypes, this.quotas);
    return reason === undefined ? undefined : errorResponse(422, reason);
  }

  private decode(body: string): JobSpec | MalformedSubmissionError {
    try {
      return decodeSubmission(body);
    } catch (error) {
      if (!(error instanceof MalformedSubmissionError)) throw error;
      const logFields = { reason: error.message, body: body.slice(0, MAX_LOGGED_BODY_CHARACTERS) };
      this.dependencies.log.info(logFields, 'malformed submission rejected');
      return error;
    }
  }

  /**
   * Finds the first of these jobs that was never accepted. Only a read of the state store that starts now can prove
   * that. Undefined if all of them were accepted.
   */
  private async findNeverAccepted(uids: readonly string[]): Promise<string | undefined> {
    const { replica } = this.dependencies;
    const isMissing = (uid: string): boolean => replica.get(jobKey(uid)) === undefined;
    if (!uids.some(isMissing)) return undefined;
    await replica.linearizableRead();
    return uids.find(isMissing);
  }

  private isService(uid: string): boolean {
    return decodeJob(this.dependencies.replica.get(jobKey(uid))?.value)?.spec?.kind === 'service';
  }

  private confirmAcceptance(spec: JobSpec): HttpResponse {
    const { uid: job, team, jobClass, tasks, estimatedRunS, deadlineS } = spec;
    this.dependencies.log.info({ job, team, jobClass, tasks, estimatedRunS, deadlineS }, 'job accepted');
    return jsonResponse(201, encodeJobState(job, 'pending'));
  }

  /** The response to a repeated submission of an accepted job. */
  private async respondToResubmission(uid: string): Promise<HttpResponse> {
    const { jobReader } = this.dependencies;
    const job = await jobReader.read(uid);
    return job ? jsonResponse(200, encodeJobState(uid, jobReader.getUserPhase(uid, job.record))) : TRY_AGAIN;
  }

  /** Reads the instance types of the cloud. Undefined if no leader has stored them yet. */
  private readInstanceTypes(): InstanceType[] | undefined {
    const instanceTypes = decodeInstanceTypes(this.dependencies.replica.get(CATALOG_KEY)?.value);
    return instanceTypes.length > 0 ? instanceTypes : undefined;
  }
}

function createJobRecord(spec: JobSpec, acceptedMs: number): JobRecord {
  return {
    phase: 'open',
    taskCount: spec.tasks,
    spec,
    acceptedMs,
    memberStates: spec.spot ? 'NN' : 'N',
    isSuccessorRunning: false,
    firstCompletionSegment: '',
  };
}
