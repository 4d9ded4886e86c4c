import type { Job } from '../pipeline/job.js';
import type { WireInt } from '../wire/json.js';
import type { ExitCause, Order, Report, TaskReport } from './codec.js';
import { EPSILON, UNHEARD_ANSWERS } from '../constants.js';
import { absentMeans, isNewer, leaseEndMs, unheardSession, type DirectStart } from './lease.js';

export interface Resources {
  cpus: number;
  accelerators: number;
  memGb: number;
}

/** One start of a task on one machine, from the decision until it is surely over. */
export interface Attempt {
  readonly job: Job | undefined;
  readonly uid: string;
  readonly index: number;
  readonly number: WireInt;
  readonly node: Node;
  readonly size: Resources;
  /** planned: no start command was sent yet. */
  state: 'planned' | 'sent' | 'fetching' | 'running' | 'saving' | 'exited';
  sentTick: WireInt;
  sentMs: number;
  startedMs: number;
  /** Undefined: keep it running. */
  stop: { leewayS: number } | undefined;
  cause: ExitCause | undefined;
  direct: DirectStart;
}

export interface Node {
  readonly name: string;
  /** Counts the machines as they become known: the oldest are filled first, so that others become idle. */
  readonly order: number;
  address: string;
  /** The controller through which its last report in this term came; '': none did. */
  via: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  capacity: Resources;
  readonly used: Resources;
  readonly attempts: Map<string, Attempt>;
  session: WireInt;
  tick: WireInt;
  /** Steady ms of the last report; -Infinity: none in this term. */
  reportedMs: number;
  /** Steady ms of its first report in this term that did not show our token yet; -Infinity: none. */
  introducedMs: number;
  /** Steady ms of our last 200. */
  answeredMs: number;
  /** Answers in a row of which its reports show nothing. */
  unheard: number;
  /** Its tasks are surely gone after this, unless it is answered again. */
  leaseEndMs: number;
  /** Sessions up to this one have surely ended. */
  fencedSession: WireInt;
  /** Whether it reported with our token, so that its list is complete for us. */
  current: boolean;
  /** Whether its name stands in the state service, as it must before its first task. */
  recorded: boolean;
  rentedMs: number;
  listedMs: number;
  /** Steady ms when the cloud takes it; Infinity: no notice. */
  takenMs: number;
  /** Steady ms since it has no task. */
  idleSinceMs: number;
  returning: boolean;
  /** Images that it probably holds, oldest use first. */
  readonly images: Map<string, number>;
  readonly failedJobs: Set<string>;
}

export interface LedgerEvents {
  exited(attempt: Attempt, cause: ExitCause): void;
  /** The attempt is surely over without a finish. */
  released(attempt: Attempt): void;
}

export const attemptKey = (uid: string, index: number, number: WireInt): string =>
  `${uid}/${index}#${number}`;

const keyOf = (task: TaskReport): string => attemptKey(task.job, task.index, task.attempt);

const NOTHING: Resources = { cpus: 0, accelerators: 0, memGb: 0 };

/** What is, or may be, on each machine, and what each team uses. Unknown counts as used. */
export class Ledger {
  readonly nodes = new Map<string, Node>();
  readonly teams = new Map<string, Resources>();
  /** Machines with something planned or to be stopped, of which their workers may not know. */
  readonly awaitingCommands = new Set<Node>();
  /** Machines on which something is free; of a large fleet most are full. */
  readonly withRoom = new Set<Node>();
  /** Zones with machines, and how many. */
  readonly machinesPerZone = new Map<string, number>();
  /** Machines that an earlier term has irrevocably begun to give back: nothing is placed on them, known or not. */
  readonly leaving = new Set<string>();
  private nodeCount = 0;

  constructor(
    private readonly leaseS: number,
    private readonly findJob: (uid: string) => Job | undefined,
    private readonly events: LedgerEvents,
  ) {}

  addNode(
    fields: Pick<Node, 'name' | 'address' | 'type' | 'zone' | 'spot' | 'capacity'>,
    nowMs: number,
  ): Node {
    const node: Node = {
      ...fields,
      order: ++this.nodeCount,
      via: '',
      used: { ...NOTHING },
      attempts: new Map(),
      session: 0,
      tick: 0,
      reportedMs: -Infinity,
      introducedMs: -Infinity,
      answeredMs: -Infinity,
      unheard: 0,
      leaseEndMs: -Infinity,
      fencedSession: 0,
      current: false,
      recorded: false,
      rentedMs: nowMs,
      listedMs: -Infinity,
      takenMs: Infinity,
      idleSinceMs: nowMs,
      returning: this.leaving.has(fields.name),
      images: new Map(),
      failedJobs: new Set(),
    };
    this.nodes.set(node.name, node);
    this.machinesPerZone.set(node.zone, (this.machinesPerZone.get(node.zone) ?? 0) + 1);
    this.noteRoom(node);
    return node;
  }

  plan(job: Job, index: number, number: WireInt, node: Node, nowMs: number): Attempt {
    return this.bind(job, job.uid, index, number, node, 'planned', nowMs);
  }

  /** Withdraws a start that was surely not sent. */
  unplan(attempt: Attempt): void {
    this.remove(attempt);
  }

  /** The machine was deleted: all that was on it is gone. */
  removeNode(node: Node): void {
    this.releaseAll(node);
    if (!this.nodes.delete(node.name)) return;
    const left = this.machinesPerZone.get(node.zone)! - 1;
    if (left > 0) this.machinesPerZone.set(node.zone, left);
    else this.machinesPerZone.delete(node.zone);
    this.awaitingCommands.delete(node);
    this.withRoom.delete(node);
  }

  /** The catalogue tells what machines of its type have. */
  setCapacity(node: Node, capacity: Resources): void {
    node.capacity = capacity;
    this.noteRoom(node);
  }

  /** Its lease has surely ended: every task of its session is gone. */
  fence(node: Node): void {
    node.fencedSession = node.session;
    this.releaseAll(node);
  }

  /** False for a report that is older than what is known: it says nothing. */
  take(node: Node, report: Report, byReport: boolean, nowMs: number): boolean {
    const { session, tick } = report;
    if (session <= node.fencedSession || !isNewer({ session, tick }, node)) return false;
    if (unheardSession(report, node, node.answeredMs, nowMs, this.leaseS)) node.unheard = UNHEARD_ANSWERS;
    if (session > node.session) {
      this.releaseAll(node);
      // A new session has a lease of its own from its beginning, also if this report gets no answer.
      this.lease(node, nowMs);
    }
    node.session = session;
    node.tick = tick;
    // A worker that answers commands may still reach no controller: only its reports show that its lease goes on.
    if (byReport) node.reportedMs = nowMs;
    node.address = report.address;
    node.takenMs = report.noticeS === null ? Infinity : nowMs + report.noticeS * 1000;
    const listed = new Set<string>();
    const heard = report.tasks.some((task) => node.attempts.get(keyOf(task))?.state === 'sent');
    let neverExecuted = false;
    for (const task of report.tasks) listed.add(this.takeTask(node, task, nowMs));
    for (const [key, attempt] of node.attempts) {
      if (listed.has(key)) continue;
      const state = attempt.state === 'planned' || attempt.state === 'sent' ? attempt.state : 'live';
      const { sentTick, direct } = attempt;
      switch (absentMeans({ state, sentTick, direct, byReport, tick })) {
        case 'send again':
        case 'never executed':
          neverExecuted = true;
          attempt.state = 'planned';
          this.awaitingCommands.add(node);
          break;
        case 'gone':
          this.remove(attempt);
          break;
      }
      // A start that was not executed and is not wanted any more is over.
      if (attempt.state === 'planned' && attempt.stop && attempt.direct === 'none') this.remove(attempt);
    }
    if (heard) node.unheard = 0;
    else if (neverExecuted) node.unheard++;
    return true;
  }

  /** Called for every 200 before it is sent. */
  answered(node: Node, nowMs: number): void {
    node.answeredMs = nowMs;
    this.lease(node, nowMs);
  }

  /** A lease may run from now on. */
  lease(node: Node, nowMs: number): void {
    node.leaseEndMs = Math.max(node.leaseEndMs, leaseEndMs(nowMs, this.leaseS));
  }

  free(node: Node): Resources {
    return {
      cpus: node.capacity.cpus - node.used.cpus,
      accelerators: node.capacity.accelerators - node.used.accelerators,
      memGb: node.capacity.memGb - node.used.memGb,
    };
  }

  private noteRoom(node: Node): void {
    const { capacity, used } = node;
    const isFree = capacity.cpus - used.cpus > EPSILON || capacity.accelerators - used.accelerators > EPSILON;
    if (isFree && this.nodes.get(node.name) === node) this.withRoom.add(node);
    else this.withRoom.delete(node);
  }

  usage(team: string): Resources {
    return this.teams.get(team) ?? NOTHING;
  }

  /** Commands that a machine should be given now, oldest decision first. */
  *orders(node: Node, mayStart: (attempt: Attempt) => boolean): Iterable<[Order, Attempt]> {
    for (const attempt of node.attempts.values()) {
      const task = `${attempt.uid}/${attempt.index}`;
      if (attempt.state === 'exited') {
        // A finish is cleared only once it is stored; a late start command must still find the attempt.
        const stored =
          attempt.cause !== 'done' || !attempt.job?.isOpen || attempt.job.storedDone.has(attempt.index);
        if (stored && attempt.direct === 'none')
          yield [{ verb: 'clear', task, attempt: attempt.number }, attempt];
      } else if (attempt.stop) {
        if (attempt.state !== 'planned' || attempt.direct !== 'none')
          yield [{ verb: 'stop', task, attempt: attempt.number, leewayS: attempt.stop.leewayS }, attempt];
      } else if (attempt.state === 'planned' && mayStart(attempt)) {
        yield [{ verb: 'run', task, attempt: attempt.number }, attempt];
      }
    }
  }

  private takeTask(node: Node, task: TaskReport, nowMs: number): string {
    const key = keyOf(task);
    let attempt = node.attempts.get(key);
    if (!attempt) {
      const job = this.findJob(task.job);
      attempt = this.bind(job, task.job, task.index, task.attempt, node, 'running', nowMs);
      const wanted = job?.isOpen && job.bound.get(task.index) === attempt && !job.done.has(task.index);
      // Of a job that is over, or that runs elsewhere: nobody wants it.
      if (!wanted) {
        attempt.stop = { leewayS: 0 };
        this.awaitingCommands.add(node);
      }
    }
    if (attempt.state === 'exited') return key;
    if (task.state === 'exited') {
      const cause = task.cause ?? 'stopped';
      attempt.state = 'exited';
      attempt.cause = cause;
      this.unuse(attempt);
      this.events.exited(attempt, cause);
    } else {
      if (task.state === 'running' && attempt.state !== 'running') {
        attempt.startedMs = nowMs;
        const image = attempt.job?.spec;
        if (image) {
          node.images.delete(image.image);
          node.images.set(image.image, image.imageGb);
        }
      }
      attempt.state = task.state;
    }
    return key;
  }

  private bind(
    job: Job | undefined,
    uid: string,
    index: number,
    number: WireInt,
    node: Node,
    state: Attempt['state'],
    nowMs: number,
  ): Attempt {
    const size: Resources = job
      ? { cpus: job.spec.cpus, accelerators: job.spec.accelerators, memGb: job.spec.memGb }
      : NOTHING;
    const attempt: Attempt = {
      job,
      uid,
      index,
      number,
      node,
      size,
      state,
      sentTick: 0,
      sentMs: -Infinity,
      startedMs: nowMs,
      stop: undefined,
      cause: undefined,
      direct: 'none',
    };
    node.attempts.set(attemptKey(uid, index, number), attempt);
    if (state === 'planned') this.awaitingCommands.add(node);
    add(node.used, size, 1);
    this.noteRoom(node);
    if (job) {
      const team = this.teams.get(job.spec.team) ?? { ...NOTHING };
      this.teams.set(job.spec.team, team);
      add(team, size, 1);
      // A second attempt of a bound task is a stray: it counts as used, but the first stays the task's.
      if (!job.bound.has(index)) job.bind(attempt, node.zone);
    }
    return attempt;
  }

  private unuse(attempt: Attempt): void {
    add(attempt.node.used, attempt.size, -1);
    this.noteRoom(attempt.node);
    if (!attempt.job) return;
    add(this.teams.get(attempt.job.spec.team)!, attempt.size, -1);
    attempt.job.unbind(attempt, attempt.node.zone);
  }

  private remove(attempt: Attempt): void {
    attempt.node.attempts.delete(attemptKey(attempt.uid, attempt.index, attempt.number));
    if (attempt.state === 'exited') return;
    this.unuse(attempt);
    this.events.released(attempt);
  }

  private releaseAll(node: Node): void {
    for (const attempt of [...node.attempts.values()]) this.remove(attempt);
  }
}

function add(total: Resources, size: Resources, sign: 1 | -1): void {
  total.cpus += sign * size.cpus;
  total.accelerators += sign * size.accelerators;
  total.memGb += sign * size.memGb;
}
