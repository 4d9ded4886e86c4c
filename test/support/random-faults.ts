/** Random faults of a simulated deployment, which the soak tests share. */
import { LEASE_S } from '../../src/simulation/deployment-options.js';
import type { SimulatedDeployment } from '../../src/simulation/simulated-deployment.js';
import type { SimulatedWorker } from '../../src/simulation/simulated-worker.js';

/** Second of the first fault. */
const FIRST_FAULT_S = 20;
/** Second after which no fault begins. */
export const LAST_FAULT_S = 140;
/** Longest duration of a fault in seconds. */
export const MAX_FAULT_S = 24;
/** Longest time for which a machine hangs, in seconds. */
const MAX_HANG_S = 8;
/** Delays of the late copies of reports, in milliseconds. */
const COPY_DELAY_MS = { min: 500, max: 40_000 };
/** Delays of the late copies of executed requests, in milliseconds: up to several leases. */
const EXECUTED_COPY_DELAY_MS = { min: 1_000, max: 60_000 };
/** Share of the tasks that fail, and of the starts that are refused, where executed requests are copied. */
const TASK_FAULT_SHARE = 0.04;

/** Draws faults for a deployment, and injects them at their times. */
export class RandomFaults {
  /** When each controller that crashed starts again, in milliseconds. */
  private readonly controllerStartMs = new Map<string, number>();
  /** Number of workers that began anew. */
  restartCount = 0;
  /** Number of restarts that ended at least one task. */
  taskLosingRestartCount = 0;

  constructor(
    private readonly deployment: SimulatedDeployment,
    private readonly random: () => number,
    /** Receives each fault with its time. */
    private readonly schedule: string[],
  ) {}

  /** Schedules faults of all kinds, some kinds more often than others. */
  scheduleFaults(): void {
    const faults: [weight: number, inject: (atS: number, durationS: number) => void][] = [
      [8, (atS) => this.restartSome(atS)],
      [2, (atS, durationS) => this.takeCloudDown(atS, durationS)],
      [2, (atS) => this.crashLeader(atS)],
      [1, (atS, durationS) => this.pauseLeader(atS, durationS)],
      [2, (atS) => this.copyReports(atS)],
      [1, (atS, durationS) => this.takeStateServiceDown(atS, durationS)],
      [3, (atS, durationS) => this.disturbLinks(atS, durationS)],
      [2, (atS) => this.hangSome(atS)],
    ];
    const weighted = faults.flatMap(([weight, inject]) => Array.from({ length: weight }, () => inject));
    for (let atS = FIRST_FAULT_S; atS < LAST_FAULT_S; atS += 0.3 + 4 * this.random())
      this.pick(weighted)(atS, 1 + (MAX_FAULT_S - 1) * this.random() ** 2);
  }

  /**
   * From now on, a late copy of each request that was executed arrives, whoever sent it. Until the last fault, some tasks
   * fail or are refused. Watches change nothing and are not copied.
   */
  copyExecutedRequests(): void {
    const { network, random, taskFaults } = this.deployment;
    const { min, max } = EXECUTED_COPY_DELAY_MS;
    network.copyExecutedRequests({
      select: ({ target }) => !target.startsWith('/follow'),
      drawDelaysMs: () => [min + (max - min) * random() ** 2],
    });
    Object.assign(taskFaults, { failedShare: TASK_FAULT_SHARE, refusedShare: TASK_FAULT_SHARE });
    this.deployment.at(LAST_FAULT_S, () => Object.assign(taskFaults, { failedShare: 0, refusedShare: 0 }));
  }

  /** Restarts up to five machines together, and some of them a second time soon after. */
  private restartSome(atS: number): void {
    const count = 1 + Math.floor(5 * this.random());
    const againAfterS = this.random() < 0.3 ? 3 * this.random() : undefined;
    this.note(atS, `restart ${count}${againAfterS === undefined ? '' : `, again after ${againAfterS} s`}`);
    this.deployment.at(atS, () => {
      const workers = this.pickWorkers(count);
      for (const worker of workers) this.restart(worker);
      // Users submit work just then, so that tasks start on the machines that are back.
      this.deployment.submit({ tasks: count, cpus: 1, runS: 25 });
      if (againAfterS === undefined) return;
      this.deployment.clock.setTimer(againAfterS * 1000, () => {
        for (const worker of workers) this.restart(worker);
      });
    });
  }

  private restart(worker: SimulatedWorker): void {
    if (!this.listWorkers().includes(worker)) return;
    this.restartCount++;
    if (worker.isBusy) this.taskLosingRestartCount++;
    worker.restart();
  }

  private takeCloudDown(atS: number, durationS: number): void {
    const { cloud } = this.deployment;
    this.note(atS, `cloud down for ${durationS} s`);
    this.deployment.at(atS, () => (cloud.isDown = true));
    this.deployment.at(atS + durationS, () => (cloud.isDown = false));
  }

  private crashLeader(atS: number): void {
    const delayMs = this.pick([100, 300, 4_000]);
    this.note(atS, `leader crashes, back after ${delayMs} ms`);
    this.deployment.at(atS, () => {
      const leader = this.getLeader();
      const nowMs = this.deployment.clock.steadyMs();
      // A controller that has not started again yet can't crash.
      if (nowMs <= (this.controllerStartMs.get(leader) ?? -Infinity)) return;
      this.controllerStartMs.set(leader, nowMs + delayMs);
      this.deployment.crashController(leader, delayMs);
    });
  }

  private pauseLeader(atS: number, durationS: number): void {
    const pauseMs = Math.min(durationS, 8) * 1000;
    this.note(atS, `leader pauses for ${pauseMs} ms`);
    this.deployment.at(atS, () => this.deployment.pauseController(this.getLeader(), pauseMs));
  }

  /** From now on a copy of each report of the machines that are up arrives late. */
  private copyReports(atS: number): void {
    this.note(atS, 'late copies of reports');
    const drawDelayMs = (): number =>
      COPY_DELAY_MS.min + (COPY_DELAY_MS.max - COPY_DELAY_MS.min) * this.deployment.random();
    this.deployment.at(atS, () => {
      for (const worker of this.listWorkers())
        this.deployment.network.duplicateRequests(worker.machine.name, drawDelayMs);
    });
  }

  private takeStateServiceDown(atS: number, durationS: number): void {
    this.note(atS, `state service down for ${durationS} s`);
    this.deployment.at(atS, () => this.deployment.state.refusedCallers.add('*'));
    this.deployment.at(atS + durationS, () => this.deployment.state.endOutage());
  }

  /** Some machines are cut off from the leader or from all controllers, or their links work in one direction only. */
  private disturbLinks(atS: number, durationS: number): void {
    const kind = this.pick(['leader', 'controllers', 'inbound', 'own requests', 'zones'] as const);
    const count = 1 + Math.floor(6 * this.random());
    this.note(atS, `links of ${count} machines disturbed (${kind}) for ${durationS} s`);
    this.deployment.at(atS, () => {
      const { network } = this.deployment;
      if (kind === 'zones') return network.partitionZones();
      for (const { machine } of this.pickWorkers(count)) {
        if (kind === 'inbound') network.dropInbound(machine.name);
        else if (kind === 'own requests') network.dropOwnRequests(machine.name);
        else
          for (const member of kind === 'leader' ? [this.getLeader()] : this.deployment.members)
            network.partition(member, machine.name);
      }
    });
    this.deployment.at(atS + durationS, () => this.deployment.network.heal());
  }

  /** Some machines hang, but go on before their leases end: no machine runs a task after its lease. */
  private hangSome(atS: number): void {
    const durationS = 1 + (MAX_HANG_S - 1) * this.random();
    const count = 1 + Math.floor(4 * this.random());
    this.note(atS, `${count} machines hang for ${durationS} s`);
    this.deployment.at(atS, () => {
      const maxLeaseAgeMs = (LEASE_S - durationS - 1) * 1000;
      const workers = this.pickWorkers(count).filter(({ leaseAgeMs }) => leaseAgeMs < maxLeaseAgeMs);
      for (const worker of workers) worker.isHanging = true;
      this.deployment.clock.setTimer(durationS * 1000, () => {
        for (const worker of workers) worker.isHanging = false;
      });
    });
  }

  private note(atS: number, text: string): void {
    this.schedule.push(`${atS.toFixed(2)} ${text}`);
  }

  private getLeader(): string {
    return this.deployment.leader ?? this.deployment.members[0]!;
  }

  private listWorkers(): SimulatedWorker[] {
    return [...this.deployment.cloud.machines.values()].flatMap(({ worker }) => worker ?? []);
  }

  /** Picks workers, those that run tasks first. */
  private pickWorkers(count: number): SimulatedWorker[] {
    const workers = this.listWorkers().sort(() => this.deployment.random() - 0.5);
    return workers.sort((a, b) => Number(b.isBusy) - Number(a.isBusy)).slice(0, count);
  }

  /** Picks one of the values. */
  pick<T>(values: readonly T[]): T {
    return values[Math.floor(this.random() * values.length)]!;
  }
}
