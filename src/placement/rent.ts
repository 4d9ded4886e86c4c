import { EPSILON, BUSY_CAPACITY_WAIT_S, START_EXTRA_S } from '../constants.js';
import type { MachineType, Offer } from '../cloud/codec.js';
import type { Node, Resources } from '../fleet/ledger.js';
import type { JobSpec } from '../state/records.js';
import { allowsPlace, allowsZone, fits, slots, zoneRoom } from './rules.js';

/** Waiting tasks of one job, in order of release. */
export interface Demand {
  spec: JobSpec;
  /** Seconds that a task of it is expected to run. */
  expectedS: number;
  count: number;
  zones: ReadonlyMap<string, number>;
  /** Whether ordinary machines may be rented for it; spot ones may be if it may use them. */
  ordinary: boolean;
  /** Whether a spot machine taken back would make it late. */
  shunsSpot: boolean;
  /** Seconds for which it has waited for room. */
  waitedS: number;
  /** Seconds to the deadline; Infinity: none. */
  leftS: number;
  /** Seconds within which its tasks are to start by the objectives; Infinity: none, or that is over. */
  startLeftS: number;
}

/** Room that is not there yet: a machine on its way, or that of a task about to end. */
export interface IncomingCapacity extends Offer {
  free: Resources;
  /** Seconds until it can be used. */
  readyS: number;
  /** Room of a running task: nobody can say for sure when it ends, so live services don't wait for it. */
  busy: boolean;
  /** The machine whose room can be had at once for spare room; undefined: not there yet. */
  node?: Node;
  /** Whether something of a demand was counted on it. */
  taken?: boolean;
}

export interface RentalPlan {
  offer: Offer;
  count: number;
}

export interface Market {
  types: MachineType[];
  /** Whether the offer was refused lately. */
  refused: (offer: Offer) => boolean;
}

/**
 * What to rent so that every waiting task has room: what is already coming is counted first, then the cheapest
 * per task that is up in time, or the soonest when none is.
 */
export function planRentals(
  demands: Demand[],
  coming: IncomingCapacity[],
  market: Market,
  spares: Demand[] = [],
  ready: IncomingCapacity[] = [],
): { plans: RentalPlan[]; kept: Set<Node> } {
  const pool = new CapacityPool(coming);
  const plans = new Map<string, RentalPlan>();
  serve(demands, pool, plans, market);
  // Spare room comes last; it counts what could be had at once, and that is then kept.
  const spare = new CapacityPool([...ready, ...pool.arriving]);
  serve(spares, spare, plans, market);
  const kept = new Set(spare.arriving.filter((c) => c.taken).flatMap((c) => (c.node ? [c.node] : [])));
  return { plans: [...plans.values()], kept };
}

const isUsedUp = ({ free }: IncomingCapacity): boolean =>
  free.cpus <= EPSILON && free.accelerators <= EPSILON;

/** What comes in one zone, in the order in which demands are counted on it. */
interface ZoneCapacity {
  /** Room of running tasks, soonest first. */
  busy: IncomingCapacity[];
  /** Machines on their way. */
  open: IncomingCapacity[];
}

/** Copies of the room that is to come, by zone. */
class CapacityPool {
  private readonly zones = new Map<string, ZoneCapacity>();
  /** Machines on their way, and those that are there; they stay in the list when nothing of them is left. */
  readonly arriving: IncomingCapacity[] = [];

  constructor(coming: IncomingCapacity[]) {
    for (const each of coming) {
      const copy = { ...each, free: { ...each.free } };
      if (copy.busy) this.zoneOf(copy.zone).busy.push(copy);
      else this.add(copy);
    }
    for (const { busy } of this.zones.values()) busy.sort((a, b) => a.readyS - b.readyS);
  }

  /** What a demand may be counted on: rooms of running tasks first, as far as they end in time. */
  *candidates(demand: Demand, taken: ReadonlyMap<string, number>): Iterable<IncomingCapacity> {
    const busyUntilS = latestEndS(demand);
    for (const [zone, { busy, open }] of this.zones) {
      if (!allowsZone(demand.spec, taken, zone)) continue;
      for (const each of busy) {
        if (each.readyS > busyUntilS) break;
        yield each;
      }
      yield* open;
    }
  }

  add(each: IncomingCapacity): void {
    this.arriving.push(each);
    this.zoneOf(each.zone).open.push(each);
  }

  /** Lets go of what is used up, so that the next of hundreds of demands need not pass over it again. */
  compact(): void {
    for (const zone of this.zones.values()) {
      zone.busy = zone.busy.filter((each) => !isUsedUp(each));
      zone.open = zone.open.filter((each) => !isUsedUp(each));
    }
  }

  private zoneOf(name: string): ZoneCapacity {
    let zone = this.zones.get(name);
    if (!zone) this.zones.set(name, (zone = { busy: [], open: [] }));
    return zone;
  }
}

function serve(demands: Demand[], pool: CapacityPool, plans: Map<string, RentalPlan>, market: Market): void {
  for (const demand of demands) {
    const zones = new Map(demand.zones);
    let left = demand.count;
    const take = (place: IncomingCapacity): void => {
      const count = Math.min(left, slots(demand.spec, place.free), zoneRoom(demand.spec, zones, place.zone));
      if (count <= 0) return;
      left -= count;
      place.taken = true;
      place.free.cpus -= count * demand.spec.cpus;
      place.free.accelerators -= count * demand.spec.accelerators;
      place.free.memGb -= count * demand.spec.memGb;
      zones.set(place.zone, (zones.get(place.zone) ?? 0) + count);
    };
    // Each place is looked at once for all tasks of the demand.
    for (const place of pool.candidates(demand, zones)) {
      if (left <= 0) break;
      if (fits(demand.spec, place.free) && !isShunned(demand, place) && usable(demand, place, zones))
        take(place);
    }
    if (left < demand.count) pool.compact();
    while (left > 0) {
      const place = rentFor(demand, zones, left, market, plans);
      if (!place) break;
      pool.add(place);
      take(place);
    }
  }
}

/** Until when a running task must end for its room to serve the demand; a machine on its way always serves. */
function latestEndS(demand: Demand): number {
  if (demand.spec.kind === 'service' || demand.waitedS > BUSY_CAPACITY_WAIT_S) return -Infinity;
  return Math.min(demand.startLeftS, demand.leftS - demand.expectedS);
}

/** A spot machine on its way is not counted on by what must not lose it. */
function isShunned(demand: Demand, place: IncomingCapacity): boolean {
  return demand.shunsSpot && place.spot && !place.busy;
}

function usable(demand: Demand, offer: Offer, zones: ReadonlyMap<string, number>): boolean {
  return allowsPlace(demand.spec, offer) && allowsZone(demand.spec, zones, offer.zone);
}

function rentFor(
  demand: Demand,
  zones: ReadonlyMap<string, number>,
  count: number,
  market: Market,
  plans: Map<string, RentalPlan>,
): IncomingCapacity | undefined {
  const { spec } = demand;
  let best: { offer: Offer; type: MachineType; score: number } | undefined;
  for (const type of market.types) {
    const room = slots(spec, type);
    if (room === 0) continue;
    const readyS = type.bootS + START_EXTRA_S + demand.expectedS;
    const late = Math.max(0, readyS - demand.leftS);
    for (const zone of type.zones) {
      for (const spot of [true, false]) {
        const offer = { type: type.name, zone, spot };
        if (!spot && !demand.ordinary) continue;
        if (!usable(demand, offer, zones) || market.refused(offer)) continue;
        // What shuns spot machines takes them only where there are no others.
        const each = !spot ? type.price : demand.shunsSpot ? type.price * 2 : type.spotPrice;
        const price = each / Math.min(room, count);
        const score = price * (1 + late);
        if (!best || score < best.score) best = { offer, type, score };
      }
    }
  }
  if (!best) return undefined;
  const { offer, type } = best;
  const node: IncomingCapacity = {
    ...offer,
    free: { cpus: type.cpus, accelerators: type.accelerators, memGb: type.memGb },
    readyS: type.bootS + START_EXTRA_S,
    busy: false,
  };
  const key = `${offer.type}/${offer.zone}/${offer.spot}`;
  const plan = plans.get(key) ?? { offer, count: 0 };
  plan.count++;
  plans.set(key, plan);
  return node;
}
