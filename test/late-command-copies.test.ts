/**
 * Direct calls to workers that arrive once more after they were carried out and answered, also after the attempts that they
 * concern have ended.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedDeployment, SMALL_DEPLOYMENT } from '../src/simulation/simulated-deployment.js';
import { findKnownRed } from './support/known-red.js';

const SEEDS = [1, 2, 3, 4, 5];
/** Second after which no job is submitted. */
const LAST_SUBMISSION_S = 90;
/** Second at which the scenarios end. */
const END_S = 150;
/** Delay of a copy in milliseconds: from a second to several leases. */
const COPY_DELAY_MS = { min: 1_000, max: 41_000 };

/** Creates a deployment in which a copy of each direct call arrives once more. */
function createDeployment(seed: number): SimulatedDeployment {
  const options = { ...SMALL_DEPLOYMENT, machineZones: ['east'], fetchS: 0.05, reportS: 2.5 };
  const deployment = new SimulatedDeployment(seed, options);
  deployment.network.copyExecutedRequests({
    select: ({ target }) => target === '/orders',
    drawDelaysMs: () => [
      COPY_DELAY_MS.min + (COPY_DELAY_MS.max - COPY_DELAY_MS.min) * deployment.random() ** 2,
    ],
  });
  return deployment;
}

/** Submits an array every few seconds. If `cancelAfterS` is given, each is cancelled that long after its acceptance. */
function submitArrays(deployment: SimulatedDeployment, runS: number, cancelAfterS?: number): void {
  for (let atS = 1; atS < LAST_SUBMISSION_S; atS += 5)
    deployment.at(atS, () => deployment.submit({ tasks: 3, cpus: 2, runS }, cancelAfterS));
}

/** Plays a scenario for each seed, and checks that it broke no rule and started no cancelled task. */
function testScenario(name: string, schedule: (deployment: SimulatedDeployment) => void): void {
  test(name, { todo: findKnownRed(name) }, async () => {
    const broken: string[] = [];
    for (const seed of SEEDS) {
      const deployment = createDeployment(seed);
      schedule(deployment);
      await deployment.clock.runUntil(END_S * 1_000);
      const { violations, startsAfterCancellation, startCount } = deployment.rules;
      assert.ok(startCount >= 40, `seed ${seed}: only ${startCount} tasks started`);
      for (const violation of violations) broken.push(`seed ${seed}: ${violation}`);
      for (const start of startsAfterCancellation)
        broken.push(`seed ${seed}: ${start} after its cancellation`);
    }
    assert.deepEqual(broken, []);
  });
}

testScenario('a late copy of an executed start starts no task that has moved', (deployment) => {
  deployment.taskFaults.failedShare = 0.4;
  submitArrays(deployment, 30);
});

testScenario('a late copy of an executed start starts no task that was cancelled', (deployment) => {
  submitArrays(deployment, 60, 4);
});

testScenario('a late copy of an executed start starts no task on a machine that is back', (deployment) => {
  submitArrays(deployment, 20);
  for (let atS = 20; atS < LAST_SUBMISSION_S; atS += 3)
    deployment.at(atS, () => {
      const workers = [...deployment.cloud.machines.values()].flatMap(({ worker }) => worker ?? []);
      workers[Math.floor(deployment.random() * workers.length)]?.restart();
    });
});
