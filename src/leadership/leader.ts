import type { Logger } from 'pino';
import { Actor } from '../actor.js';
import type { Clock } from '../clock.js';
import { Cloud, type CloudEvent } from '../cloud/cloud.js';
import type { MachineType } from '../cloud/codec.js';
import {
  DEPUTY_FRESH_MS,
  GONE_KEEP_MS,
  GREET_FOR_MS,
  LEAST_CHARGE_MS,
  LOST_START_MS,
  ORDERS_PER_ANSWER,
  ORDER_CALL_MS,
  ORDER_REPEAT_MS,
  PASS_EVERY_MS,
  PASS_REST,
  PASS_SPACING_MS,
  RELAY_FRESH_MS,
  SAVE_LEEWAY_S,
  SPOT_WRITE_MS,
  STARVED_MS,
  UNHEARD_ANSWERS,
} from '../constants.js';
import { encodeOrders, readReport, type ExitCause, type Order, type Report } from '../fleet/codec.js';
import { Health } from '../fleet/health.js';
import { leaseEndMs, worthOf } from '../fleet/lease.js';
import { Ledger, attemptKey, type Attempt, type Node } from '../fleet/ledger.js';
import { NodeRecords, type GroupEnd } from '../fleet/node-records.js';
import { CallError, type HttpCaller, type Respond } from '../http/message.js';
import type { Dependencies } from '../pipeline/dependencies.js';
import type { Job } from '../pipeline/job.js';
import { byRelease, withinGuarantee } from '../placement/order.js';
import { Placer } from '../placement/placer.js';
import { Renter } from '../placement/renter.js';
import { SpotLosses } from '../placement/spot-losses.js';
import type { TeamLimit } from '../placement/rules.js';
import type { Settings } from '../settings.js';
import type { Change } from '../state/client.js';
import type { Mirror } from '../state/mirror.js';
import {
  CATALOG_KEY,
  KEPT,
  LOSSES_KEY,
  decodeKept,
  decodeTypes,
  isJobKey,
  isKeptKey,
} from '../state/records.js';
import type { Writer } from '../state/writer.js';
import { formatJson, type WireInt } from '../wire/json.js';
import type { Term } from './election.js';
import { JobStore, type StoreEnd } from './job-store.js';
import type { Knowledge } from './knowledge.js';
import { stopsOfEnded } from './stops.js';

export interface LeaderDeps {
  settings: Settings;
  term: Term;
  knowledge: Knowledge;
  dependencies: Pick<Dependencies, 'standing'>;
  /** Whether the state service answered our last call. */
  isServed: () => boolean;
  mirror: Mirror;
  writer: Writer;
  caller: HttpCaller;
  workerCaller: HttpCaller;
  clock: Clock;
  log: Logger;
  onFailure: (error: unknown) => void;
  /** Whether no controller of this zone is heard of, though there is one: it may be cut off. */
  zoneSilent: (zone: string) => boolean;
}

type Message =
  /** `via`: the controller at which its worker is; `heldMs`: for this long the answer may be under way through it. */
  | { kind: 'report'; report: Report; respond: Respond; via: string; heldMs: number }
  | { kind: 'changed'; change: Change }
  | { kind: 'cloud'; event: CloudEvent }
  | {
      kind: 'direct';
      node: Node;
      sent: Attempt[];
      status: number;
      body: string;
      failure?: 'unsent' | 'unclear';
    }
  | ({ kind: 'stored' } & StoreEnd)
  | { kind: 'recorded'; end: GroupEnd }
  | { kind: 'fence'; node: Node; leaseEndMs: number; confirmed: boolean }
  | { kind: 'pass' };

const NOT_ANSWERED = { status: 503, body: '{}' };

/**
 * The leader of one term: owns the jobs and the fleet, decides what runs where. It is built from the state service
 * when a term begins and thrown away when it ends.
 */
export class Leader extends Actor<Message> {
  private readonly store: JobStore;
  private readonly records: NodeRecords;
  private readonly health: Health;
  private readonly placer: Placer;
  private readonly renter: Renter;
  private readonly losses: SpotLosses;
  private lossesWrittenMs: number;
  private readonly ledger: Ledger;
  private readonly cloud: Cloud;
  private readonly limits: Map<string, TeamLimit>;
  private types = new Map<string, MachineType>();
  /** Machines recorded by earlier terms, on which tasks may run that we don't know of. */
  private readonly unaccounted = new Set<Node>();
  /** What deputies have registered, per key, and the names of all machines whose leases they keep. */
  private readonly kept = new Map<string, string[]>();
  private keptNames = new Set<string>();
  private readonly fencing = new Set<Node>();
  /** Machines deleted lately, with when. */
  private readonly goneMs = new Map<string, number>();
  private passTimer: (() => void) | undefined;
  private passDueMs = Infinity;
  private lastPassMs = -Infinity;
  private passTookMs = 0;
  private readonly startedMs: number;
  private readonly directBusy = new Set<Node>();
  /** Direct starts without an answer. */
  private readonly lostStarts = new Set<Attempt>();
  private readonly stopSentMs = new Map<Attempt, number>();

  constructor(private readonly deps: LeaderDeps) {
    super(deps.log, deps.onFailure);
    const { settings, clock } = deps;
    this.startedMs = clock.steadyMs();
    this.lossesWrittenMs = this.startedMs;
    this.limits = new Map(settings.teams.map((team) => [team.name, team]));
    this.ledger = new Ledger(settings.leaseS, (uid) => this.store.jobs.get(uid), {
      exited: (attempt, cause) => this.onExited(attempt, cause),
      released: (attempt) => this.onReleased(attempt),
    });
    this.cloud = new Cloud(
      deps.caller,
      settings.cloudAddress,
      settings.cloud.rps,
      clock,
      (event) => this.send({ kind: 'cloud', event }),
      () => deps.term.authority.holds(this.now()),
      deps.log,
      deps.onFailure,
    );
    this.loadTypes(deps.mirror.get(CATALOG_KEY)?.value);
    this.store = new JobStore({
      term: deps.term,
      mirror: deps.mirror,
      writer: deps.writer,
      objectives: settings.objectives,
      txnOps: settings.state.txnOps,
      wallMs: () => clock.wallMs(),
      log: deps.log,
      stored: (end) => this.send({ kind: 'stored', ...end }),
      reread: (key) => this.reread(key),
      cancelled: (job) => {
        for (const attempt of job.bound.values()) this.wantStop(attempt, 0);
      },
    });
    this.health = new Health({
      ledger: this.ledger,
      reportS: settings.reportS,
      startedMs: this.startedMs,
      typeOf: (name) => this.types.get(name),
      jobOf: (uid) => this.store.jobs.get(uid),
      isKept: (node) => this.isKept(node),
      zoneSilent: deps.zoneSilent,
    });
    this.placer = new Placer({
      ledger: this.ledger,
      health: this.health,
      jobs: this.store.jobs,
      limits: this.limits,
      term: deps.term.number,
      types: () => this.types,
      recovered: () => this.recovered,
      wallMs: () => clock.wallMs(),
      stop: (attempt, leewayS) => this.wantStop(attempt, leewayS),
      log: deps.log,
    });
    this.losses = new SpotLosses(deps.mirror.get(LOSSES_KEY)?.value, this.startedMs);
    this.renter = new Renter({
      ledger: this.ledger,
      health: this.health,
      placer: this.placer,
      term: deps.term.number,
      types: () => this.types,
      capacityOf: (type) => this.capacityOf(type),
      useSpot: settings.operator.useSpot,
      losses: this.losses,
      startObjectives: settings.startObjectives,
      arrivals: () => [...this.store.jobs.values()].filter((job) => job.isService && job.isOpen),
      wallMs: () => clock.wallMs(),
      ask: (rental) => this.cloud.send({ kind: 'rent', rental }),
    });
    this.records = new NodeRecords({
      mirror: deps.mirror,
      term: deps.term.number,
      valueBytes: settings.state.valueBytes,
      txnOps: settings.state.txnOps,
      write: (conditions, operations) => this.store.write(conditions, operations),
      written: (end) => this.send({ kind: 'recorded', end }),
    });
    this.loadNodes();
    this.cloud.send({ kind: 'tick' });
    this.passSoon();
    this.log.info({ jobs: this.store.jobs.size, unaccounted: this.unaccounted.size }, 'leader ready');
  }

  override stop(): void {
    super.stop();
    this.cloud.stop();
    this.passTimer?.();
  }

  /** Running tasks per job, for display. */
  runningCounts(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const job of this.store.jobs.values()) {
      if (!job.isOpen) continue;
      let running = 0;
      for (const attempt of job.bound.values())
        if (attempt.state === 'running' || attempt.state === 'saving') running++;
      if (running > 0) counts[job.uid] = running;
    }
    return counts;
  }

  protected receive(message: Message): void {
    switch (message.kind) {
      case 'report':
        return this.onReport(message);
      case 'changed':
        return this.onChanged(message.change);
      case 'cloud':
        return this.onCloud(message.event);
      case 'direct':
        return this.onDirect(message);
      case 'stored':
        this.store.onStored(message);
        return this.passSoon();
      case 'recorded':
        this.records.onWritten(message.end);
        return this.passSoon();
      case 'fence':
        return this.onFence(message);
      case 'pass':
        return this.pass();
    }
  }

  private now(): number {
    return this.deps.clock.steadyMs();
  }

  // --- beginning of a term ---------------------------------------------------------------------------

  private loadTypes(value: unknown): void {
    this.types = new Map(decodeTypes(value).map((type) => [type.name, type]));
  }

  private capacityOf(type: string): Node['capacity'] {
    const found = this.types.get(type);
    return { cpus: found?.cpus ?? 0, accelerators: found?.accelerators ?? 0, memGb: found?.memGb ?? 0 };
  }

  private loadNodes(): void {
    const now = this.now();
    for (const [node, used] of this.records.load(this.ledger, (type) => this.capacityOf(type), now)) {
      if (!used) continue;
      // It may hold tasks: it counts until it reports with our token, is deleted, or its lease has surely run
      // out. Whoever led before us answered it before our term began at the latest.
      // A deputy may have answered it for a moment longer, and an answer may have been under way through a relay.
      node.leaseEndMs = leaseEndMs(
        now + Math.max(DEPUTY_FRESH_MS, RELAY_FRESH_MS),
        this.deps.settings.leaseS,
      );
      this.unaccounted.add(node);
    }
    for (const row of [...this.deps.mirror.startingWith(KEPT)]) {
      // Left of an earlier term: its deputy registers anew, or is gone.
      void this.store.write([{ key: row.key, stamp: row.stamp }], [{ key: row.key, value: undefined }]);
    }
  }

  private get recovered(): boolean {
    return this.unaccounted.size === 0;
  }

  private account(node: Node): void {
    if (this.unaccounted.delete(node) && this.recovered)
      this.log.info({ ms: Math.round(this.now() - this.startedMs) }, 'all machines accounted for');
  }

  // --- jobs ------------------------------------------------------------------------------------------

  /** A deputy keeps the lease of a machine that is cut off from us, or gives it back. */
  private onKept(change: Change): void {
    const record = decodeKept(change.value);
    const before = this.kept.get(change.key) ?? [];
    if (record?.term === this.deps.term.number) this.kept.set(change.key, record.nodes);
    else this.kept.delete(change.key);
    this.keptNames = new Set([...this.kept.values()].flat());
    for (const name of before) {
      const node = this.ledger.nodes.get(name);
      // It may have been answered until just now.
      if (node && !this.keptNames.has(name)) this.ledger.lease(node, this.now());
    }
  }

  private isKept(node: Node): boolean {
    return this.keptNames.has(node.name);
  }

  private onChanged(change: Change): void {
    if (isKeptKey(change.key)) this.onKept(change);
    if (isJobKey(change.key)) {
      if (change.value !== undefined) this.store.take(change.key, change.value, change.stamp);
      this.passSoon();
    }
  }

  private reread(key: string): void {
    this.deps.mirror.sync().then(
      () => {
        const row = this.deps.mirror.get(key);
        if (row) this.send({ kind: 'changed', change: row });
      },
      () => this.passSoon(),
    );
  }

  private onExited(attempt: Attempt, cause: ExitCause): void {
    const job = attempt.job;
    const now = this.now();
    const ranS = Math.round((now - attempt.startedMs) / 1000);
    const task = `${attempt.uid}/${attempt.index}`;
    this.log.debug({ task, node: attempt.node.name, cause, ranS }, 'task exited');
    this.stopSentMs.delete(attempt);
    if (attempt.node.attempts.size === 0) attempt.node.idleSinceMs = now;
    if (!job) return;
    if (cause === 'done' && !job.isService) {
      job.finish(attempt.index);
      if (attempt.startedMs > this.startedMs) job.ran(ranS);
    } else if (cause === 'error') {
      job.fail(attempt.node.name, now);
      attempt.node.failedJobs.add(job.uid);
      this.log.info({ task: `${attempt.uid}/${attempt.index}`, node: attempt.node.name }, 'task failed');
    } else if (cause === 'no_such' || cause === 'full') {
      job.notBeforeMs = Math.max(job.notBeforeMs, now + this.deps.settings.reportS * 1000);
    }
    this.passSoon();
  }

  private onReleased(attempt: Attempt): void {
    if (attempt.state !== 'planned')
      this.log.info({ task: `${attempt.uid}/${attempt.index}`, node: attempt.node.name }, 'task lost');
    this.stopSentMs.delete(attempt);
    this.passSoon();
  }

  private wantStop(attempt: Attempt, leewayS: number): void {
    if (attempt.state === 'exited') return;
    if (attempt.state === 'planned' && attempt.direct === 'none') this.ledger.unplan(attempt);
    else if (!attempt.stop || leewayS < attempt.stop.leewayS) {
      attempt.stop = { leewayS };
      this.ledger.untold.add(attempt.node);
      this.stopSentMs.delete(attempt);
    }
  }

  // --- machines --------------------------------------------------------------------------------------

  private forget(node: Node): void {
    this.ledger.removeNode(node);
    this.account(node);
    this.records.forget(node);
    this.passSoon();
  }

  /**
   * What a report is worth (fleet/lease.ts): only one that shows our token proves that an answer of ours was received,
   * so only from such a report on is anything learned of a machine.
   */
  private onReport({ report, respond, via, heldMs }: Extract<Message, { kind: 'report' }>): void {
    const now = this.now();
    const { term } = this.deps;
    let node = this.ledger.nodes.get(report.node);
    const worth = worthOf(report.token, term.number, {
      gone: this.goneMs.has(report.node),
      current: node?.current ?? false,
    });
    if (node && worth !== 'nothing') node.via = via;
    if (worth === 'greet') return this.greet(node, report, respond, heldMs);
    if (worth === 'nothing') return respond(NOT_ANSWERED);
    if (!node) {
      const { node: name, address, type, zone, spot } = report;
      node = this.ledger.addNode({ name, address, type, zone, spot, capacity: this.capacityOf(type) }, now);
      node.via = via;
    }
    const first = node.reportedMs === -Infinity;
    if (!this.ledger.take(node, report, true, now)) {
      // An old report, delivered late: it is not answered with 200, as its worker must not count on it. Or the
      // worker has begun anew, and its counters with it: its machine then counts as silent, and is replaced.
      return respond(NOT_ANSWERED);
    }
    if (first) {
      this.log.info({ node: node.name, ms: Math.round(now - node.rentedMs) }, 'machine reports');
      node.idleSinceMs = now;
    }
    this.seen(node);
    const orders: Order[] = [];
    for (const [order, attempt] of this.ledger.orders(node, (a) => this.mayStart(a))) {
      if (orders.length >= ORDERS_PER_ANSWER) break;
      if (order.verb === 'run') this.sent(attempt, report.tick, now);
      orders.push(order);
    }
    // Checked last, right before the answer goes out.
    if (!this.mayAnswer()) return respond(NOT_ANSWERED);
    this.ledger.answered(node, this.now() + heldMs);
    respond({ status: 200, body: formatJson(encodeOrders(term.number, orders)) });
  }

  /** Whether we are the only one entitled to answer workers, and know what was cancelled (knowledge.ts). */
  private mayAnswer(): boolean {
    const now = this.now();
    return this.deps.term.authority.holds(now) && this.deps.knowledge.mayAnswer(now);
  }

  /**
   * Shows our token to a worker that does not know it yet, and stops what belongs to jobs that are over: leaders may
   * change faster than workers report. Nothing else is said, as the report may be a copy of long ago.
   */
  private greet(node: Node | undefined, report: Report, respond: Respond, heldMs: number): void {
    const now = this.now();
    if (node) {
      if (node.greetedMs === -Infinity) node.greetedMs = now;
      // Answers do not reach it: its lease must run out for us too, or its tasks would be waited for without end.
      if (now - node.greetedMs > GREET_FOR_MS) return respond(NOT_ANSWERED);
      node.address = report.address;
      if (!node.recorded) this.records.use(node);
      this.passSoon();
    }
    if (!this.mayAnswer()) return respond(NOT_ANSWERED);
    // A machine without record holds no task of ours, so its lease is of no matter.
    if (node) this.ledger.answered(node, this.now() + heldMs);
    const stops = stopsOfEnded(report, this.deps.mirror);
    respond({ status: 200, body: formatJson(encodeOrders(this.deps.term.number, stops)) });
  }

  private seen(node: Node): void {
    if (!node.current) {
      node.current = true;
      this.account(node);
      this.passSoon();
    }
    if (node.idleSinceMs === Infinity && node.attempts.size === 0) node.idleSinceMs = this.now();
    if (node.attempts.size > 0) node.idleSinceMs = Infinity;
    if (!node.recorded) this.records.use(node);
  }

  private sent(attempt: Attempt, tick: WireInt, now: number): void {
    attempt.state = 'sent';
    attempt.sentTick = tick;
    attempt.sentMs = now;
    this.log.debug({ task: `${attempt.uid}/${attempt.index}`, node: attempt.node.name }, 'task start sent');
  }

  private mayStart(attempt: Attempt): boolean {
    const { job, node } = attempt;
    if (!job || !job.isOpen || !job.released || !node.recorded || !node.current || node.returning)
      return false;
    if (job.isDependent && this.deps.dependencies.standing(job.uid) !== 'free') return false;
    if (!this.deps.knowledge.mayStart(this.now(), this.deps.isServed())) return false;
    return this.recovered || !job.inherited;
  }

  /** Sends commands straight to a worker; used where waiting for its next report would cost time. */
  private direct(node: Node, now: number): void {
    if (
      this.directBusy.has(node) ||
      !node.current ||
      node.address === '' ||
      !this.deps.term.authority.holds(now)
    )
      return;
    const orders: Order[] = [];
    const sent: Attempt[] = [];
    // Nothing planned and nothing to stop: the machine is told of again when there is.
    let more = false;
    for (const attempt of node.attempts.values())
      more ||= attempt.state === 'planned' || (attempt.stop !== undefined && attempt.state !== 'exited');
    if (!more) this.ledger.untold.delete(node);
    for (const [order, attempt] of more ? this.ledger.orders(node, (a) => this.mayStart(a)) : []) {
      if (orders.length >= ORDERS_PER_ANSWER) break;
      if (order.verb === 'clear') continue;
      if (order.verb === 'stop') {
        if (now - (this.stopSentMs.get(attempt) ?? -Infinity) < ORDER_REPEAT_MS) continue;
        this.stopSentMs.set(attempt, now);
      } else {
        // After a lost one, only report answers repeat it: which copy an answer speaks of would be unclear.
        if (attempt.direct !== 'none') continue;
        this.sent(attempt, node.tick, now);
        attempt.direct = 'pending';
        sent.push(attempt);
      }
      orders.push(order);
    }
    if (orders.length === 0) return;
    this.directBusy.add(node);
    const body = formatJson(encodeOrders(this.deps.term.number, orders, node.session));
    this.deps.workerCaller.call(node.address, 'POST', '/orders', body, ORDER_CALL_MS).then(
      (r) => this.send({ kind: 'direct', node, sent, status: r.status, body: r.body }),
      (error: unknown) =>
        this.send({
          kind: 'direct',
          node,
          sent,
          status: 0,
          body: '',
          failure: error instanceof CallError ? error.failure : 'unclear',
        }),
    );
  }

  private onDirect({ node, sent, status, body, failure }: Extract<Message, { kind: 'direct' }>): void {
    this.directBusy.delete(node);
    const executed = status === 200;
    const notExecuted = status === 409 || status === 400 || failure === 'unsent';
    for (const attempt of sent) {
      attempt.direct = executed || notExecuted ? 'none' : 'lost';
      if (attempt.direct === 'lost') this.lostStarts.add(attempt);
    }
    if (notExecuted) for (const attempt of sent) if (attempt.state === 'sent') attempt.state = 'planned';
    if (status !== 200 && status !== 409) return;
    if (this.ledger.nodes.get(node.name) !== node) return;
    const report = readReport(body);
    if (report?.token === this.deps.term.number && this.ledger.take(node, report, false, this.now()))
      this.seen(node);
    this.passSoon();
  }

  // --- the cloud -------------------------------------------------------------------------------------

  private onCloud(event: CloudEvent): void {
    const now = this.now();
    switch (event.kind) {
      case 'catalog':
        return this.onCatalog(event.types);
      case 'rented': {
        const { offer } = event.rental;
        this.renter.rented(event.rental, event.names.length, now);
        const capacity = this.capacityOf(offer.type);
        const names = event.names.filter((name) => !this.ledger.nodes.has(name));
        this.records.add(
          names.map((name) => this.ledger.addNode({ name, address: '', ...offer, capacity }, now)),
        );
        this.log.info({ ...offer, names: event.names }, 'machines rented');
        break;
      }
      case 'notRented':
        this.renter.notRented(event.rental, event.reason, now);
        this.log.info({ ...event.rental.offer, reason: event.reason }, 'nothing rented');
        break;
      case 'returned':
        this.log.info({ names: event.names }, 'machines returned');
        for (const name of event.names) {
          const node = this.ledger.nodes.get(name);
          if (node) this.forget(node);
          this.goneMs.set(name, now);
        }
        break;
      case 'listed':
        this.renter.listed = true;
        this.onListed(event, now);
    }
    this.passSoon();
  }

  private onCatalog(types: MachineType[]): void {
    const fixed = types.map((type) => ({ ...type, spotPrice: 0 }));
    const known = [...this.types.values()].map((type) => ({ ...type, spotPrice: 0 }));
    this.types = new Map(types.map((type) => [type.name, type]));
    for (const node of this.ledger.nodes.values()) node.capacity = this.capacityOf(node.type);
    const row = this.deps.mirror.get(CATALOG_KEY);
    if (this.types.size > 0 && known.length === 0)
      this.log.info(
        { types: types.map((type) => `${type.name}: ${type.zones.join(' ')}`) },
        'catalogue read',
      );
    // Spot prices move all the time; the others only need to know what exists.
    if (row && formatJson(fixed) === formatJson(known)) return;
    void this.store.write(
      [{ key: CATALOG_KEY, stamp: row?.stamp ?? 0 }],
      [{ key: CATALOG_KEY, value: types }],
    );
  }

  private onListed({ nodes, askedMs }: Extract<CloudEvent, { kind: 'listed' }>, now: number): void {
    const lagMs = this.deps.settings.cloud.listLagS * 2000 + 1000;
    // Kept far beyond the list's lag: copies of their reports may come late.
    for (const [name, ms] of this.goneMs) if (now - ms > GONE_KEEP_MS) this.goneMs.delete(name);
    for (const listed of nodes) {
      // The list lags: what was deleted a moment ago still stands in it.
      if (this.goneMs.has(listed.name)) continue;
      let node = this.ledger.nodes.get(listed.name);
      if (!node) {
        const { name, address, type, zone, spot } = listed;
        node = this.ledger.addNode({ name, address, type, zone, spot, capacity: this.capacityOf(type) }, now);
        this.log.info({ node: name }, 'unexpected machine');
      }
      if (node.listedMs === -Infinity) node.rentedMs = Math.min(node.rentedMs, now - listed.ageS * 1000);
      node.listedMs = askedMs;
      if (listed.phase === 'failed') this.giveBack(node, 'failed');
    }
    // A machine missing from the list proves nothing about its tasks; deleting it does, and costs nothing.
    for (const node of this.ledger.nodes.values()) {
      const missing = askedMs - Math.max(node.listedMs, node.rentedMs) > lagMs;
      if (missing && this.health.isLost(node, now)) this.giveBack(node, 'not listed');
    }
  }

  private giveBack(node: Node, reason: string): void {
    if (node.returning || !this.deps.term.authority.holds(this.now())) return;
    node.returning = true;
    this.log.info({ node: node.name, reason }, 'returning machine');
    if (node.spot && reason !== 'idle' && node.reportedMs > -Infinity) this.losses.lose(this.now());
    this.cloud.send({ kind: 'giveBack', names: [node.name] });
  }

  // --- the pass --------------------------------------------------------------------------------------

  private passSoon(): void {
    const due = Math.max(
      this.now(),
      this.lastPassMs + Math.max(PASS_SPACING_MS, this.passTookMs * PASS_REST),
    );
    if (due >= this.passDueMs) return;
    this.schedulePass(due);
  }

  private schedulePass(atMs: number): void {
    this.passTimer?.();
    this.passDueMs = atMs;
    this.passTimer = this.deps.clock.after(atMs - this.now(), () => this.send({ kind: 'pass' }));
  }

  private pass(): void {
    const now = this.now();
    this.passDueMs = Infinity;
    // Without authority it hears no machine, and another may lead: what it would take for silent and return runs on.
    if (!this.deps.term.authority.holds(now)) {
      this.schedulePass(now + PASS_EVERY_MS);
      return;
    }
    this.health.look(now);
    this.checkNodes(now);
    const open: Job[] = [];
    for (const job of this.store.jobs.values()) {
      if (this.waits(job)) continue;
      const ended = this.checkJob(job);
      if (!ended && job.isOpen) open.push(job);
    }
    const within = withinGuarantee(open, this.limits);
    const wallMs = this.deps.clock.wallMs();
    const due = new Map(open.map((job) => [job, job.dueMs(wallMs)]));
    open.sort(
      byRelease(
        within,
        (job) => now - job.starvingSinceMs > STARVED_MS,
        (job) => due.get(job)!,
      ),
    );
    const waiting = this.placer.place(open, now);
    for (const job of open) this.store.store(job);
    this.records.flush(now);
    this.countLosses(now);
    this.renter.rent(waiting, now);
    this.placer.preempt(open, waiting, within, now);
    this.returnIdle(now);
    for (const node of this.ledger.untold) this.direct(node, now);
    this.fenceLostStarts(now);
    if (this.health.isDeaf(now)) {
      this.log.info('most machines are not heard of: making way');
      this.deps.onFailure(undefined);
      return;
    }
    this.lastPassMs = now;
    this.passTookMs = this.now() - now;
    const groupsMs = Math.max(this.records.waitMs(now), PASS_SPACING_MS);
    this.schedulePass(Math.min(this.passDueMs, now + Math.min(PASS_EVERY_MS, groupsMs)));
  }

  private countLosses(now: number): void {
    let used = 0;
    for (const node of this.ledger.nodes.values()) if (node.spot && node.current) used++;
    this.losses.used(used, now);
    if (now - this.lossesWrittenMs < SPOT_WRITE_MS) return;
    this.lossesWrittenMs = now;
    const stamp = this.deps.mirror.get(LOSSES_KEY)?.stamp ?? 0;
    void this.store.write([{ key: LOSSES_KEY, stamp }], [{ key: LOSSES_KEY, value: this.losses.record() }]);
  }

  private checkNodes(now: number): void {
    for (const node of this.ledger.nodes.values()) {
      if (now > node.leaseEndMs && node.leaseEndMs !== -Infinity) {
        this.confirmFence(node);
      }
      if (!this.health.isUsable(node, now)) {
        for (const attempt of [...node.attempts.values()]) {
          if (attempt.state === 'planned' && attempt.direct === 'none') this.ledger.unplan(attempt);
        }
        this.drain(node, now);
      }
    }
  }

  /** Before a lease counts as ended, the state service is asked whether a deputy has kept it. */
  private confirmFence(node: Node): void {
    if (this.fencing.has(node) || this.isKept(node)) return;
    this.fencing.add(node);
    const { leaseEndMs } = node;
    this.deps.mirror.sync().then(
      () => this.send({ kind: 'fence', node, leaseEndMs, confirmed: true }),
      () => this.send({ kind: 'fence', node, leaseEndMs, confirmed: false }),
    );
  }

  private onFence({ node, leaseEndMs, confirmed }: Extract<Message, { kind: 'fence' }>): void {
    this.fencing.delete(node);
    if (!confirmed || this.isKept(node) || node.leaseEndMs !== leaseEndMs) return;
    // Nobody answered it for a whole lease: its worker has killed everything.
    if (node.attempts.size > 0) this.log.info({ node: node.name }, 'lease of machine ended');
    this.ledger.fence(node);
    node.leaseEndMs = -Infinity;
    node.greetedMs = -Infinity;
    this.account(node);
    this.passSoon();
  }

  /** A direct start that was lost may be executed as long as the session lasts; a new term ends that. */
  private fenceLostStarts(now: number): void {
    for (const attempt of this.lostStarts) {
      const { node, uid, index } = attempt;
      if (
        node.attempts.get(attemptKey(uid, index, attempt.number)) !== attempt ||
        attempt.state === 'exited'
      ) {
        this.lostStarts.delete(attempt);
        continue;
      }
      const over = attempt.job !== undefined && !attempt.job.isOpen;
      if (!over || now - attempt.sentMs < LOST_START_MS) continue;
      this.log.info({ task: `${uid}/${index}` }, 'late start of an ended job: new term');
      this.deps.onFailure(undefined);
      return;
    }
  }

  /** A machine that the cloud is about to take, or that is faulty: tasks that can save do, replicas move. */
  private drain(node: Node, now: number): void {
    if (this.health.isFaulty(node) && node.attempts.size === 0) return this.giveBack(node, 'faulty');
    const leftS = (node.takenMs - now) / 1000;
    if (leftS === Infinity) return;
    if (node.attempts.size === 0) return this.giveBack(node, 'notice');
    for (const attempt of node.attempts.values()) {
      const spec = attempt.job?.spec;
      if (!spec || attempt.state === 'exited') continue;
      const saves = spec.saveEveryS > 0 && leftS < spec.saveS + this.deps.settings.reportS + 2;
      // What can't end in time is lost anyway: the sooner it begins anew elsewhere, the better.
      const hopeless = spec.saveEveryS === 0 && this.placer.remainingS(attempt, now) > leftS;
      if (attempt.job!.isService || saves || hopeless) this.wantStop(attempt, SAVE_LEEWAY_S);
    }
  }

  /** Whether jobs that it needs are not done yet: then it takes no part in anything. */
  private waits(job: Job): boolean {
    if (!job.isDependent || !job.isOpen) return false;
    const standing = this.deps.dependencies.standing(job.uid);
    if (standing === 'cancelled') this.store.cancel(job);
    if (standing === 'free' && Number.isNaN(job.releasedMs)) {
      job.releasedMs = this.store.releasedMs(job);
      this.log.debug({ job: job.uid }, 'job released');
    }
    return standing === 'waiting';
  }

  /** True when the job is over and nothing of it is left. */
  private checkJob(job: Job): boolean {
    if (job.isOpen) {
      const ageS = (this.deps.clock.wallMs() - job.stored.acceptedMs) / 1000;
      const end = job.settle(ageS);
      if (end === 'acceptable') job.finishedMs = this.deps.clock.wallMs();
      if (end === 'expired') this.log.info({ job: job.uid }, 'pipeline expired, successor adopts its tasks');
      if (end === 'acceptable') for (const attempt of job.bound.values()) this.wantStop(attempt, 0);
      if (job.isOpen) return false;
    }
    if (this.recovered || job.phase === 'done') this.store.store(job);
    const left = job.bound.size > 0 || job.writing || job.needsWrite;
    if (!left) this.store.jobs.delete(job.uid);
    return !left;
  }

  private returnIdle(now: number): void {
    const keepMs = this.deps.settings.operator.idleKeepS * 1000;
    for (const node of this.ledger.nodes.values()) {
      if (node.returning) continue;
      if (this.health.isStuck(node, now)) this.giveBack(node, 'never came up');
      if (this.health.isBooting(node)) continue;
      // In a zone cut off from us, machines go on and turn to the controller there.
      if (this.health.zoneSilent(node.zone)) {
        if (now < node.leaseEndMs) continue;
      } else if (this.health.isReturning(node.zone, now) && this.health.isLost(node, now)) continue;
      if (this.health.isLost(node, now) && this.health.fewLost()) {
        this.giveBack(node, node.unheard >= UNHEARD_ANSWERS ? 'answers do not reach it' : 'silent');
      } else if (
        this.health.isUsable(node, now) &&
        node.attempts.size === 0 &&
        this.ledgerIdle(node, now, keepMs)
      ) {
        this.giveBack(node, 'idle');
      }
    }
  }

  private ledgerIdle(node: Node, now: number, keepMs: number): boolean {
    if (this.renter.isKept(node)) return false;
    return now - node.idleSinceMs > keepMs && now - node.rentedMs > LEAST_CHARGE_MS;
  }
}
