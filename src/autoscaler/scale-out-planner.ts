/** Plans which instances to launch so that every waiting task gets capacity. */
import type { Node } from '../cluster/cluster-state.js';
import { createEmptyNodeCapacity } from '../cluster/resources.js';
import { AVOIDED_SPOT_PRICE_RATIO, NODE_START_OVERHEAD_S } from '../constants.js';
import { countFittingTasks } from '../scheduler/placement-constraints.js';
import type { CapacityDemand } from './capacity-demand.js';
import { CapacityPool, Reservation } from './capacity-pool.js';
import { formatOfferingKey, type InstanceOffering, type InstanceType } from './cloud-codec.js';
import type { IncomingCapacity } from './incoming-capacity.js';

/** How many instances of an offering to launch. */
export interface ScaleOutPlan {
  readonly offering: InstanceOffering;
  readonly count: number;
}

/** The instance types of the cloud, and which of their offerings are available. */
export interface OfferingAvailability {
  readonly instanceTypes: readonly InstanceType[];
  /** Whether the offering must not be requested now. */
  readonly isUnavailable: (offering: InstanceOffering) => boolean;
}

/** The input of the planner. */
export interface ScaleOutInput {
  /** Waiting tasks, in the order in which their jobs are scheduled. */
  readonly demands: readonly CapacityDemand[];
  /** Capacity that becomes available later without a new launch. */
  readonly incomingCapacity: readonly IncomingCapacity[];
  readonly availability: OfferingAvailability;
  /** The demands for headroom, as if the tasks expected to use it were waiting. */
  readonly headroomDemands?: readonly CapacityDemand[];
  /** Capacity that can be used at once. Only headroom relies on it, because the waiting tasks found none. */
  readonly immediateCapacity?: readonly IncomingCapacity[];
}

/** The instances to launch, and the nodes to keep. */
export interface ScaleOutResult {
  readonly plans: readonly ScaleOutPlan[];
  /** Nodes that must not be terminated because headroom relies on them. */
  readonly headroomNodes: ReadonlySet<Node>;
}

/**
 * Plans the launches. Demands first use the incoming capacity. For the remaining tasks, the planner chooses the
 * offering that is cheapest per task. If an offering would make a task miss its deadline, the price is weighed against
 * the delay. Headroom comes last.
 */
export function planScaleOut(input: ScaleOutInput): ScaleOutResult {
  const { demands, incomingCapacity, availability, headroomDemands = [], immediateCapacity = [] } = input;
  const plannedLaunches = new PlannedLaunches(availability);
  const pool = new CapacityPool(incomingCapacity);
  for (const demand of demands) satisfyDemand(demand, pool, plannedLaunches);
  // The immediate capacity includes that of the nodes which are up.
  const startingCapacity = pool.unoccupiedCapacity.filter(({ node }) => node === undefined);
  const headroomPool = new CapacityPool([...immediateCapacity, ...startingCapacity]);
  for (const demand of headroomDemands) satisfyDemand(demand, headroomPool, plannedLaunches);
  return { plans: plannedLaunches.plans, headroomNodes: headroomPool.getReservedNodes() };
}

/** Reserves capacity for all tasks of the demand, and plans launches for the capacity that the pool lacks. */
function satisfyDemand(demand: CapacityDemand, pool: CapacityPool, plannedLaunches: PlannedLaunches): void {
  const reservation = new Reservation(demand);
  pool.reserveFor(reservation);
  while (reservation.remainingTasks > 0) {
    const plannedInstance = plannedLaunches.addInstance(reservation);
    if (!plannedInstance) return;
    reservation.reserve(pool.add(plannedInstance));
  }
}

/** An offering and its instance type. */
interface OfferedType {
  readonly offering: InstanceOffering;
  readonly type: InstanceType;
}

/** The instances to launch. */
class PlannedLaunches {
  private readonly plansByOffering = new Map<
    string,
    { readonly offering: InstanceOffering; count: number }
  >();

  constructor(private readonly availability: OfferingAvailability) {}

  /** One plan for each offering, in the order in which the offerings were first chosen. */
  get plans(): ScaleOutPlan[] {
    return [...this.plansByOffering.values()];
  }

  /** Plans one more instance for the demand and returns its capacity. Undefined if no offering suits the demand. */
  addInstance(reservation: Reservation): IncomingCapacity | undefined {
    const best = this.findBestOffering(reservation);
    if (!best) return undefined;
    const { offering, type } = best;
    this.incrementCount(offering);
    return {
      ...offering,
      free: createEmptyNodeCapacity(type),
      readyInS: type.bootS + NODE_START_OVERHEAD_S,
      isOccupied: false,
    };
  }

  private incrementCount(offering: InstanceOffering): void {
    const key = formatOfferingKey(offering);
    const plan = this.plansByOffering.get(key) ?? { offering, count: 0 };
    plan.count++;
    this.plansByOffering.set(key, plan);
  }

  private findBestOffering(reservation: Reservation): OfferedType | undefined {
    let best: OfferedType | undefined;
    let bestScore = Infinity;
    for (const type of this.availability.instanceTypes) {
      const tasksPerInstance = countFittingTasks(reservation.demand.spec, createEmptyNodeCapacity(type));
      if (tasksPerInstance === 0) continue;
      const taskCount = Math.min(tasksPerInstance, reservation.remainingTasks);
      for (const offering of this.findUsableOfferings(type, reservation)) {
        const score = scoreOffering(reservation.demand, type, offering.spot, taskCount);
        if (best && !(score < bestScore)) continue;
        best = { offering, type };
        bestScore = score;
      }
    }
    return best;
  }

  private *findUsableOfferings(type: InstanceType, reservation: Reservation): Iterable<InstanceOffering> {
    for (const zone of type.zones) {
      for (const spot of [true, false]) {
        const offering = { type: type.name, zone, spot };
        if (!spot && !reservation.demand.mayLaunchOnDemand) continue;
        if (!reservation.allowsOffering(offering) || this.availability.isUnavailable(offering)) continue;
        yield offering;
      }
    }
  }
}

/**
 * The score of an offering; lower is better. It is the price of the instance, divided by the `taskCount` tasks that
 * would use it, and multiplied by one plus the seconds by which these tasks would miss their deadline.
 */
function scoreOffering(demand: CapacityDemand, type: InstanceType, spot: boolean, taskCount: number): number {
  const completionS = type.bootS + NODE_START_OVERHEAD_S + demand.expectedRunTimeS;
  const delayS = Math.max(0, completionS - demand.timeToDeadlineS);
  return (computeEffectivePrice(demand, type, spot) / taskCount) * (1 + delayS);
}

/**
 * The price from which the score of an offering is computed. For a demand that avoids spot instances, a spot instance
 * counts as a multiple of the on-demand price of its type. Its score is then worse than that of an on-demand instance of
 * the same type, but can be better than that of an on-demand instance of another type.
 */
function computeEffectivePrice(demand: CapacityDemand, type: InstanceType, spot: boolean): number {
  if (!spot) return type.price;
  return demand.avoidsSpot ? type.price * AVOIDED_SPOT_PRICE_RATIO : type.spotPrice;
}
