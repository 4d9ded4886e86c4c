/**
 * Simulates the worker on a rented machine. It reports to the controllers, executes their commands, and ends its
 * tasks when its lease expires. Simulated deployments and clusters on loopback start one on each machine that has
 * booted.
 */
import type { Clock } from '@pumicehinge/runtime';
import type { HttpClient, HttpResponse } from '../http/message.js';
import type { SimulatedNetwork } from './network.js';
import type { RuleChecker } from './rule-checker.js';

/** Longest time from the restart of a machine until its new worker reports, in milliseconds. */
const MAX_FIRST_REPORT_DELAY_MS = 300;
/** Time from the start of a task until it fails, in milliseconds, if it is one of those that fail. */
const FAILURE_DELAY_MS = 1_000;

/** One attempt of a task on this worker. */
interface Task {
  uid: string;
  index: number;
  attempt: number;
  phase: 'fetching' | 'running' | 'exited';
  cause?: string;
}

/** The machine on which a worker runs. */
export interface WorkerMachine {
  name: string;
  instanceType: string;
  zone: string;
  spot: boolean;
  /** Address at which the worker accepts commands. Defaults to a name of the simulated network. */
  address?: string;
}

/** The times of a worker, in seconds. */
export interface WorkerTiming {
  /** Time between two reports. */
  reportS: number;
  leaseS: number;
  fetchS: number;
  /** Shortest time between two reports that changes cause. Undefined if each change causes a report of its own. */
  minReportIntervalS?: number | undefined;
}

/** How tasks fail on simulated workers. Scenarios may change the shares at any time. */
export interface TaskFaults {
  /** Share of the starts that the worker refuses. */
  refusedShare: number;
  /** The cause with which it refuses them. */
  refusalCause: 'full' | 'in_use' | 'no_such';
  /** Share of the tasks that fail soon after they have begun to run (cause `error`). */
  failedShare: number;
}

/** Creates faults of which none is active. */
export const createTaskFaults = (): TaskFaults => ({ refusedShare: 0, refusalCause: 'full', failedShare: 0 });

/** A command of a controller, as the protocol encodes it. */
interface Command {
  verb: string;
  piece: string;
  try: number;
}

/**
 * Simulated worker, written from the protocol of the real one: leases, sessions, tokens, reports and direct commands.
 */
export class SimulatedWorker {
  private readonly tasks = new Map<string, Task>();
  private session = 1;
  private reportNumber = 0;
  private token = 0;
  private leaseRenewedMs: number;
  private controllerIndex: number;
  private isReporting = false;
  private lastReportMs = -Infinity;
  /** When the next report is due, if changes share reports. Infinity if none is due. */
  private nextReportMs = Infinity;
  private isAlive = true;
  /** Counts the workers that have run on this machine. What an earlier one waited for never reaches a later one. */
  private workerNumber = 1;
  /** While true, the machine neither runs tasks nor handles messages, and its clock runs on. */
  isHanging = false;
  private readonly httpClient: HttpClient;

  constructor(
    readonly machine: WorkerMachine,
    private readonly controllers: { member: string; address: string }[],
    private readonly timing: WorkerTiming,
    private readonly clock: Clock,
    private readonly network: Pick<SimulatedNetwork, 'attach' | 'createHttpClient' | 'dropHeldRequests'>,
    private readonly rules: RuleChecker,
    private readonly random: () => number,
    /** Tasks that finished on any machine. Another attempt at one of them takes only 10 ms. */
    private readonly finishedTasks: Set<string>,
    private readonly taskFaults: Readonly<TaskFaults>,
  ) {
    this.leaseRenewedMs = clock.steadyMs();
    this.controllerIndex = Math.floor(random() * controllers.length);
    this.httpClient = network.createHttpClient(machine.name, () => this.isAlive);
    network.attach(machine.name, this.address, async (_from, _method, target, body) =>
      this.handleRequest(target, body),
    );
    this.watchLease();
    this.scheduleReport(random() * timing.reportS * 1000);
  }

  /** Address at which the worker accepts commands. */
  get address(): string {
    return this.machine.address ?? `${this.machine.name}:1`;
  }

  /** Terminates the machine and everything that runs on it. */
  kill(): void {
    this.isAlive = false;
    for (const task of this.tasks.values()) if (task.phase === 'running') this.rules.tasksKilledWithMachine++;
    this.killTasks();
  }

  /**
   * Restarts the machine without delay. All tasks end, and a new worker begins: its session number, its report number
   * and its token have their initial values, and it has none of the former worker's connections.
   */
  restart(): void {
    this.killTasks();
    this.workerNumber++;
    this.session = 1;
    this.reportNumber = 0;
    this.token = 0;
    this.isReporting = false;
    this.nextReportMs = Infinity;
    this.isHanging = false;
    this.leaseRenewedMs = this.clock.steadyMs();
    this.network.dropHeldRequests(this.machine.name);
    this.scheduleReport(this.random() * MAX_FIRST_REPORT_DELAY_MS);
  }

  /** Milliseconds since the worker sent the last report that was answered, or since it began. */
  get leaseAgeMs(): number {
    return this.clock.steadyMs() - this.leaseRenewedMs;
  }

  /** Whether a task runs on the machine. */
  get isBusy(): boolean {
    return [...this.tasks.values()].some(({ phase }) => phase === 'running');
  }

  /** Number of the current session. It increases each time the lease expires, and a restart resets it. */
  get sessionNumber(): number {
    return this.session;
  }

  private killTasks(): void {
    for (const task of this.tasks.values())
      if (task.phase === 'running') this.rules.recordTaskEnd(task.uid, task.index, this.machine.name, false);
    this.tasks.clear();
  }

  private watchLease(): void {
    this.clock.setTimer(100, () => {
      if (!this.isAlive) return;
      if (!this.isHanging && this.clock.steadyMs() - this.leaseRenewedMs > this.timing.leaseS * 1000) {
        for (const task of this.tasks.values())
          if (task.phase === 'running') this.rules.tasksKilledByLeaseExpiry++;
        this.killTasks();
        this.session++;
        this.leaseRenewedMs = this.clock.steadyMs();
      }
      this.watchLease();
    });
  }

  private buildReport(): unknown {
    return {
      hearth: this.machine.name,
      address: this.address,
      build: this.machine.instanceType,
      yard: this.machine.zone,
      loaner: this.machine.spot,
      tenure: this.session,
      tick: ++this.reportNumber,
      baton: this.token,
      warningS: null,
      pieces: [...this.tasks.values()].map((task) => ({
        piece: `${task.uid}/${task.index}`,
        try: task.attempt,
        phase: task.phase,
        ...(task.cause ? { cause: task.cause } : {}),
      })),
    };
  }

  private scheduleReport(delayMs: number): void {
    if (this.timing.minReportIntervalS !== undefined) return this.scheduleNextReport(delayMs);
    const { workerNumber } = this;
    this.clock.setTimer(delayMs, () => {
      if (!this.isAlive || workerNumber !== this.workerNumber) return;
      if (this.isHanging) return this.scheduleReport(200);
      void this.sendReport();
    });
  }

  /** Reports a change of the tasks soon. */
  private reportChange(): void {
    const { minReportIntervalS } = this.timing;
    if (minReportIntervalS === undefined) return this.scheduleReport(500 * this.random());
    this.scheduleNextReport(this.lastReportMs + minReportIntervalS * 1000 - this.clock.steadyMs());
  }

  /** Schedules the only report that is due, unless it is due earlier. It waits while another one is in flight. */
  private scheduleNextReport(delayMs: number): void {
    const dueMs = this.clock.steadyMs() + Math.max(1, delayMs);
    if (this.nextReportMs <= dueMs) return;
    this.nextReportMs = dueMs;
    this.clock.setTimer(dueMs - this.clock.steadyMs(), () => {
      if (this.nextReportMs !== dueMs) return;
      this.nextReportMs = Infinity;
      if (!this.isAlive) return;
      if (this.isHanging || this.isReporting) this.scheduleNextReport(200);
      else void this.sendReport();
    });
  }

  private async sendReport(): Promise<void> {
    if (this.isReporting) return;
    this.isReporting = true;
    const sentMs = this.clock.steadyMs();
    this.lastReportMs = sentMs;
    const { session, workerNumber } = this;
    const controller = this.controllers[this.controllerIndex]!;
    let response: HttpResponse | undefined;
    try {
      response = await this.httpClient.call(
        controller.address,
        'POST',
        '/v1/report',
        JSON.stringify(this.buildReport()),
        4000,
      );
    } catch {
      response = undefined;
    }
    if (!this.isAlive || workerNumber !== this.workerNumber) return;
    this.isReporting = false;
    if (response?.status === 200) {
      const body = JSON.parse(response.body) as { baton: number; orders: Command[] };
      if (!this.isHanging && body.baton >= this.token && session === this.session) {
        const isTokenRaised = body.baton > this.token;
        this.token = body.baton;
        this.leaseRenewedMs = sentMs;
        for (const command of body.orders) this.executeCommand(command);
        return this.scheduleReport(
          isTokenRaised ? 500 : this.timing.reportS * 1000 * (0.75 + this.random() * 0.5),
        );
      }
      return this.scheduleReport(500);
    }
    const leader =
      response?.status === 421 ? (JSON.parse(response.body) as { steward?: string }).steward : undefined;
    const namedIndex = this.controllers.findIndex((other) => other.member === leader);
    this.controllerIndex =
      namedIndex >= 0 && namedIndex !== this.controllerIndex
        ? namedIndex
        : (this.controllerIndex + 1) % this.controllers.length;
    this.scheduleReport(namedIndex >= 0 ? 100 : 1000);
  }

  private async handleRequest(target: string, body: string | undefined): Promise<HttpResponse | undefined> {
    if (!this.isAlive) return undefined;
    const { workerNumber } = this;
    // Requests that reach a hanging machine are handled once it runs again.
    while (this.isHanging) await new Promise<void>((resolve) => this.clock.setTimer(100, resolve));
    // The machine may have been terminated or restarted in the meantime.
    if (!this.isAlive || workerNumber !== this.workerNumber) return undefined;
    if (target === '/show') return { status: 200, body: JSON.stringify(this.buildReport()) };
    const { baton, tenure, orders } = JSON.parse(body ?? '') as {
      baton: number;
      tenure: number;
      orders: Command[];
    };
    const isValid = baton >= this.token && tenure === this.session;
    if (isValid) {
      this.token = baton;
      for (const command of orders) this.executeCommand(command);
    }
    return { status: isValid ? 200 : 409, body: JSON.stringify(this.buildReport()) };
  }

  private executeCommand(command: Command): void {
    const key = `${command.piece}#${command.try}`;
    const knownTask = this.tasks.get(key);
    if (command.verb === 'clear') {
      if (knownTask?.phase === 'exited') this.tasks.delete(key);
    } else if (command.verb === 'stop') {
      if (knownTask && knownTask.phase !== 'exited') this.exitTask(knownTask, 'stopped');
    } else if (!knownTask) {
      const [uid, index] = command.piece.split('/') as [string, string];
      const task: Task = { uid, index: Number(index), attempt: command.try, phase: 'fetching' };
      this.tasks.set(key, task);
      const isDuplicate = [...this.tasks.values()].some(
        (other) =>
          other !== task && other.phase !== 'exited' && other.uid === uid && other.index === task.index,
      );
      if (isDuplicate) this.exitTask(task, 'in_use');
      else if (this.isDrawn(this.taskFaults.refusedShare)) this.exitTask(task, this.taskFaults.refusalCause);
      else this.clock.setTimer(this.timing.fetchS * 1000, () => this.startTask(key, task));
    }
  }

  private startTask(key: string, task: Task): void {
    if (this.tasks.get(key) !== task || task.phase !== 'fetching') return;
    if (this.isHanging) {
      this.clock.setTimer(200, () => this.startTask(key, task));
      return;
    }
    task.phase = 'running';
    this.rules.recordTaskStart(task.uid, task.index, {
      node: this.machine.name,
      zone: this.machine.zone,
      spot: this.machine.spot,
    });
    if (this.isDrawn(this.taskFaults.failedShare)) {
      this.clock.setTimer(FAILURE_DELAY_MS, () => this.endTask(key, task, 'error'));
      return;
    }
    const { kind, runS } = this.rules.jobs.get(task.uid)!.job;
    if (kind === 'service') return;
    const hasFinishedBefore = this.finishedTasks.has(`${task.uid}/${task.index}`);
    this.clock.setTimer(hasFinishedBefore ? 10 : runS * 1000 * (0.8 + this.random() * 0.4), () =>
      this.endTask(key, task, 'done'),
    );
  }

  /** Ends a running task by itself. A hanging machine ends it once it runs again. */
  private endTask(key: string, task: Task, cause: 'done' | 'error'): void {
    if (this.tasks.get(key) !== task || task.phase !== 'running') return;
    if (this.isHanging) {
      this.clock.setTimer(200, () => this.endTask(key, task, cause));
      return;
    }
    if (cause === 'done') this.finishedTasks.add(`${task.uid}/${task.index}`);
    this.exitTask(task, cause);
  }

  /** Whether an event with this probability happens. Draws nothing if it never happens. */
  private isDrawn(share: number): boolean {
    return share > 0 && this.random() < share;
  }

  private exitTask(task: Task, cause: string): void {
    if (task.phase === 'running')
      this.rules.recordTaskEnd(task.uid, task.index, this.machine.name, cause === 'done');
    task.phase = 'exited';
    task.cause = cause;
    this.reportChange();
  }
}
