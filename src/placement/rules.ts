import { EPSILON } from '../constants.js';
import type { Resources } from '../fleet/ledger.js';
import type { JobSpec } from '../state/records.js';

/** The rules about where a task may run, pure; each is one of the protocol's `wrong_place` and `quota`. */

export interface Place {
  type: string;
  zone: string;
  spot: boolean;
}

export function allowsPlace(spec: JobSpec, place: Place): boolean {
  return (
    (spec.types === null || spec.types.includes(place.type)) &&
    (spec.zone === null || spec.zone === place.zone) &&
    (spec.spot || !place.spot)
  );
}

/** Most tasks of a job that may be in one zone. */
export function zoneLimit(spec: JobSpec): number {
  return spec.scatter ? Math.ceil(spec.tasks / 2) : spec.tasks;
}

/** `zones` counts the job's tasks that are or may be on machines, per zone. */
export function allowsZone(spec: JobSpec, zones: ReadonlyMap<string, number>, zone: string): boolean {
  if (spec.oneZone && zones.size > 0 && !(zones.size === 1 && zones.has(zone))) return false;
  return (zones.get(zone) ?? 0) < zoneLimit(spec);
}

/** How many more tasks of a job the rules allow in a zone. */
export function zoneRoom(spec: JobSpec, zones: ReadonlyMap<string, number>, zone: string): number {
  return allowsZone(spec, zones, zone) ? zoneLimit(spec) - (zones.get(zone) ?? 0) : 0;
}

export function fits(size: Resources, free: Resources): boolean {
  return (
    size.cpus <= free.cpus + EPSILON &&
    size.accelerators <= free.accelerators + EPSILON &&
    size.memGb <= free.memGb + EPSILON
  );
}

/** How many tasks of this size fit. */
export function slots(size: Resources, free: Resources): number {
  const part = (needed: number, there: number): number =>
    needed > 0 ? Math.floor((there + EPSILON) / needed) : Infinity;
  const count = Math.min(
    part(size.cpus, free.cpus),
    part(size.accelerators, free.accelerators),
    part(size.memGb, free.memGb),
  );
  return Number.isFinite(count) ? Math.max(0, count) : 0;
}

export interface TeamLimit {
  name: string;
  cpus: number;
  cpusMax: number;
  accelerators: number;
  acceleratorsMax: number;
}

/** How many more tasks of this size the team may run; `used` counts everything that may be running. */
export function teamRoom(limit: TeamLimit, used: Resources, size: Resources): number {
  return slots(
    { ...size, memGb: 0 },
    {
      cpus: limit.cpusMax - used.cpus,
      accelerators: limit.acceleratorsMax - used.accelerators,
      memGb: 0,
    },
  );
}
