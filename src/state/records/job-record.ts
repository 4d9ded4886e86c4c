/** The stored form of a job, which holds its description and its progress. */
import { isJsonObject } from '../../wire/json.js';
import { isPositiveInteger } from './checks.js';
import { maxFirstSegmentLength } from './completion-segments.js';
import { measureEncodedBytes } from './encoded-size.js';
import { decodeJobSpec, encodeJobSpec, type JobSpec } from './job-spec.js';

/** Whether a job is unfinished, done or cancelled. */
export type JobPhase = 'open' | 'done' | 'cancelled';

/** A job as the state store holds it. */
export interface JobRecord {
  readonly phase: JobPhase;
  /** The number of tasks. It is kept after the description has been dropped. */
  readonly taskCount: number;
  /** The description, or undefined once the job is over and none of its tasks is left on a node. */
  readonly spec?: JobSpec;
  /** Wall-clock time in milliseconds at which a controller accepted the job. */
  readonly acceptedMs: number;
  /** The state of each member of the job's pipeline as one letter: N, E, S or F (see src/pipeline/pipeline.ts). */
  readonly memberStates: string;
  /** Whether the pipeline with a deadline has ended and its successor without a deadline is running. */
  readonly isSuccessorRunning: boolean;
  /** The first segment of the completion bitmap, encoded. */
  readonly firstCompletionSegment: string;
  /** Wall-clock time in milliseconds at which the job was done. Absent in records of earlier versions. */
  readonly finishedMs?: number;
}

const STORED_PHASES: Readonly<Record<JobPhase, string>> = { open: 'o', done: 'd', cancelled: 'c' };
const PHASES: readonly JobPhase[] = ['open', 'done', 'cancelled'];

/** Encodes a job. */
export function encodeJob(record: JobRecord): unknown {
  const commonFields = { p: STORED_PHASES[record.phase], n: record.taskCount, t: record.acceptedMs };
  const finishFields = record.finishedMs === undefined ? {} : { f: record.finishedMs };
  if (!record.spec) return { ...commonFields, ...finishFields, x: record.memberStates };
  return {
    ...commonFields,
    ...finishFields,
    x: record.memberStates,
    u: record.isSuccessorRunning ? 1 : 0,
    d: record.firstCompletionSegment,
    s: encodeJobSpec(record.spec),
  };
}

/**
 * Decodes a job. Returns undefined if the stored form is malformed, or if the job is open and has no valid description.
 */
export function decodeJob(value: unknown): JobRecord | undefined {
  if (!isJsonObject(value)) return undefined;
  const phase = PHASES.find((candidate) => STORED_PHASES[candidate] === value.p);
  const { n: taskCount, t: acceptedMs, x: memberStates } = value;
  if (!phase || !isPositiveInteger(taskCount) || typeof acceptedMs !== 'number') return undefined;
  if (typeof memberStates !== 'string' || !/^[NESF]{1,2}$/.test(memberStates)) return undefined;
  const decodedSpec = decodeJobSpec(value.s);
  const spec = decodedSpec?.tasks === taskCount ? decodedSpec : undefined;
  if (phase === 'open' && !spec) return undefined;
  return {
    phase,
    taskCount,
    spec,
    acceptedMs,
    memberStates,
    isSuccessorRunning: value.u === 1,
    firstCompletionSegment: typeof value.d === 'string' ? value.d : '',
    ...(typeof value.f === 'number' ? { finishedMs: value.f } : {}),
  };
}

/** Whether a stored job is cancelled. The check does not decode the job. */
export function isCancelledJob(value: unknown): boolean {
  return isJsonObject(value) && value.p === STORED_PHASES.cancelled;
}

/** Returns the maximum size in bytes of a job's stored value, however many of its tasks are completed. */
export function maxJobBytes(record: JobRecord): number {
  const withoutBitmap = encodeJob({ ...record, firstCompletionSegment: '', finishedMs: record.acceptedMs });
  return measureEncodedBytes(withoutBitmap) + maxFirstSegmentLength(record.taskCount);
}
