/** The dependencies of a stored job, which are either in the job's own value or in a list under separate keys. */
import { isStringArray } from './checks.js';
import { decodeJob, type JobPhase } from './job-record.js';
import type { JobSpec } from './job-spec.js';
import { dependencyListKey } from './keys.js';

/** Returns the stored value of a key, or undefined if there is no such key. */
type ValueLookup = (key: string) => unknown;

/** The phase and the dependencies of a job. */
export interface JobDependencies {
  readonly phase: JobPhase;
  /** Uids of the jobs that it depends on, or undefined if a part of the list is missing or malformed. */
  readonly dependencies: readonly string[] | undefined;
}

/** Returns the uids of the jobs that a job depends on, or undefined if a part of the list is missing or malformed. */
export function readDependencies(spec: JobSpec, lookUpValue: ValueLookup): readonly string[] | undefined {
  const { uid, dependencyList } = spec;
  if (!dependencyList) return spec.dependencies ?? [];
  const parts = Array.from({ length: dependencyList.parts }, (_, part) =>
    lookUpValue(dependencyListKey(uid, dependencyList, part)),
  );
  return parts.every(isStringArray) ? parts.flat() : undefined;
}

/** Decodes the phase and the dependencies of a stored job. Returns undefined if its value is malformed. */
export function decodeJobDependencies(value: unknown, lookUpValue: ValueLookup): JobDependencies | undefined {
  const record = decodeJob(value);
  if (!record) return undefined;
  return { phase: record.phase, dependencies: record.spec ? readDependencies(record.spec, lookUpValue) : [] };
}
