/** Incoming capacity from which demands reserve what they need. */
import type { Node } from '../cluster/cluster-state.js';
import { hasFreeCapacity as hasRoom, type MutableCapacity } from '../cluster/resources.js';
import { MAX_OCCUPIED_CAPACITY_WAIT_S } from '../constants.js';
import {
  allowsZone,
  fits,
  countRemainingZoneTasks,
  satisfiesConstraints,
  countFittingTasks,
} from '../scheduler/placement-constraints.js';
import type { CapacityDemand } from './capacity-demand.js';
import type { InstanceOffering } from './cloud-codec.js';
import type { IncomingCapacity } from './incoming-capacity.js';

/** Capacity in a pool. `free` is the part that no demand has reserved. */
export interface PooledCapacity extends IncomingCapacity {
  readonly free: MutableCapacity;
  /** Whether a demand has reserved any part of the capacity. */
  isReserved: boolean;
}

/** The capacity of one zone, in the order in which demands reserve it. */
interface ZoneCapacity {
  /** Capacity held by running tasks, the soonest to complete first. */
  occupied: PooledCapacity[];
  /** Capacity of nodes that are launching, booting or ready. */
  unoccupied: PooledCapacity[];
}

/** Holds copies of the incoming capacity, by zone. */
export class CapacityPool {
  private readonly zones = new Map<string, ZoneCapacity>();
  private readonly unoccupied: PooledCapacity[] = [];

  constructor(incoming: Iterable<IncomingCapacity>) {
    for (const capacity of incoming) {
      if (capacity.isOccupied) this.getOrCreateZone(capacity.zone).occupied.push(toPooledCapacity(capacity));
      else this.add(capacity);
    }
    for (const { occupied } of this.zones.values()) occupied.sort((a, b) => a.readyInS - b.readyInS);
  }

  /**
   * The capacity that no running task holds, in the order in which it was added. It includes capacity that is used up.
   */
  get unoccupiedCapacity(): readonly IncomingCapacity[] {
    return this.unoccupied;
  }

  /** The nodes on which demands have reserved capacity. */
  getReservedNodes(): Set<Node> {
    const nodes = new Set<Node>();
    for (const { isReserved, node } of this.unoccupied) if (isReserved && node) nodes.add(node);
    return nodes;
  }

  /** Adds a copy of the capacity and returns the copy. */
  add(capacity: IncomingCapacity): PooledCapacity {
    const copy = toPooledCapacity(capacity);
    this.unoccupied.push(copy);
    this.getOrCreateZone(copy.zone).unoccupied.push(copy);
    return copy;
  }

  /** Reserves as much capacity of the pool as the demand can use. */
  reserveFor(reservation: Reservation): void {
    for (const capacity of this.findCandidates(reservation)) {
      if (reservation.remainingTasks <= 0) break;
      if (reservation.canUse(capacity)) reservation.reserve(capacity);
    }
    if (reservation.remainingTasks < reservation.demand.taskCount) this.removeExhausted();
  }

  /**
   * The capacity in the zones where the job may run. In each zone, the capacity of running tasks that complete in time
   * comes first. Capacity of running tasks that complete later is left out.
   */
  private *findCandidates({ demand, allocationsPerZone }: Reservation): Iterable<PooledCapacity> {
    const latestReadyS = computeLatestCompletionS(demand);
    for (const [zone, { occupied, unoccupied }] of this.zones) {
      if (!allowsZone(demand.spec, allocationsPerZone, zone)) continue;
      for (const capacity of occupied) {
        if (capacity.readyInS > latestReadyS) break;
        yield capacity;
      }
      yield* unoccupied;
    }
  }

  /**
   * Removes capacity that is used up, so that the following demands, of which there may be hundreds, need not skip it
   * again.
   */
  private removeExhausted(): void {
    for (const zone of this.zones.values()) {
      zone.occupied = zone.occupied.filter(hasFreeCapacity);
      zone.unoccupied = zone.unoccupied.filter(hasFreeCapacity);
    }
  }

  private getOrCreateZone(name: string): ZoneCapacity {
    let zone = this.zones.get(name);
    if (!zone) this.zones.set(name, (zone = { occupied: [], unoccupied: [] }));
    return zone;
  }
}

/** The capacity that one demand has reserved so far. */
export class Reservation {
  /** Number of tasks without a reservation. */
  remainingTasks: number;
  /** Number of tasks of the job by zone, including tasks that have a reservation. */
  readonly allocationsPerZone: Map<string, number>;

  constructor(readonly demand: CapacityDemand) {
    this.remainingTasks = demand.taskCount;
    this.allocationsPerZone = new Map(demand.allocationsPerZone);
  }

  /** Whether one more task may run on an instance of this offering. */
  allowsOffering(offering: InstanceOffering): boolean {
    const { spec } = this.demand;
    return satisfiesConstraints(spec, offering) && allowsZone(spec, this.allocationsPerZone, offering.zone);
  }

  /**
   * Whether one more task can use the capacity. A demand that avoids spot instances waits for tasks that run on spot
   * instances, but not for spot instances that are not ready yet.
   */
  canUse(capacity: IncomingCapacity): boolean {
    const { spec, avoidsSpot } = this.demand;
    if (!fits(spec, capacity.free)) return false;
    if (avoidsSpot && capacity.spot && !capacity.isOccupied) return false;
    return this.allowsOffering(capacity);
  }

  /** Reserves the capacity for as many tasks as fit. */
  reserve(capacity: PooledCapacity): void {
    const { spec } = this.demand;
    const { free, zone } = capacity;
    const taskCount = Math.min(
      this.remainingTasks,
      countFittingTasks(spec, free),
      countRemainingZoneTasks(spec, this.allocationsPerZone, zone),
    );
    if (taskCount <= 0) return;
    this.remainingTasks -= taskCount;
    capacity.isReserved = true;
    free.cpus -= taskCount * spec.cpus;
    free.accelerators -= taskCount * spec.accelerators;
    free.memGb -= taskCount * spec.memGb;
    free.taskSlots -= taskCount;
    this.allocationsPerZone.set(zone, (this.allocationsPerZone.get(zone) ?? 0) + taskCount);
  }
}

/**
 * Seconds within which a running task must complete so that the demand waits for the capacity of that task. -Infinity
 * if the demand does not wait for running tasks.
 */
function computeLatestCompletionS(demand: CapacityDemand): number {
  if (demand.spec.kind === 'service' || demand.waitedS > MAX_OCCUPIED_CAPACITY_WAIT_S) return -Infinity;
  return Math.min(demand.timeToStartObjectiveS, demand.timeToDeadlineS - demand.expectedRunTimeS);
}

const toPooledCapacity = (capacity: IncomingCapacity): PooledCapacity => ({
  ...capacity,
  free: { ...capacity.free },
  isReserved: false,
});

const hasFreeCapacity = ({ free }: PooledCapacity): boolean => hasRoom(free);
