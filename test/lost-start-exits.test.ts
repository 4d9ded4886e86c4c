/**
 * Tasks whose direct starts were lost. After their exit they stay on their worker's list, because a start command that
 * arrives late has to find them there.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedDeployment, SMALL_DEPLOYMENT } from '../src/simulation/simulated-deployment.js';

/** Longer than the timeout of a direct call, and shorter than the time after which a job is rescheduled. */
const CUT_MS = 6_500;

/**
 * Guards against machines that are rented for ever: an exited task that could not be acknowledged before the end of the
 * term kept its machine from counting as idle. Of these seeds, 2, 4 and 6 draw such a start.
 */
for (const seed of [1, 2, 3, 4, 5, 6]) {
  test(`a machine with nothing but exited tasks is returned, though their starts were lost (seed ${seed})`, async () => {
    const deployment = new SimulatedDeployment(seed, { ...SMALL_DEPLOYMENT, machineZones: ['east'] });
    const jobs = [deployment.submit({ tasks: 2, runS: 10 })];
    await deployment.clock.runUntil(40_000);
    // The leader's calls to the machines arrive late, while heartbeats reach it through other controllers.
    for (const name of deployment.cloud.machines.keys())
      deployment.network.partition(deployment.leader!, name);
    jobs.push(deployment.submit({ tasks: 2, runS: 10 }));
    await deployment.clock.runUntil(40_000 + CUT_MS);
    deployment.network.heal();
    await deployment.clock.runUntil(300_000);
    assert.deepEqual(deployment.rules.violations, []);
    assert.ok(jobs.every((job) => deployment.isFinished(job)));
    assert.deepEqual([...deployment.cloud.machines.keys()], [], 'machines still rented');
  });
}
