/** The capacity that waiting tasks need from the autoscaler. */
import type { JobSpec } from '../state/records.js';
import type { HeadroomDemand } from './headroom.js';

/** Waiting tasks of one job. */
export interface CapacityDemand {
  readonly spec: JobSpec;
  /** Seconds that one task of the job is expected to run. */
  readonly expectedRunTimeS: number;
  /** Number of waiting tasks. */
  readonly taskCount: number;
  /** Number of tasks of the job that are, or may be, on nodes, by zone. */
  readonly allocationsPerZone: ReadonlyMap<string, number>;
  /** Whether on-demand instances may be launched for the job. Spot instances may be launched if the job allows them. */
  readonly mayLaunchOnDemand: boolean;
  /** Whether the job avoids spot instances because an interruption would make it late. */
  readonly avoidsSpot: boolean;
  /** Seconds for which the job has waited for capacity. */
  readonly waitedS: number;
  /** Seconds until the job's deadline. Infinity if the job has no deadline that can still be met. */
  readonly timeToDeadlineS: number;
  /** Seconds left to start tasks within the job's start objective. Infinity if there is none or it was missed. */
  readonly timeToStartObjectiveS: number;
}

/** Converts a headroom demand into the capacity demand that its tasks would have if they were waiting. */
export function toCapacityDemand({ spec, taskCount }: HeadroomDemand): CapacityDemand {
  return {
    spec,
    expectedRunTimeS: 0,
    taskCount,
    allocationsPerZone: new Map(),
    mayLaunchOnDemand: true,
    avoidsSpot: false,
    waitedS: 0,
    timeToDeadlineS: Infinity,
    timeToStartObjectiveS: Infinity,
  };
}
