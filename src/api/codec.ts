/** Encodes and decodes the wire format of the user API. Only this module knows its paths, field names and values. */
import { MAX_BODY_BYTES, MAX_HEARTBEAT_BYTES, MAX_TASKS_PER_JOB } from '../constants.js';
import type { JobSpec, Rank } from '../state/records.js';
import { isJsonObject, parseJson } from '../wire/json.js';

/** Path of health checks. */
export const HEALTH_PATH = '/healthz';
/** Path to which workers send heartbeats. */
export const HEARTBEAT_PATH = '/v1/report';
/** Path of the metrics for operators. */
export const METRICS_PATH = '/metrics';
/** Path of submissions. The path of each job is below it. */
export const SUBMISSIONS_PATH = '/submissions';
/** Path segment below a job's path that cancels the job. */
export const CANCEL_ACTION = 'abort';

/** Returns the size limit, in bytes, of the body of a request with this start line. */
export function getMaxRequestBytes(startLine: string): number {
  return startLine.startsWith(`POST ${HEARTBEAT_PATH} `) ? MAX_HEARTBEAT_BYTES : MAX_BODY_BYTES;
}

/** Thrown if the body of a submission does not describe a job. */
export class MalformedSubmissionError extends Error {
  override readonly name = 'MalformedSubmissionError';
}

/** The state of a job as users see it. `withdrawn` means cancelled. */
export type UserPhase = 'pending' | 'running' | 'done' | 'withdrawn';

const UID_PATTERN = /^job-[0-9]{1,40}$/;
const RANKS: readonly unknown[] = ['prod', 'high', 'standard', 'idle'] satisfies Rank[];

/** Whether the text has the form of a job id. */
export function isJobUid(text: string): boolean {
  return UID_PATTERN.test(text);
}

type Fields = Record<string, unknown>;

/** Longest name of a team, job class, zone, instance type or image, in characters. */
const MAX_NAME_LENGTH = 200;
/** Largest accepted resource amount or duration. A larger value is considered a mistake. */
const MAX_AMOUNT = 1e9;
/** Largest number of instance types that a job may name. */
const MAX_INSTANCE_TYPES = 100;

const isName = (value: unknown): value is string =>
  typeof value === 'string' && value.length > 0 && value.length <= MAX_NAME_LENGTH;
const isAmount = (value: unknown): value is number =>
  typeof value === 'number' && Number.isFinite(value) && value >= 0 && value <= MAX_AMOUNT;
const isBoolean = (value: unknown): value is boolean => typeof value === 'boolean';
const isAbsent = (value: unknown): value is null | undefined => value === null || value === undefined;
const isNameList = (value: unknown): value is string[] =>
  Array.isArray(value) && value.length > 0 && value.length <= MAX_INSTANCE_TYPES && value.every(isName);

/** The check of each field. A job is rejected as malformed unless all checks pass. */
const FIELD_CHECKS: readonly (readonly [field: string, isValid: (value: unknown) => boolean])[] = [
  ['uid', (v) => typeof v === 'string' && isJobUid(v)],
  ['cohort', isName],
  ['crew', isName],
  ['shape', (v) => v === 'sweep' || v === 'standing'],
  ['rank', (v) => RANKS.includes(v)],
  ['pieces', (v) => Number.isInteger(v) && (v as number) >= 1 && (v as number) <= MAX_TASKS_PER_JOB],
  ['cpus', isAmount],
  ['accelerators', isAmount],
  ['memGb', isAmount],
  ['builds', (v) => isAbsent(v) || isNameList(v)],
  ['yard', (v) => isAbsent(v) || isName(v)],
  ['oneZone', isBoolean],
  ['scatter', isBoolean],
  ['loaner', isBoolean],
  ['cast', isName],
  ['sizeGb', isAmount],
  ['guessS', isAmount],
  ['pinS', isAmount],
  ['pinningS', isAmount],
  ['dueS', (v) => isAbsent(v) || isAmount(v)],
  [
    'awaits',
    (v) => isAbsent(v) || (Array.isArray(v) && v.every((uid) => typeof uid === 'string' && isJobUid(uid))),
  ],
];

/**
 * Decodes the job of a submission. Throws MalformedSubmissionError, whose message explains the status 400 to the
 * user.
 */
export function decodeSubmission(body: string): JobSpec {
  const fields = parseFields(body);
  const failedCheck = FIELD_CHECKS.find(([field, isValid]) => !isValid(fields[field]));
  if (failedCheck) throw new MalformedSubmissionError(`${failedCheck[0]} is missing or invalid`);
  return decodeFields(fields);
}

function parseFields(body: string): Fields {
  let value: unknown;
  try {
    value = parseJson(body);
  } catch (error) {
    throw new MalformedSubmissionError('not JSON', { cause: error });
  }
  if (!isJsonObject(value)) throw new MalformedSubmissionError('not an object');
  return value;
}

/** Converts fields that passed all checks to the specification of a job. */
function decodeFields(fields: Fields): JobSpec {
  const dependencies = [...new Set((fields.awaits as string[] | null | undefined) ?? [])];
  return {
    uid: fields.uid as string,
    jobClass: fields.cohort as string,
    team: fields.crew as string,
    kind: fields.shape === 'sweep' ? 'array' : 'service',
    rank: fields.rank as Rank,
    tasks: fields.pieces as number,
    cpus: fields.cpus as number,
    accelerators: fields.accelerators as number,
    memGb: fields.memGb as number,
    instanceTypes: (fields.builds as string[] | null | undefined) ?? null,
    zone: (fields.yard as string | null | undefined) ?? null,
    singleZone: fields.oneZone as boolean,
    zoneSpread: fields.scatter as boolean,
    spot: fields.loaner as boolean,
    image: fields.cast as string,
    imageGb: fields.sizeGb as number,
    estimatedRunS: fields.guessS as number,
    checkpointIntervalS: fields.pinS as number,
    checkpointS: fields.pinningS as number,
    deadlineS: (fields.dueS as number | null | undefined) ?? null,
    ...(dependencies.length > 0 ? { dependencies } : {}),
  };
}

/** Encodes the state of a job in the response to a submission or a cancellation. */
export function encodeJobState(uid: string, phase: UserPhase): unknown {
  return { uid, phase };
}

/** The status of a job as users see it. */
export interface JobStatus {
  readonly phase: UserPhase;
  /** Number of completed tasks, for display. */
  readonly completedTasks: number;
  /** Number of running tasks, for display. */
  readonly runningTasks: number;
}

/** Encodes the status of a job in the response to a status request. */
export function encodeJobStatus(uid: string, { phase, completedTasks, runningTasks }: JobStatus): unknown {
  return { uid, phase, done: completedTasks, running: runningTasks };
}
