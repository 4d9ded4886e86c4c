/**
 * Random scenarios in which bursts of small tasks arrive at large machines while faults are active. The short run of the
 * tests and the long run of `scripts/soak-task-bursts.ts` share them.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { SimulatedDeployment } from '../../src/simulation/simulated-deployment.js';
import { MessageSizes } from './message-sizes.js';
import { LAST_FAULT_S, MAX_FAULT_S, RandomFaults } from './random-faults.js';

/** Second at which a scenario ends. Jobs that wait until then without a reason are found. */
const END_S = 290;
/** Seconds between two bursts. */
const BURST_INTERVAL_S = { min: 5, max: 25 };
const MAX_JOBS_PER_BURST = 4;
const MACHINE_TYPE = { sku: 'g8', cpus: 96, memGb: 768, bootS: 2, price: 12 };

/** The result of one scenario. */
export interface BurstSoakResult {
  readonly seed: number;
  /** What was drawn: options of the deployment, bursts, and faults with their times. */
  readonly schedule: readonly string[];
  readonly violations: readonly string[];
  /** Tasks that started long after their jobs were confirmed as cancelled. */
  readonly startsAfterCancellation: readonly string[];
  /** Number of tasks that started. */
  readonly startCount: number;
  /** Size of the largest message to or from a worker, in bytes. */
  readonly largestMessageBytes: number;
  readonly refusedHeartbeats: number;
  /** Uids of the jobs that are neither done nor cancelled at the end. */
  readonly unfinishedJobs: readonly string[];
}

/** One scenario: a deployment, and the bursts and faults that a seed draws for it. */
class BurstScenario {
  private readonly random: () => number;
  private readonly deployment: SimulatedDeployment;
  private readonly sizes = new MessageSizes();
  private readonly schedule: string[] = [];
  private readonly faults: RandomFaults;
  private readonly arrayUids: string[] = [];

  constructor(
    private readonly seed: number,
    copiesRequests: boolean,
  ) {
    const generator = xoroshiro128plus(seed);
    this.random = () => uniformFloat64(generator);
    const options = {
      controllers: this.pick([1, 3]),
      machineCapacity: this.pick([4, 8]),
      cpuLimitScale: 20,
      machineType: MACHINE_TYPE,
      minReportIntervalS: 0.5,
      reportS: this.pick([1.5, 2.5]),
      fetchS: this.pick([0.05, 1]),
      machineZones: this.pick([['east'], ['east', 'west']]),
    };
    this.schedule.push(JSON.stringify(options));
    this.deployment = new SimulatedDeployment(seed, { ...options, createObserver: () => this.sizes });
    this.faults = new RandomFaults(this.deployment, this.random, this.schedule);
    if (copiesRequests) this.faults.copyExecutedRequests();
  }

  /** Plays the scenario. */
  async run(): Promise<BurstSoakResult> {
    const { deployment, seed, schedule, sizes } = this;
    this.scheduleBursts();
    this.faults.scheduleFaults();
    deployment.faultsEndMs = (LAST_FAULT_S + MAX_FAULT_S) * 1000;
    await deployment.clock.runUntil(END_S * 1000);
    const { violations, startsAfterCancellation, startCount, jobs } = deployment.rules;
    return {
      ...{ seed, schedule, violations, startsAfterCancellation, startCount },
      largestMessageBytes: sizes.largest,
      refusedHeartbeats: sizes.refusedHeartbeats,
      unfinishedJobs: this.arrayUids.filter((uid) => jobs.get(uid)!.reportedPhase === 'open'),
    };
  }

  private scheduleBursts(): void {
    const { deployment } = this;
    deployment.at(1, () => deployment.submit({ kind: 'service', team: 'red', tasks: 3, cpus: 2 }));
    let atS = 5;
    while (atS < LAST_FAULT_S) {
      this.scheduleBurst(atS);
      atS += BURST_INTERVAL_S.min + (BURST_INTERVAL_S.max - BURST_INTERVAL_S.min) * this.random();
    }
  }

  private scheduleBurst(atS: number): void {
    const jobCount = 1 + Math.floor(MAX_JOBS_PER_BURST * this.random());
    const job = {
      team: this.pick(['red', 'blue']),
      tasks: this.pick([50, 300, 450, 900]),
      cpus: this.pick([0.001, 0.05, 0.3]),
      memGb: 0.1,
      runS: this.pick([1, 5, 15]),
    };
    this.schedule.push(`${atS.toFixed(2)} ${jobCount} arrays ${JSON.stringify(job)}`);
    for (let i = 0; i < jobCount; i++) {
      const cancelAfterS = this.random() < 0.15 ? 20 * this.random() : undefined;
      this.deployment.at(atS, () => this.arrayUids.push(this.deployment.submit(job, cancelAfterS).uid));
    }
  }

  private pick<T>(values: readonly T[]): T {
    return values[Math.floor(this.random() * values.length)]!;
  }
}

/** Plays the scenario of a seed. If `copiesRequests` is set, late copies of all executed requests arrive, and tasks fail. */
export function runBurstScenario(seed: number, copiesRequests = false): Promise<BurstSoakResult> {
  return new BurstScenario(seed, copiesRequests).run();
}
