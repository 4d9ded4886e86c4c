import type { Node, Resources } from '../fleet/ledger.js';
import type { JobSpec } from '../state/records.js';
import { allowsPlace, allowsZone, fits } from './rules.js';

export interface Choice {
  spec: JobSpec;
  zones: ReadonlyMap<string, number>;
  /** Whether a loss would make the job late. */
  shunsSpot: boolean;
  /** Machines on which a task of the job failed. */
  avoid: ReadonlySet<string>;
}

/** A machine and what is free on it, less what this pass has given away. */
export interface Room {
  readonly node: Node;
  readonly free: Resources;
}

/**
 * The machines with room for a task, best first: spot machines for what may use them, so that ordinary room stays free
 * for the rest, unless a loss would make it late; then where the task starts soonest; then the fullest, so that others become idle and are returned. A
 * machine that got one task of the job is the fullest for the next, so one look serves all of them.
 */
export function rankRooms(
  choice: Choice,
  rooms: Iterable<Room>,
  fetchS: (node: Node, spec: JobSpec) => number,
): Room[] {
  const { spec, zones, shunsSpot, avoid } = choice;
  const ranked: { room: Room; score: number }[] = [];
  for (const room of rooms) {
    const { node, free } = room;
    if (!fits(spec, free) || !allowsPlace(spec, node) || !allowsZone(spec, zones, node.zone)) continue;
    const wrongKind = spec.spot && node.spot === shunsSpot ? 1 : 0;
    const failed = avoid.has(node.name) ? 1 : 0;
    const score = failed * 1e6 + wrongKind * 1e4 + fetchS(node, spec) * 10 + (free.cpus - spec.cpus);
    ranked.push({ room, score });
  }
  return ranked
    .sort((a, b) => a.score - b.score || a.room.node.order - b.room.node.order)
    .map(({ room }) => room);
}
