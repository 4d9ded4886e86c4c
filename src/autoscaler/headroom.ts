/** Plans headroom, which is capacity kept ready for expected jobs that must start sooner than a new node boots. */
import {
  MAX_HEADROOM_JOBS,
  HEADROOM_MARGIN,
  HEADROOM_WINDOW_MS,
  NODE_START_OVERHEAD_S,
} from '../constants.js';
import { countTasksWithinResources } from '../scheduler/placement-constraints.js';
import type { JobSpec } from '../state/records.js';
import type { InstanceType } from './cloud-codec.js';

/** A service-level objective from the settings: tasks of the job class start within `withinS` seconds. */
export interface StartObjective {
  readonly jobClass: string;
  readonly withinS: number;
}

/** A job from which the arrival of further jobs is estimated. */
export interface RecentJob {
  readonly spec: JobSpec;
  /** Wall-clock time in milliseconds at which a controller accepted the job. */
  readonly acceptedMs: number;
}

/** Capacity to keep ready. It must be enough to start `taskCount` tasks that are specified by `spec`. */
export interface HeadroomDemand {
  readonly spec: JobSpec;
  readonly taskCount: number;
}

/**
 * Plans the headroom for the job classes whose services, according to a start objective, must start sooner than a new
 * instance is ready. Headroom is not idle: tasks that may be preempted at once run on it.
 */
export function planHeadroom(
  objectives: readonly StartObjective[],
  recentJobs: readonly RecentJob[],
  instanceTypes: readonly InstanceType[],
  wallMs: number,
): HeadroomDemand[] {
  const demands: HeadroomDemand[] = [];
  for (const { jobClass, withinS } of objectives) {
    const services = recentJobs.filter(({ spec }) => spec.jobClass === jobClass && spec.kind === 'service');
    const newest = findNewest(services);
    if (!newest) continue;
    const startTimeS = computeShortestStartTimeS(newest.spec, instanceTypes);
    if (startTimeS === undefined || startTimeS <= withinS) continue;
    const taskCount = countHeadroomTasks(services, startTimeS, wallMs);
    demands.push({ spec: { ...newest.spec, tasks: taskCount }, taskCount });
  }
  return demands;
}

/** The most recently accepted job. If several were accepted at the same time, it is the last of them in the list. */
function findNewest(jobs: readonly RecentJob[]): RecentJob | undefined {
  return jobs.reduce<RecentJob | undefined>(
    (newest, job) => (newest && newest.acceptedMs > job.acceptedMs ? newest : job),
    undefined,
  );
}

/**
 * The shortest time in seconds from the launch of an instance to the start of a task on it. Undefined if the task
 * fits no instance type.
 */
function computeShortestStartTimeS(
  spec: JobSpec,
  instanceTypes: readonly InstanceType[],
): number | undefined {
  const fittingTypes = instanceTypes.filter((type) => countTasksWithinResources(spec, type) > 0);
  if (fittingTypes.length === 0) return undefined;
  return Math.min(...fittingTypes.map((type) => type.bootS)) + NODE_START_OVERHEAD_S;
}

/**
 * The number of tasks that the headroom must be enough for. These are the tasks that are expected to arrive, with a
 * margin, while a new instance starts and replaces the headroom that was used, but at least the tasks of one average
 * job. The number is limited to the tasks of a few average jobs, because a first wave of arrivals does not repeat.
 */
function countHeadroomTasks(jobs: readonly RecentJob[], startTimeS: number, wallMs: number): number {
  const meanTasksPerJob = countTasks(jobs) / jobs.length;
  const recentTasks = countTasks(jobs.filter(({ acceptedMs }) => wallMs - acceptedMs < HEADROOM_WINDOW_MS));
  const expectedTasks = ((recentTasks * startTimeS * 1000) / HEADROOM_WINDOW_MS) * HEADROOM_MARGIN;
  return Math.ceil(Math.min(Math.max(expectedTasks, meanTasksPerJob), meanTasksPerJob * MAX_HEADROOM_JOBS));
}

function countTasks(jobs: readonly RecentJob[]): number {
  return jobs.reduce((total, { spec }) => total + spec.tasks, 0);
}
