import { pino } from 'pino';
import {
  Duties,
  DUTIES,
  ORDERS,
  decodeOrder,
  type Order,
  type OrderBook,
  type OrderEvent,
} from '@pumicehinge/duties';
import type { Clock } from '@pumicehinge/runtime';
import { ProcessClock, SimClock } from '@pumicehinge/runtime/simulated-clock';
import { CloudCalls } from '../../src/duties/cloud-actions.js';
import { ControllerDutyStore } from '../../src/duties/duty-store.js';
import { leaderView } from '../../src/duties/leader-view.js';
import { CallError, type HttpCaller, type HttpResponse } from '../../src/http/message.js';
import { SimCloud } from '../../src/simulation/cloud.js';
import { DutyLog, withoutFences } from '../../src/simulation/duty-log.js';
import type { SimHandler } from '../../src/simulation/network.js';
import { SimStateService } from '../../src/simulation/state-service.js';
import type { SimWorker } from '../../src/simulation/workers.js';
import { StateClient } from '../../src/state/client.js';
import { Mirror } from '../../src/state/mirror.js';
import { encodeLeader, LEADER_KEY, PREFIX } from '../../src/state/records.js';
import { Writer } from '../../src/state/writer.js';

const OFFER = { type: 'm4', zone: 'east', spot: false };
const LEADER_LOOK_MS = 500;
const LIMITS = { rps: 1_000, writesPerS: 1_000, txnOps: 12 };
const silent = pino({ level: 'silent' });

/** What happens to one message: when it arrives, when its answer is back, and whether that is lost. */
export interface Fate {
  thereMs: number;
  backMs: number;
  answerLost: boolean;
}

export type Fates = () => Fate;

export const PROMPT: Fates = () => ({ thereMs: 5, backMs: 5, answerLost: false });

/** One process: its clock, which it can't see standing still, and what reaches it meanwhile. */
class ModelProcess {
  readonly clock: ProcessClock;
  private paused = false;
  private readonly waiting: (() => void)[] = [];
  /** Added to what its steady clock shows. */
  clockErrorMs = 0;

  constructor(base: SimClock) {
    this.clock = new ProcessClock(base, (run) => this.run(run));
  }

  /** The clock as the process sees it; the time of day plays no part, however wrong it is. */
  get seenClock(): Clock {
    return {
      steadyMs: () => this.clock.steadyMs() + this.clockErrorMs,
      wallMs: () => this.clock.wallMs() + this.clockErrorMs * 1_000,
      after: (ms, run) => this.clock.after(ms, run),
    };
  }

  /** Runs at once, or when the process goes on. */
  run(action: () => void): void {
    if (this.paused) this.waiting.push(action);
    else if (this.clock.isAlive) action();
  }

  pause(): void {
    this.paused = true;
  }

  resume(): void {
    this.paused = false;
    for (const action of this.waiting.splice(0)) this.run(action);
  }
}

/** A leader that keeps as many machines as it is told to, and takes each one that it knows for usable. */
class ModelLeader {
  readonly usable: Set<string>;
  /** Machines on their way, by the rental's name. */
  private readonly renting = new Map<string, number>();
  /** Machines on which nothing may be placed any more: the end of their rental may be told after that. */
  private readonly over: Set<string>;
  private readonly book: OrderBook;
  private rentals = 0;

  constructor(
    private readonly term: number,
    stamp: number,
    private readonly process: ModelProcess,
    duties: Duties,
    machines: Iterable<string>,
    private readonly wanted: () => number,
  ) {
    const fence = { key: LEADER_KEY, stamp };
    const events = (event: OrderEvent): void => this.take(event);
    this.book = duties.openBook({ term, fence, valueBytes: 8192, events }, () => undefined);
    const { renting, leaving, gone } = this.book.inherited();
    this.over = new Set([...leaving, ...gone]);
    this.usable = new Set([...machines].filter((name) => !this.over.has(name)));
    for (const { name, count } of renting) this.renting.set(name, count);
    this.look();
  }

  private look(): void {
    const coming = [...this.renting.values()].reduce((sum, count) => sum + count, 0);
    const missing = this.wanted() - this.usable.size - coming;
    if (missing > 0) {
      const name = `r-${this.term}-${++this.rentals}`;
      const count = Math.min(2, missing);
      this.renting.set(name, count);
      this.book.send({ kind: 'rent', name, offer: OFFER, count });
    }
    for (const name of [...this.usable].slice(0, Math.max(0, this.usable.size - this.wanted()))) {
      this.usable.delete(name);
      this.over.add(name);
      const duty = Number(name.slice('vm-'.length)) % 2 ? 'return' : 'reclaim';
      this.book.send({ kind: 'giveBack', duty, names: [name] });
    }
    this.process.clock.after(LEADER_LOOK_MS, () => this.look());
  }

  private take(event: OrderEvent): void {
    if (event.kind === 'givenBack') return;
    this.renting.delete(event.name);
    if (event.kind === 'rented')
      for (const name of event.names) if (!this.over.has(name)) this.usable.add(name);
  }
}

interface ModelController {
  process: ModelProcess;
  mirror: Mirror;
  duties: Duties;
}

/** Several controllers with their duties, against the stand-ins of the state service and the cloud, on simulated time. */
export class ModelCluster {
  readonly clock = new SimClock();
  readonly state: SimStateService;
  readonly cloud: SimCloud;
  readonly log: DutyLog;
  /** Members that the cloud does not answer. */
  readonly cutFromCloud = new Set<string>();
  /** Deletions of a machine that the leader of that moment took for usable. */
  readonly usedWhenDeleted: string[] = [];
  /** Whether the state service compares what the duties keep. */
  fenced = true;
  wanted = 4;
  /** Called whenever a process looks who leads; may throw, as a fault of the program would. */
  onLeaderView: (member: string) => void = () => undefined;
  private readonly handlers = new Map<string, SimHandler>();
  private readonly controllers = new Map<string, ModelController>();
  private leading: { leader: ModelLeader; term: number } | undefined;

  constructor(
    readonly members: readonly string[],
    private readonly random: () => number,
    public fates: Fates,
  ) {
    this.state = new SimStateService(this.clock, random);
    const types = [{ sku: 'm4', cpus: 4, memGb: 16, bootS: 1, price: 1 }];
    const noWorker = { kill: () => undefined } as unknown as SimWorker;
    this.cloud = new SimCloud(this.clock, types, ['east'], Infinity, () => noWorker);
    this.log = new DutyLog(this.state, this.cloud, () => this.clock.steadyMs());
    this.handlers.set(
      'state:1',
      this.log.wrap('state', (from, method, target, body) =>
        this.state.handle(from, method, target, this.fenced || !body ? body : withoutFences(body)),
      ),
    );
    this.handlers.set(
      'cloud:1',
      this.log.wrap('cloud', (...request) => this.noteDeletions(() => this.cloud.handle(...request))),
    );
    for (const member of members) this.start(member);
  }

  start(member: string): void {
    const process = new ModelProcess(this.clock);
    const clock = process.seenClock;
    const caller: HttpCaller = {
      call: (address, method, target, body, timeoutMs) =>
        this.call(member, process, address, method, target, body, timeoutMs),
    };
    const client = new StateClient(caller, 'state:1', clock, LIMITS, 1);
    client.setLeading(true);
    const mirror = new Mirror(client, PREFIX, clock, silent);
    const duties = new Duties({
      member,
      store: new ControllerDutyStore(mirror, new Writer(client, mirror, clock, silent), client),
      cloud: new CloudCalls(caller, 'cloud:1'),
      leader: () => {
        this.onLeaderView(member);
        return leaderView(mirror);
      },
      removable: () => [],
      txnOps: LIMITS.txnOps,
      cloudRps: { rent: 4, return: 4, reclaim: 4 },
      ...{ clock, random: this.random, log: silent },
    });
    this.controllers.set(member, { process, mirror, duties });
    void mirror.run();
    duties.start();
  }

  processOf(member: string): ModelProcess {
    return this.controllers.get(member)!.process;
  }

  dutiesOf(member: string): Duties {
    return this.controllers.get(member)!.duties;
  }

  orders(): Order[] {
    return this.state
      .keys(ORDERS)
      .map((key) => decodeOrder(key, this.state.peek(key)))
      .filter((order) => order !== undefined);
  }

  /** Revision of a key. */
  revision(key: string): number {
    return this.state.stampOf(key);
  }

  /** Changes the state service without anybody's leave. */
  async put(key: string, value: unknown): Promise<boolean> {
    const body = JSON.stringify({ apply: [{ put: key, v: value }] });
    return (await this.state.handle('test', 'POST', '/multi', body))?.status === 200;
  }

  crash(member: string, backMs: number): void {
    if (!this.processOf(member).clock.isAlive) return;
    this.processOf(member).clock.kill();
    this.clock.after(backMs, () => this.start(member));
  }

  pause(member: string, forMs: number): void {
    const process = this.processOf(member);
    process.pause();
    this.clock.after(forMs, () => process.resume());
  }

  /** The controller leads from now on, with a higher term. */
  async elect(member: string, delegates = true): Promise<void> {
    const { process, mirror, duties } = this.controllers.get(member)!;
    const term = this.term + 1;
    if (!(await this.put(LEADER_KEY, encodeLeader({ member, term, delegates })))) return;
    this.leading = undefined;
    if (!delegates) return;
    for (let read = false; !read;)
      try {
        await mirror.sync();
        read = Number((mirror.get(LEADER_KEY)?.value as { term: number } | undefined)?.term) >= term;
      } catch {
        await new Promise<void>((resolve) => process.clock.after(300, resolve));
      }
    if (this.term !== term || !process.clock.isAlive) return;
    const { stamp } = mirror.get(LEADER_KEY)!;
    const machines = this.cloud.hosts.keys();
    this.leading = {
      leader: new ModelLeader(term, Number(stamp), process, duties, machines, () => this.wanted),
      term,
    };
  }

  get term(): number {
    return (this.state.peek(LEADER_KEY) as { term: number } | undefined)?.term ?? 0;
  }

  /** What is wrong by what the stand-ins saw; none of the code under test is asked. */
  violations(): string[] {
    const uncovered = this.log.actions.filter(({ result, isCovered }) => result === 'effect' && !isCovered);
    return [
      ...this.log
        .stale()
        .accepted.map(({ sender, duty, subject }) => `accepted from ${sender}: ${duty} ${subject}`),
      ...uncovered.map(({ sender, duty, subject }) => `not on record: ${sender} ${duty} ${subject}`),
      ...this.log.faults,
      ...this.usedWhenDeleted.map((name) => `${name} was deleted while the leader took it for usable`),
    ];
  }

  /** What must have happened some time after the last trouble. */
  unfinished(): string[] {
    const isOpen = ({ state, id }: Order): boolean =>
      state === 'intended' || (state === 'ordered' && id.term === this.term);
    const missing = this.cloud.hosts.size < this.wanted;
    return [
      ...DUTIES.filter((duty) => this.log.holderOf(duty) === undefined).map((duty) => `nobody holds ${duty}`),
      ...this.orders()
        .filter(isOpen)
        .map(({ duty, id }) => `${duty} order ${id.term}-${id.sequence} is still open`),
      ...(missing ? [`${this.cloud.hosts.size} machines of ${this.wanted}`] : []),
    ];
  }

  private async noteDeletions(execute: () => Promise<HttpResponse>): Promise<HttpResponse> {
    const before = [...this.cloud.hosts.keys()];
    const response = await execute();
    const { leading } = this;
    for (const name of before)
      if (!this.cloud.hosts.has(name) && leading?.term === this.term && leading.leader.usable.has(name))
        this.usedWhenDeleted.push(name);
    return response;
  }

  /** One request: it is carried out when it arrives, also when its sender has long given up. */
  private call(
    member: string,
    process: ModelProcess,
    address: string,
    method: string,
    target: string,
    body: string | undefined,
    timeoutMs: number,
  ): Promise<HttpResponse> {
    const { thereMs, backMs, answerLost } = this.fates();
    return new Promise((resolve, reject) => {
      const later = (ms: number, run: () => void): void => void this.clock.after(ms, () => process.run(run));
      later(timeoutMs, () => reject(new CallError('unclear', 'no answer')));
      if (address === 'cloud:1' && this.cutFromCloud.has(member)) return;
      this.clock.after(thereMs, () => {
        void this.handlers.get(address)!(member, method, target, body).then((response) => {
          if (response && !answerLost) later(backMs, () => resolve(response));
        });
      });
    });
  }
}
