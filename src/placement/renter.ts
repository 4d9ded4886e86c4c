import type { Rental } from '../cloud/cloud.js';
import { offerKey, type MachineType, type Offer } from '../cloud/codec.js';
import { REFUSED_MS, RENT_MAX, SPOT_LOSSES_BORNE, START_EXTRA_S } from '../constants.js';
import type { Health } from '../fleet/health.js';
import type { Ledger, Node, Resources } from '../fleet/ledger.js';
import type { Job } from '../pipeline/job.js';
import type { Placer } from './placer.js';
import { planRentals, type IncomingCapacity, type Demand } from './rent.js';
import { addTo } from './preemption.js';
import { slots } from './rules.js';
import type { SpotLosses } from './spot-losses.js';
import { spareRoom, type Arrival, type StartObjective } from './spare.js';

export interface RenterDeps {
  ledger: Ledger;
  health: Health;
  placer: Placer;
  /** Number of the leader's term. */
  term: number;
  types: () => ReadonlyMap<string, MachineType>;
  capacityOf: (type: string) => Resources;
  useSpot: boolean;
  losses: SpotLosses;
  startObjectives: StartObjective[];
  /** Live jobs, for reckoning spare room. */
  arrivals: () => Arrival[];
  wallMs: () => number;
  ask: (rental: Rental) => void;
}

/** Rents machines for what waits and finds no room. */
export class Renter {
  private readonly rentals = new Map<string, Rental>();
  private readonly refusedUntil = new Map<string, number>();
  private rentalSeq = 0;
  private kept: ReadonlySet<Node> = new Set();
  /** Machines that an earlier leader rented show in the list; without it they would be rented twice. */
  listed = false;

  constructor(private readonly deps: RenterDeps) {}

  /** The cloud has answered: fewer than asked for means that there are no more for now. */
  rented({ name, offer, count }: Rental, got: number, now: number): void {
    this.rentals.delete(name);
    if (got < count) this.refusedUntil.set(offerKey(offer), now + REFUSED_MS);
  }

  notRented({ name, offer }: Rental, reason: 'no capacity' | 'trouble', now: number): void {
    this.rentals.delete(name);
    this.refusedUntil.set(offerKey(offer), now + (reason === 'no capacity' ? REFUSED_MS : REFUSED_MS / 4));
  }

  /** A rental of an earlier term that is still being carried out: its machines will come. */
  adopt(rental: Rental): void {
    this.rentals.set(rental.name, rental);
  }

  rent(waiting: Job[], now: number): void {
    if (this.deps.types().size === 0 || !this.listed) return;
    const demands: Demand[] = [];
    const promised = new Map<string, Resources>();
    for (const job of waiting) {
      const leftS = this.deps.placer.leftS(job);
      this.considerSpot(job, now);
      // What is rented for one job of a team counts against the team's limit for its next.
      const planned = promised.get(job.spec.team) ?? { cpus: 0, accelerators: 0, memGb: 0 };
      const count = Math.min(job.pending, this.deps.placer.teamRoomOf(job, planned));
      planned.cpus += count * job.spec.cpus;
      planned.accelerators += count * job.spec.accelerators;
      promised.set(job.spec.team, planned);
      if (count > 0)
        demands.push({
          spec: job.spec,
          expectedS: job.expectedS,
          count,
          zones: job.zones,
          ordinary: job.mayRentOrdinary,
          shunsSpot: job.shunsSpot,
          waitedS: (now - job.waitingSinceMs) / 1000,
          leftS,
          startLeftS: this.startLeftS(job),
        });
    }
    const types = [...this.deps.types().values()];
    const spares = spareRoom(this.deps.startObjectives, this.deps.arrivals(), types, this.deps.wallMs());
    if (demands.length === 0 && spares.length === 0) return;
    const market = { types, refused: (offer: Offer) => this.isRefused(offer, now) };
    const kept = spares.map(({ spec, count }): Demand => ({
      spec,
      expectedS: 0,
      count,
      zones: new Map(),
      ordinary: true,
      shunsSpot: false,
      waitedS: 0,
      leftS: Infinity,
      startLeftS: Infinity,
    }));
    const ready = spares.length > 0 ? this.ready(now) : [];
    const result = planRentals(demands, this.coming(now), market, kept, ready);
    this.kept = result.kept;
    const { plans } = result;
    for (const plan of plans) {
      for (let left = plan.count; left > 0; left -= RENT_MAX) {
        const name = `r-${this.deps.term}-${++this.rentalSeq}`;
        const rental = { name, offer: plan.offer, count: Math.min(left, RENT_MAX) };
        this.rentals.set(name, rental);
        this.deps.ask(rental);
      }
    }
  }

  private startLeftS(job: Job): number {
    const objective = this.deps.startObjectives.find(({ cohort }) => cohort === job.spec.cohort);
    if (!objective) return Infinity;
    const leftS = objective.withinS - (this.deps.wallMs() - job.queuedMs) / 1000;
    return leftS > 0 ? leftS : Infinity;
  }

  /** Room on ordinary machines that a live service could have at once: free, or of what it may stop. */
  private ready(now: number): IncomingCapacity[] {
    const ready: IncomingCapacity[] = [];
    for (const node of this.deps.ledger.nodes.values()) {
      if (node.spot || !node.recorded || !this.deps.health.isUsable(node, now)) continue;
      const free = { ...this.deps.ledger.free(node) };
      for (const a of node.attempts.values())
        if (a.state !== 'exited' && a.job && a.job.rank !== 'prod') addTo(free, a.size, 1);
      const { type, zone, spot } = node;
      ready.push({ type, zone, spot, free, readyS: 0, busy: false, node });
    }
    // The fullest first, so that idle machines are kept only for what fits nowhere else.
    return ready.sort((a, b) => a.free.cpus - b.free.cpus);
  }

  /** Whether the machine is kept for spare room. */
  isKept(node: Node): boolean {
    return this.kept.has(node);
  }

  /** The preferred member fails when no spot machine can be had. */
  private considerSpot(job: Job, now: number): void {
    if (!job.isOpen) return;
    job.release();
    job.shunsSpot = job.spec.spot && this.lossCosts(job);
    if (!job.prefersSpot) return;
    // It fails as well when losses must be expected that would make the job late.
    if (job.shunsSpot) return job.failSpot();
    const offers = [...this.deps.types().values()]
      .filter((type) => slots(job.spec, type) > 0)
      .flatMap((type) => type.zones.map((zone) => ({ type: type.name, zone, spot: true })));
    // An ordinary machine of the same type boots no sooner: only its being there at all makes it better.
    const available = offers.some((offer) => !this.isRefused(offer, now));
    if (!available) job.failSpot();
  }

  /** Whether spot machines are lost so often that a job with a deadline, of which all tasks must end, had better not. */
  private lossCosts(job: Job): boolean {
    return this.deps.placer.leftS(job) < Infinity && this.deps.losses.perHour() > SPOT_LOSSES_BORNE;
  }

  private isRefused(offer: Offer, now: number): boolean {
    if (offer.spot && !this.deps.useSpot) return true;
    return (this.refusedUntil.get(offerKey(offer)) ?? -Infinity) > now;
  }

  /** Room on its way: machines that boot, and rentals without an answer yet. */
  private coming(now: number): IncomingCapacity[] {
    const coming: IncomingCapacity[] = [];
    for (const node of this.deps.ledger.nodes.values()) {
      if (node.returning || this.deps.health.isStuck(node, now)) continue;
      const { type, zone, spot, capacity } = node;
      const arriving = node.introducedMs > -Infinity && (!node.recorded || !node.current);
      if (this.deps.health.isBooting(node) || arriving) {
        const bootS = this.deps.types().get(type)?.bootS ?? 0;
        const readyS = arriving ? 1 : Math.max(1, bootS - (now - node.rentedMs) / 1000) + START_EXTRA_S;
        coming.push({ type, zone, spot, free: capacity, readyS, busy: false });
      } else if (this.deps.health.isUsable(node, now)) {
        for (const attempt of node.attempts.values()) {
          const readyS = this.deps.placer.remainingS(attempt, now);
          if (readyS < Infinity) coming.push({ type, zone, spot, free: attempt.size, readyS, busy: true });
        }
      }
    }
    for (const { offer, count } of this.rentals.values()) {
      const readyS = (this.deps.types().get(offer.type)?.bootS ?? 0) + START_EXTRA_S;
      for (let i = 0; i < count; i++)
        coming.push({ ...offer, free: this.deps.capacityOf(offer.type), readyS, busy: false });
    }
    return coming;
  }
}
