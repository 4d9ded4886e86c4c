import type { Attempt, Node, Resources } from '../fleet/ledger.js';
import type { Job } from '../pipeline/job.js';
import type { Room } from './choose.js';
import { allowsPlace, allowsZone, fits } from './rules.js';

/** Where a waiting task gets its room, and what has to be stopped for it; nothing if it only has to wait. */
export interface Preemption {
  room: Room;
  victims: Attempt[];
  loss: number;
}

/**
 * The machines on which a task of `job` can get room, one task each, least loss first: what loses least is stopped
 * first, and a second of fetching the image counts like a lost second. The rooms are what is free, less what is
 * promised to others.
 */
export function rankPreemptions(
  job: Job,
  rooms: Iterable<Room>,
  fetchS: (node: Node) => number,
  mayStop: (victim: Job) => boolean,
  lossS: (victim: Attempt) => number,
): Preemption[] {
  const preemptions: Preemption[] = [];
  for (const room of rooms) {
    const { node } = room;
    if (!allowsPlace(job.spec, node) || !allowsZone(job.spec, job.zones, node.zone)) continue;
    const free = { ...room.free };
    const victims: Attempt[] = [];
    let loss = fetchS(node);
    // Tasks already being stopped make room by themselves.
    for (const a of node.attempts.values()) if (a.stop && a.state !== 'exited') addTo(free, a.size, 1);
    if (!fits(job.spec, free)) {
      const candidates = [...node.attempts.values()]
        .filter((a) => a.state !== 'exited' && !a.stop && a.job !== undefined && mayStop(a.job))
        .map((attempt) => ({ attempt, lossS: lossS(attempt) }))
        .sort((a, b) => a.lossS - b.lossS);
      for (const candidate of candidates) {
        victims.push(candidate.attempt);
        addTo(free, candidate.attempt.size, 1);
        loss += candidate.lossS;
        if (fits(job.spec, free)) break;
      }
    }
    if (fits(job.spec, free)) preemptions.push({ room, victims, loss });
  }
  return preemptions.sort((a, b) => a.loss - b.loss);
}

export function addTo(total: Resources, size: Resources, sign: 1 | -1): void {
  total.cpus += sign * size.cpus;
  total.accelerators += sign * size.accelerators;
  total.memGb += sign * size.memGb;
}
