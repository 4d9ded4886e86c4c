import { SPARE_JOBS_MAX, SPARE_MARGIN, SPARE_WINDOW_MS, START_EXTRA_S } from '../constants.js';
import type { MachineType } from '../cloud/codec.js';
import type { JobSpec } from '../state/records.js';
import { slots } from './rules.js';

/** An objective of the settings: tasks of a class start within so many seconds. */
export interface StartObjective {
  cohort: string;
  withinS: number;
}

/** A job of a class as the reckoning of spare room sees it. */
export interface Arrival {
  spec: JobSpec;
  acceptedMs: number;
}

/** Room to be kept ready: as if so many more tasks like this one were waiting. */
export interface Spare {
  spec: JobSpec;
  count: number;
}

/**
 * Room kept ready for the classes whose tasks must start sooner than a machine boots: as much as is expected to come
 * while a machine that replaces it boots, and at least for one job. It is not idle: what may be stopped at once for
 * such a task runs there meanwhile.
 */
export function spareRoom(
  objectives: StartObjective[],
  arrivals: Arrival[],
  types: MachineType[],
  wallMs: number,
): Spare[] {
  const spares: Spare[] = [];
  for (const { cohort, withinS } of objectives) {
    const jobs = arrivals.filter(({ spec }) => spec.cohort === cohort && spec.kind === 'service');
    const newest = jobs.reduce<Arrival | undefined>(
      (a, b) => (a && a.acceptedMs > b.acceptedMs ? a : b),
      undefined,
    );
    if (!newest) continue;
    const boots = types.filter((type) => slots(newest.spec, type) > 0).map((type) => type.bootS);
    const bootS = Math.min(...boots) + START_EXTRA_S;
    if (boots.length === 0 || bootS <= withinS) continue;
    const sum = (some: Arrival[]): number => some.reduce((total, { spec }) => total + spec.tasks, 0);
    const mean = sum(jobs) / jobs.length;
    const lately = sum(jobs.filter(({ acceptedMs }) => wallMs - acceptedMs < SPARE_WINDOW_MS));
    const expected = ((lately * bootS * 1000) / SPARE_WINDOW_MS) * SPARE_MARGIN;
    // What a first wave brought does not come again: bounded by a few jobs.
    const count = Math.ceil(Math.min(Math.max(expected, mean), mean * SPARE_JOBS_MAX));
    spares.push({ spec: { ...newest.spec, tasks: count }, count });
  }
  return spares;
}
