import type { Clock } from '@pumicehinge/runtime';
import type { HttpCaller, HttpResponse } from '../http/message.js';
import type { SimNetwork } from './network.js';
import type { SimRules } from './rules.js';

interface Task {
  uid: string;
  index: number;
  attempt: number;
  phase: 'fetching' | 'running' | 'exited';
  cause?: string;
}

export interface WorkerPlace {
  name: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Where its worker takes commands; by default a name of the simulated network. */
  address?: string;
}

interface Order {
  verb: string;
  piece: string;
  try: number;
}

/** Stand-in of a worker, written from its protocol: leases, sessions, tokens, reports, direct commands. */
export class SimWorker {
  private readonly tasks = new Map<string, Task>();
  private session = 1;
  private tick = 0;
  private token = 0;
  private leaseFromMs: number;
  private target: number;
  private reporting = false;
  private alive = true;
  hanging = false;
  private readonly caller: HttpCaller;

  constructor(
    readonly place: WorkerPlace,
    private readonly controllers: { member: string; address: string }[],
    private readonly timing: { reportS: number; leaseS: number; fetchS: number },
    private readonly clock: Clock,
    network: Pick<SimNetwork, 'attach' | 'caller'>,
    private readonly rules: SimRules,
    private readonly random: () => number,
    private readonly finished: Set<string>,
  ) {
    this.leaseFromMs = clock.steadyMs();
    this.target = Math.floor(random() * controllers.length);
    this.caller = network.caller(place.name, () => this.alive);
    network.attach(place.name, this.address, async (_from, _method, target, body) =>
      this.serve(target, body),
    );
    this.watchLease();
    this.reportIn(random() * timing.reportS * 1000);
  }

  get address(): string {
    return this.place.address ?? `${this.place.name}:1`;
  }

  /** The machine is gone, with all that was on it. */
  kill(): void {
    this.alive = false;
    for (const task of this.tasks.values()) if (task.phase === 'running') this.rules.killedByEnd++;
    this.dropTasks();
  }

  /** The machine stops with all that is on it and is back at once: its worker counts from 1 again. */
  beginAnew(): void {
    this.dropTasks();
    this.session = 1;
    this.tick = 0;
    this.token = 0;
    this.leaseFromMs = this.clock.steadyMs();
  }

  get sessionNumber(): number {
    return this.session;
  }

  private dropTasks(): void {
    for (const task of this.tasks.values())
      if (task.phase === 'running') this.rules.end(task.uid, task.index, this.place.name, false);
    this.tasks.clear();
  }

  private watchLease(): void {
    this.clock.after(100, () => {
      if (!this.alive) return;
      if (!this.hanging && this.clock.steadyMs() - this.leaseFromMs > this.timing.leaseS * 1000) {
        for (const task of this.tasks.values()) if (task.phase === 'running') this.rules.killedByLease++;
        this.dropTasks();
        this.session++;
        this.leaseFromMs = this.clock.steadyMs();
      }
      this.watchLease();
    });
  }

  private report(): unknown {
    return {
      hearth: this.place.name,
      address: this.address,
      build: this.place.type,
      yard: this.place.zone,
      loaner: this.place.spot,
      tenure: this.session,
      tick: ++this.tick,
      baton: this.token,
      warningS: null,
      pieces: [...this.tasks.values()].map((t) => ({
        piece: `${t.uid}/${t.index}`,
        try: t.attempt,
        phase: t.phase,
        ...(t.cause ? { cause: t.cause } : {}),
      })),
    };
  }

  private reportIn(ms: number): void {
    this.clock.after(ms, () => {
      if (!this.alive) return;
      if (this.hanging) return this.reportIn(200);
      void this.sendReport();
    });
  }

  private async sendReport(): Promise<void> {
    if (this.reporting) return;
    this.reporting = true;
    const sentMs = this.clock.steadyMs();
    const session = this.session;
    const to = this.controllers[this.target]!;
    let response: HttpResponse | undefined;
    try {
      response = await this.caller.call(
        to.address,
        'POST',
        '/v1/report',
        JSON.stringify(this.report()),
        4000,
      );
    } catch {
      response = undefined;
    }
    this.reporting = false;
    if (!this.alive) return;
    if (response?.status === 200) {
      const body = JSON.parse(response.body) as { baton: number; orders: Order[] };
      if (!this.hanging && body.baton >= this.token && session === this.session) {
        const raised = body.baton > this.token;
        this.token = body.baton;
        this.leaseFromMs = sentMs;
        for (const order of body.orders) this.execute(order);
        return this.reportIn(raised ? 500 : this.timing.reportS * 1000 * (0.75 + this.random() * 0.5));
      }
      return this.reportIn(500);
    }
    const steward =
      response?.status === 421 ? (JSON.parse(response.body) as { steward?: string }).steward : undefined;
    const named = this.controllers.findIndex((c) => c.member === steward);
    this.target = named >= 0 && named !== this.target ? named : (this.target + 1) % this.controllers.length;
    this.reportIn(named >= 0 ? 100 : 1000);
  }

  private async serve(target: string, body: string | undefined): Promise<HttpResponse | undefined> {
    if (!this.alive) return undefined;
    // A hanging machine takes up what reached it when it goes on.
    while (this.hanging) await new Promise<void>((resolve) => this.clock.after(100, resolve));
    // It may have been deleted meanwhile.
    if (!this.alive) return undefined;
    if (target === '/show') return { status: 200, body: JSON.stringify(this.report()) };
    const { baton, tenure, orders } = JSON.parse(body ?? '') as {
      baton: number;
      tenure: number;
      orders: Order[];
    };
    const valid = baton >= this.token && tenure === this.session;
    if (valid) {
      this.token = baton;
      for (const order of orders) this.execute(order);
    }
    return { status: valid ? 200 : 409, body: JSON.stringify(this.report()) };
  }

  private execute(order: Order): void {
    const key = `${order.piece}#${order.try}`;
    const held = this.tasks.get(key);
    if (order.verb === 'clear') {
      if (held?.phase === 'exited') this.tasks.delete(key);
    } else if (order.verb === 'stop') {
      if (held && held.phase !== 'exited') this.exit(held, 'stopped');
    } else if (!held) {
      const [uid, index] = order.piece.split('/') as [string, string];
      const task: Task = { uid, index: Number(index), attempt: order.try, phase: 'fetching' };
      this.tasks.set(key, task);
      const twin = [...this.tasks.values()].some(
        (t) => t !== task && t.phase !== 'exited' && t.uid === uid && t.index === task.index,
      );
      if (twin) this.exit(task, 'in_use');
      else this.clock.after(this.timing.fetchS * 1000, () => this.begin(key, task));
    }
  }

  private begin(key: string, task: Task): void {
    if (this.tasks.get(key) !== task || task.phase !== 'fetching') return;
    if (this.hanging) {
      this.clock.after(200, () => this.begin(key, task));
      return;
    }
    task.phase = 'running';
    this.rules.start(task.uid, task.index, {
      node: this.place.name,
      zone: this.place.zone,
      spot: this.place.spot,
    });
    const { kind, runS } = this.rules.jobs.get(task.uid)!.job;
    if (kind === 'service') return;
    const again = this.finished.has(`${task.uid}/${task.index}`);
    this.clock.after(again ? 10 : runS * 1000 * (0.8 + this.random() * 0.4), () => this.finish(key, task));
  }

  private finish(key: string, task: Task): void {
    if (this.tasks.get(key) !== task || task.phase !== 'running') return;
    if (this.hanging) {
      this.clock.after(200, () => this.finish(key, task));
      return;
    }
    this.finished.add(`${task.uid}/${task.index}`);
    this.exit(task, 'done');
  }

  private exit(task: Task, cause: string): void {
    if (task.phase === 'running') this.rules.end(task.uid, task.index, this.place.name, cause === 'done');
    task.phase = 'exited';
    task.cause = cause;
    this.reportIn(500 * this.random());
  }
}
