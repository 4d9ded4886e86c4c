/**
 * Creates the pipeline (flexible transaction) of a submitted job. A job that allows spot instances uses spot capacity
 * first, and falls back to capacity of either kind if the member for spot capacity fails.
 */
import type { JobSpec } from '../state/records.js';
import { ALWAYS_TRUE, failed, type Pipeline } from './pipeline.js';

/** The member that scales out with spot instances only. It may still use free capacity of either kind. */
export const SPOT_CAPACITY_MEMBER = 'spot';

/** The member that may scale out with spot and on-demand instances. */
export const ANY_CAPACITY_MEMBER = 'any';

/**
 * A service-level objective from the settings. It requires that a share of the jobs of a class completes within a
 * multiple of their deadlines.
 */
export interface DeadlineObjective {
  /** Name of the job class. */
  readonly jobClass: string;
  /** Required share of the jobs, from 0 to 1. */
  readonly share: number;
  /** Multiple of the deadline of each job within which it must complete. */
  readonly deadlineFactor: number;
}

/** The fields of a job's specification that determine its pipeline. */
type PipelineSpec = Pick<JobSpec, 'spot' | 'deadlineS' | 'jobClass'>;

const SPOT_FIRST_PIPELINE: Pick<Pipeline, 'members' | 'acceptableStates'> = {
  members: [
    { name: SPOT_CAPACITY_MEMBER, predecessors: [], predicate: ALWAYS_TRUE },
    {
      name: ANY_CAPACITY_MEMBER,
      predecessors: [SPOT_CAPACITY_MEMBER],
      predicate: failed(SPOT_CAPACITY_MEMBER),
    },
  ],
  acceptableStates: ['SN', 'FS'],
};

const ANY_CAPACITY_PIPELINE: Pick<Pipeline, 'members' | 'acceptableStates'> = {
  members: [{ name: ANY_CAPACITY_MEMBER, predecessors: [], predicate: ALWAYS_TRUE }],
  acceptableStates: ['S'],
};

/** Creates the pipeline of a job. Each objective of its class becomes a step of the value function. */
export function createJobPipeline(spec: PipelineSpec, objectives: readonly DeadlineObjective[]): Pipeline {
  const pipelineWithoutDeadline = createSuccessorPipeline(spec);
  const { deadlineS, jobClass } = spec;
  if (deadlineS === null) return pipelineWithoutDeadline;
  const valueSteps = objectives
    .filter((objective) => objective.jobClass === jobClass)
    .sort((a, b) => a.deadlineFactor - b.deadlineFactor)
    .map(({ deadlineFactor }, index, matchingObjectives) => ({
      untilS: deadlineS * deadlineFactor,
      value: 1 - index / matchingObjectives.length,
    }));
  return {
    ...pipelineWithoutDeadline,
    valueSteps: valueSteps.length > 0 ? valueSteps : [{ untilS: deadlineS, value: 1 }],
  };
}

/**
 * Creates the pipeline that takes over the running tasks of a job after its last deadline. It is the job's pipeline
 * without a value function.
 */
export function createSuccessorPipeline(spec: Pick<JobSpec, 'spot'>): Pipeline {
  return { ...(spec.spot ? SPOT_FIRST_PIPELINE : ANY_CAPACITY_PIPELINE), valueSteps: [] };
}
