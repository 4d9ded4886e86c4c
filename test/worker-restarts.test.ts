/**
 * Machines restart, and their new workers count incarnations and messages from the start again. The fencing token that
 * the former worker had seen is lost as well.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { SimulatedWorker } from '../src/simulation/simulated-worker.js';
import { SimulatedDeployment, SMALL_DEPLOYMENT } from '../src/simulation/simulated-deployment.js';

/** Seconds between two reports of a worker. */
const REPORT_S = 4;
/** Time since the last response at which machines restart. It is longer than the fetch of an image takes. */
const MIN_LEASE_AGE_MS = 3_500;

/** Lists the workers that run tasks of the job. */
const listWorkersOf = (deployment: SimulatedDeployment, uid: string): SimulatedWorker[] =>
  [...deployment.rules.jobs.get(uid)!.runningTasks.values()].map(
    ({ node }) => deployment.cloud.machines.get(node)!.worker!,
  );

/**
 * Guards against tasks that run twice (rule `ran_twice`): a direct call starts a task on a new worker whose messages look
 * like late copies of the former worker's, and the leader counts the lease of the task from its last response to the
 * former worker.
 */
for (const seed of [1, 2, 3, 4, 5]) {
  test(`tasks that start on machines which have just restarted together run once (seed ${seed})`, async () => {
    const deployment = new SimulatedDeployment(seed, {
      ...SMALL_DEPLOYMENT,
      // A relay would make the leader count each lease for longer.
      controllers: 1,
      reportS: REPORT_S,
      machineCapacity: 8,
      machineZones: ['east'],
    });
    // Only the three machines of the second service have room for the array until the first service is cancelled.
    const fullService = deployment.submit({ kind: 'service', tasks: 5, cpus: 4 });
    const service = deployment.submit({ kind: 'service', team: 'red', tasks: 3, cpus: 3 });
    await deployment.clock.runUntil(60_000);
    const workers = listWorkersOf(deployment, service.uid);
    assert.equal(workers.length, 3);
    // The restart comes long after the last response to one of the workers.
    while (!workers.some(({ leaseAgeMs }) => leaseAgeMs > MIN_LEASE_AGE_MS))
      await deployment.clock.runUntil(deployment.clock.steadyMs() + 10);
    for (const worker of workers) worker.restart();
    const array = deployment.submit({ tasks: 3, cpus: 1, runS: 60 });
    await deployment.clock.runUntil(deployment.clock.steadyMs() + 5_000);
    void deployment.cancel(fullService.uid);
    await deployment.clock.runUntil(180_000);
    assert.deepEqual(deployment.rules.violations, []);
    assert.ok(deployment.isFinished(array));
  });
}
