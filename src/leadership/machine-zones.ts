import { HANDOVER_MACHINES, HANDOVER_SHARE } from '../constants.js';
import type { Mirror } from '../state/mirror.js';
import { decodeGroup, GROUPS } from '../state/records.js';

/** Where the machines are, by the records of the leaders. */
export class MachineZones {
  private constructor(private readonly counts: ReadonlyMap<string, number>) {}

  static read(mirror: Pick<Mirror, 'startingWith'>): MachineZones {
    const counts = new Map<string, number>();
    for (const row of mirror.startingWith(GROUPS)) {
      const group = decodeGroup(row.value);
      if (group) counts.set(group.zone, (counts.get(group.zone) ?? 0) + group.members.size);
    }
    return new MachineZones(counts);
  }

  /** A leader in a zone with nearly no machines is cut off from all of them when the zones are. */
  isFar(zone: string): boolean {
    const most = Math.max(0, ...this.counts.values());
    return most >= HANDOVER_MACHINES && (this.counts.get(zone) ?? 0) <= most * HANDOVER_SHARE;
  }
}
