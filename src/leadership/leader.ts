import type { Logger } from 'pino';
import { Actor, type Clock } from '@pumicehinge/runtime';
import type { Duties } from '@pumicehinge/duties';
import { Cloud, leaderRates, type CloudEvent } from '../cloud/cloud.js';
import { DirectOrders, type FleetOrders } from '../cloud/fleet-orders.js';
import { DelegatedOrders } from '../duties/delegated-orders.js';
import {
  FLEET_REVIEW_REST,
  FLEET_REVIEW_SPACING_MS,
  PASS_EVERY_MS,
  PASS_REST,
  PASS_SPACING_MS,
} from '../constants.js';
import type { Offer } from '../cloud/codec.js';
import { Health } from '../fleet/health.js';
import { Ledger } from '../fleet/ledger.js';
import { NodeRecords, type GroupEnd } from '../fleet/node-records.js';
import type { HttpCaller } from '../http/message.js';
import type { Dependencies } from '../pipeline/dependencies.js';
import { PacedTask } from '../paced-task.js';
import { Placer } from '../placement/placer.js';
import { Renter } from '../placement/renter.js';
import { SpotLosses } from '../placement/spot-losses.js';
import type { TeamLimit } from '../placement/rules.js';
import type { Settings } from '../settings.js';
import type { Change } from '../state/client.js';
import type { Mirror } from '../state/mirror.js';
import { LOSSES_KEY, isJobKey, isKeptKey } from '../state/records.js';
import type { Writer } from '../state/writer.js';
import { Catalogue } from './catalogue.js';
import type { Term } from './election.js';
import { FleetUpkeep } from './fleet-upkeep.js';
import { JobStore, type StoreEnd } from './job-store.js';
import type { Knowledge } from './knowledge.js';
import { Recovery, type LeaseCheckEnd } from './recovery.js';
import { SchedulingPass } from './scheduling-pass.js';
import { ReportIntake, type ReceivedReport } from './report-intake.js';
import { TaskLifecycle } from './task-lifecycle.js';
import { WorkerCommands, type CommandCallEnd } from './worker-commands.js';

/** What a leader needs of its controller. */
export interface LeaderDeps {
  settings: Settings;
  term: Term;
  knowledge: Knowledge;
  dependencies: Pick<Dependencies, 'statusOf'>;
  /** Whether the state service answered our last call. */
  isServed: () => boolean;
  mirror: Mirror;
  writer: Writer;
  caller: HttpCaller;
  workerCaller: HttpCaller;
  clock: Clock;
  log: Logger;
  /** Whose holders rent and give back machines for this leader; undefined: it calls the cloud itself. */
  duties: Duties | undefined;
  onFailure: (error: unknown) => void;
  /** Whether no controller of this zone is heard of, though there is one: it may be cut off. */
  zoneSilent: (zone: string) => boolean;
}

type Message =
  | ({ kind: 'report' } & ReceivedReport)
  | { kind: 'changed'; change: Change }
  | { kind: 'cloud'; event: CloudEvent }
  | { kind: 'commanded'; end: CommandCallEnd }
  | ({ kind: 'stored' } & StoreEnd)
  | { kind: 'recorded'; end: GroupEnd }
  | { kind: 'leaseChecked'; end: LeaseCheckEnd }
  | { kind: 'pass' };

/**
 * The leader of one term: owns the jobs and the fleet, decides what runs where. It is built from the state service
 * when a term begins and thrown away when it ends. It wires its parts and runs the scheduling pass; all of them share
 * its mailbox, so that nothing happens at the same time.
 */
export class Leader extends Actor<Message> {
  private readonly store: JobStore;
  private readonly catalogue: Catalogue;
  private readonly ledger: Ledger;
  private readonly records: NodeRecords;
  private readonly health: Health;
  private readonly placer: Placer;
  private readonly renter: Renter;
  private readonly cloud: Cloud;
  private readonly orders: FleetOrders;
  private readonly commands: WorkerCommands;
  private readonly recovery: Recovery;
  private readonly reports: ReportIntake;
  private readonly upkeep: FleetUpkeep;
  private readonly limits: Map<string, TeamLimit>;
  private readonly startedMs: number;
  private readonly tasks: TaskLifecycle;
  private readonly scheduling: SchedulingPass;
  private readonly pass: PacedTask;
  private readonly review: PacedTask;

  constructor(private readonly deps: LeaderDeps) {
    super(deps.log, deps.onFailure);
    const { settings, clock, term, mirror, log } = deps;
    const nowMs = (): number => clock.steadyMs();
    const changed = (): void => this.pass.soon();
    this.startedMs = nowMs();
    this.pass = new PacedTask(clock, { spacingMs: PASS_SPACING_MS, rest: PASS_REST }, () =>
      this.send({ kind: 'pass' }),
    );
    // Only ever run in a pass, which comes at least once a second.
    this.review = new PacedTask(
      clock,
      { spacingMs: FLEET_REVIEW_SPACING_MS, rest: FLEET_REVIEW_REST },
      () => undefined,
    );
    this.limits = new Map(settings.teams.map((team) => [team.name, team]));
    this.ledger = new Ledger(settings.leaseS, (uid) => this.store.jobs.get(uid), {
      exited: (attempt, cause) => this.tasks.exited(attempt, cause),
      released: (attempt) => this.tasks.released(attempt),
    });
    this.cloud = this.createCloud();
    this.orders = this.createOrders();
    this.store = this.createStore();
    const write: JobStore['write'] = (conditions, operations) => this.store.write(conditions, operations);
    this.catalogue = new Catalogue({ mirror, write, log });
    const capacityOf = (type: string) => this.catalogue.capacityOf(type);
    this.commands = new WorkerCommands({
      term,
      ledger: this.ledger,
      caller: deps.workerCaller,
      nowMs,
      log,
      mayStart: (attempt) => this.tasks.mayStart(attempt),
      callEnded: (end) => this.send({ kind: 'commanded', end }),
      answered: (node, report) => {
        this.reports.takeCommandAnswer(node, report);
        changed();
      },
    });
    this.recovery = new Recovery({
      term: term.number,
      leaseS: settings.leaseS,
      ledger: this.ledger,
      mirror,
      write,
      nowMs,
      log,
      leaseChecked: (end) => this.send({ kind: 'leaseChecked', end }),
      changed,
    });
    this.tasks = new TaskLifecycle({
      commands: this.commands,
      recovery: this.recovery,
      dependencies: deps.dependencies,
      knowledge: deps.knowledge,
      isServed: deps.isServed,
      nowMs,
      startedMs: this.startedMs,
      reportS: settings.reportS,
      log,
      changed,
    });
    this.health = new Health({
      ledger: this.ledger,
      reportS: settings.reportS,
      startedMs: this.startedMs,
      typeOf: (name) => this.catalogue.types.get(name),
      jobOf: (uid) => this.store.jobs.get(uid),
      isKept: (node) => this.recovery.isKept(node),
      zoneSilent: deps.zoneSilent,
    });
    this.placer = this.createPlacer();
    const losses = new SpotLosses(mirror.get(LOSSES_KEY)?.value, this.startedMs);
    this.renter = this.createRenter(losses);
    this.records = new NodeRecords({
      mirror,
      term: term.number,
      valueBytes: settings.state.valueBytes,
      txnOps: settings.state.txnOps,
      write,
      written: (end) => this.send({ kind: 'recorded', end }),
    });
    this.upkeep = new FleetUpkeep({
      settings,
      term,
      ledger: this.ledger,
      health: this.health,
      recovery: this.recovery,
      records: this.records,
      commands: this.commands,
      orders: this.orders,
      mirror,
      write,
      placer: this.placer,
      renter: this.renter,
      losses,
      capacityOf,
      nowMs,
      log,
    });
    this.reports = new ReportIntake({
      term,
      knowledge: deps.knowledge,
      ledger: this.ledger,
      mirror,
      records: this.records,
      commands: this.commands,
      nowMs,
      log,
      capacityOf,
      isGone: (name) => this.upkeep.isGone(name),
      account: (node) => this.recovery.account(node),
      changed,
    });
    this.scheduling = new SchedulingPass({
      store: this.store,
      dependencies: deps.dependencies,
      recovery: this.recovery,
      records: this.records,
      commands: this.commands,
      placer: this.placer,
      renter: this.renter,
      limits: this.limits,
      clock,
      log,
    });
    this.recovery.load(this.records, capacityOf);
    this.inheritOrders();
    this.cloud.send({ kind: 'tick' });
    this.pass.soon();
    log.info({ jobs: this.store.jobs.size, unaccounted: this.recovery.unaccountedCount }, 'leader ready');
  }

  private createCloud(): Cloud {
    const { deps } = this;
    return new Cloud(
      deps.caller,
      deps.settings.cloudAddress,
      leaderRates(deps.settings.cloud.rps, deps.duties !== undefined),
      deps.clock,
      (event) => this.send({ kind: 'cloud', event }),
      () => deps.term.authority.holds(this.now()),
      deps.log,
      deps.onFailure,
    );
  }

  private createOrders(): FleetOrders {
    const { duties, term, settings, onFailure } = this.deps;
    if (!duties) return new DirectOrders(this.cloud);
    const tell = (event: CloudEvent): void => this.send({ kind: 'cloud', event });
    return new DelegatedOrders(duties, term, settings.state.valueBytes, tell, onFailure);
  }

  /** What earlier terms have irrevocably begun stands before anything is decided anew. */
  private inheritOrders(): void {
    const now = this.now();
    const { renting, rented, leaving, gone } = this.orders.inherited();
    this.upkeep.inherit(leaving, gone, now);
    for (const { names, offer } of rented) this.addRented(names, offer, now);
    for (const rental of renting) this.renter.adopt(rental);
  }

  private createStore(): JobStore {
    const { settings, term, mirror, writer, clock, log } = this.deps;
    return new JobStore({
      term,
      mirror,
      writer,
      objectives: settings.objectives,
      txnOps: settings.state.txnOps,
      wallMs: () => clock.wallMs(),
      log,
      stored: (end) => this.send({ kind: 'stored', ...end }),
      reread: (key) => this.reread(key),
      cancelled: (job) => {
        for (const attempt of job.bound.values()) this.commands.stop(attempt, 0);
      },
    });
  }

  private createPlacer(): Placer {
    const { term, clock, log } = this.deps;
    return new Placer({
      ledger: this.ledger,
      health: this.health,
      jobs: this.store.jobs,
      limits: this.limits,
      term: term.number,
      types: () => this.catalogue.types,
      recovered: () => this.recovery.isComplete,
      wallMs: () => clock.wallMs(),
      stop: (attempt, leewayS) => this.commands.stop(attempt, leewayS),
      log,
    });
  }

  private createRenter(losses: SpotLosses): Renter {
    const { settings, term, clock } = this.deps;
    return new Renter({
      ledger: this.ledger,
      health: this.health,
      placer: this.placer,
      term: term.number,
      types: () => this.catalogue.types,
      capacityOf: (type) => this.catalogue.capacityOf(type),
      useSpot: settings.operator.useSpot,
      losses,
      startObjectives: settings.startObjectives,
      arrivals: () => [...this.store.jobs.values()].filter((job) => job.isService && job.isOpen),
      wallMs: () => clock.wallMs(),
      ask: (rental) => this.orders.rent(rental),
    });
  }

  override stop(): void {
    super.stop();
    this.cloud.stop();
    this.orders.stop();
    this.pass.stop();
  }

  /** Running tasks per job, for display. */
  runningCounts(): Record<string, number> {
    return this.store.runningCounts();
  }

  protected receive(message: Message): void {
    switch (message.kind) {
      case 'report':
        return this.reports.take(message);
      case 'changed':
        return this.onChanged(message.change);
      case 'cloud':
        return this.onCloud(message.event);
      case 'commanded':
        return this.commands.onCallEnded(message.end);
      case 'stored':
        this.store.onStored(message);
        return this.pass.soon();
      case 'recorded':
        this.records.onWritten(message.end);
        return this.pass.soon();
      case 'leaseChecked':
        return this.recovery.onLeaseChecked(message.end);
      case 'pass':
        return this.pass.run((now) => this.runPass(now));
    }
  }

  private now(): number {
    return this.deps.clock.steadyMs();
  }

  private onChanged(change: Change): void {
    if (isKeptKey(change.key)) this.recovery.onRegistration(change);
    if (isJobKey(change.key)) {
      if (change.value !== undefined) this.store.take(change.key, change.value, change.stamp);
      this.pass.soon();
    }
  }

  private reread(key: string): void {
    this.deps.mirror.sync().then(
      () => {
        const row = this.deps.mirror.get(key);
        if (row) this.send({ kind: 'changed', change: row });
      },
      () => this.pass.soon(),
    );
  }

  private onCloud(event: CloudEvent): void {
    const now = this.now();
    switch (event.kind) {
      case 'catalog':
        this.catalogue.update(event.types);
        for (const node of this.ledger.nodes.values())
          this.ledger.setCapacity(node, this.catalogue.capacityOf(node.type));
        return;
      case 'rented':
        this.onRented(event, now);
        break;
      case 'notRented':
        this.renter.notRented(event.rental, event.reason, now);
        this.log.info({ ...event.rental.offer, reason: event.reason }, 'nothing rented');
        break;
      case 'returned':
        this.upkeep.onReturned(event.names, now);
        break;
      case 'listed':
        this.renter.listed = true;
        this.upkeep.onListed(event, now);
    }
    this.pass.soon();
  }

  private onRented({ rental, names }: Extract<CloudEvent, { kind: 'rented' }>, now: number): void {
    const { offer } = rental;
    this.renter.rented(rental, names.length, now);
    this.addRented(names, offer, now);
    this.log.info({ ...offer, names }, 'machines rented');
  }

  private addRented(names: string[], offer: Offer, now: number): void {
    const capacity = this.catalogue.capacityOf(offer.type);
    const unknown = names.filter((name) => !this.ledger.nodes.has(name) && !this.upkeep.isGone(name));
    this.records.add(
      unknown.map((name) => this.ledger.addNode({ name, address: '', ...offer, capacity }, now)),
    );
  }

  /** One round of decisions: reviews the fleet if that is due, then schedules and sends commands. */
  private runPass(now: number): void {
    // Without authority it hears no machine, and another may lead: what it would take for silent and return runs on.
    if (!this.deps.term.authority.holds(now)) {
      this.pass.atLatest(now + PASS_EVERY_MS);
      return;
    }
    if (this.review.isDue(now)) this.review.run((startedMs) => this.reviewFleet(startedMs));
    this.scheduling.run(now);
    this.commands.sendAll(now);
    if (this.commands.needsNewTerm(now) || this.placer.needsNewTerm) this.deps.onFailure(undefined);
    if (this.isStopped) return;
    const groupsMs = Math.max(this.records.waitMs(now), PASS_SPACING_MS);
    this.pass.atLatest(now + Math.min(PASS_EVERY_MS, groupsMs));
  }

  /** Looks at each machine: silence, notices and leases move over seconds, and passes come several times a second. */
  private reviewFleet(now: number): void {
    this.health.look(now);
    this.upkeep.checkNodes(now);
    this.upkeep.countSpotUse(now);
    this.upkeep.returnUnused(now);
    if (!this.health.isDeaf(now)) return;
    this.log.info('most machines are not heard of: making way');
    this.deps.onFailure(undefined);
  }
}
