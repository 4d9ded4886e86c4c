/** The options for the construction of a job. */
import type { JobRecord, JobSpec } from '../state/records.js';
import type { WireInt } from '../wire/json.js';
import type { DeadlineObjective } from './job-pipeline.js';
import type { RunTimeEstimator } from './run-time-estimator.js';

/** The data from which a leader constructs a job that it has read from the state store. */
export interface JobOptions {
  /** Identifies the job. It is part of the job's key in the state store. */
  readonly uid: string;
  /** The stored value of the job. */
  readonly record: JobRecord;
  /** The specification in the record. Only records of jobs that are done or cancelled may lack one. */
  readonly spec: JobSpec;
  /** Revision of the job's key in the state store. */
  readonly modRevision: WireInt;
  /** The deadline objectives of all job classes. */
  readonly deadlineObjectives: readonly DeadlineObjective[];
  /** The run time estimator that all jobs of a term share. By default the job gets one of its own. */
  readonly runTimeEstimator?: RunTimeEstimator;
  /** Uids of the jobs that must be done before any task of this job starts. By default there are none. */
  readonly dependencies?: readonly string[];
}
