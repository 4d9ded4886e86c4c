/**
 * Random scenarios in which machines restart while other faults are active. The short run of the tests and the long run
 * of `scripts/soak-worker-restarts.ts` share them.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { SimulatedDeployment, SMALL_DEPLOYMENT } from '../../src/simulation/simulated-deployment.js';
import { LAST_FAULT_S, MAX_FAULT_S, RandomFaults } from './random-faults.js';

/** Second at which a scenario ends. Jobs that wait until then without a reason are found. */
const END_S = 290;
/** The result of one scenario. */
export interface SoakResult {
  readonly seed: number;
  /** What was drawn: options of the deployment, and faults with their times. */
  readonly schedule: readonly string[];
  readonly violations: readonly string[];
  /** Number of tasks that started. */
  readonly startCount: number;
  /** Tasks that started long after their jobs were confirmed as cancelled. */
  readonly startsAfterCancellation: readonly string[];
  /** Number of workers that began anew. */
  readonly restartCount: number;
  /** Number of restarts that ended at least one task. */
  readonly taskLosingRestartCount: number;
}

/** One scenario: a deployment, and the faults that a seed draws for it. */
class SoakScenario {
  private readonly random: () => number;
  private readonly deployment: SimulatedDeployment;
  private readonly schedule: string[] = [];
  private readonly faults: RandomFaults;

  constructor(
    private readonly seed: number,
    copiesRequests: boolean,
  ) {
    const generator = xoroshiro128plus(seed);
    this.random = () => uniformFloat64(generator);
    const options = {
      ...SMALL_DEPLOYMENT,
      controllers: this.pick([1, 3]),
      machineCapacity: this.pick([8, 12, 24]),
      reportS: this.pick([1.5, 2.5, 4]),
      bootS: this.pick([1.5, 8]),
      fetchS: this.pick([0.05, 1]),
      machineZones: this.pick([['east'], ['east', 'west']]),
    };
    this.schedule.push(JSON.stringify(options));
    this.deployment = new SimulatedDeployment(seed, options);
    this.faults = new RandomFaults(this.deployment, this.random, this.schedule);
    if (copiesRequests) this.faults.copyExecutedRequests();
  }

  /** Plays the scenario. */
  async run(): Promise<SoakResult> {
    const { deployment } = this;
    this.scheduleWorkload();
    this.faults.scheduleFaults();
    deployment.faultsEndMs = (LAST_FAULT_S + MAX_FAULT_S) * 1000;
    await deployment.clock.runUntil(END_S * 1000);
    const { violations, startCount, startsAfterCancellation } = deployment.rules;
    const { seed, schedule } = this;
    const { restartCount, taskLosingRestartCount } = this.faults;
    return {
      seed,
      schedule,
      violations,
      startCount,
      startsAfterCancellation,
      restartCount,
      taskLosingRestartCount,
    };
  }

  private scheduleWorkload(): void {
    const { deployment } = this;
    deployment.at(1, () => deployment.submit({ kind: 'service', team: 'red', tasks: 4, cpus: 3 }));
    for (let atS = 3; atS < LAST_FAULT_S; atS += 2 + 4 * this.random()) {
      const job = {
        team: this.pick(['red', 'blue']),
        tasks: 1 + Math.floor(5 * this.random()),
        cpus: this.pick([1, 2, 4]),
        spot: this.random() < 0.3,
        runS: this.pick([5, 15, 40]),
      };
      const cancelAfterS = this.random() < 0.15 ? 20 * this.random() : undefined;
      deployment.at(atS, () => deployment.submit(job, cancelAfterS));
    }
  }

  private pick<T>(values: readonly T[]): T {
    return values[Math.floor(this.random() * values.length)]!;
  }
}

/** Plays the scenario of a seed. If `copiesRequests` is set, late copies of all executed requests arrive, and tasks fail. */
export function runSoakScenario(seed: number, copiesRequests = false): Promise<SoakResult> {
  return new SoakScenario(seed, copiesRequests).run();
}
