/**
 * Tests that a simulated deployment of 4,000 machines finishes its array jobs within the rate limits of the state
 * service and violates no rule, in spite of crashes, a partition of the zones and an outage of the state service.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedDeployment, type DeploymentOptions } from '../src/simulation/simulated-deployment.js';
import type { SimulatedJob } from '../src/simulation/rule-checker.js';

/** 4,000 machines, with the rate limits of the state service and the cloud of a deployment of that size. */
const LARGE_DEPLOYMENT: DeploymentOptions = {
  controllers: 3,
  machineCapacity: 4000,
  cpuLimitScale: 400,
  rates: { rps: 400, writesPerS: 150, cloudRps: 8 },
};

const sum = (counts: number[]): number => counts.reduce((total, count) => total + (count ?? 0), 0);
const maximum = (counts: number[]): number => counts.reduce((max, count) => Math.max(max, count ?? 0), 0);

function submitWorkload(deployment: SimulatedDeployment): SimulatedJob[] {
  const jobsToFinish: SimulatedJob[] = [];
  for (let i = 0; i < 20; i++)
    deployment.at(2, () =>
      deployment.submit({ kind: 'service', team: 'red', tasks: 20, cpus: 4, zoneSpread: true }),
    );
  for (let i = 0; i < 9; i++)
    deployment.at(4, () =>
      jobsToFinish.push(deployment.submit({ tasks: 400, cpus: 4, runS: 20 + i, deadlineS: 100, spot: true })),
    );
  return jobsToFinish;
}

function checkRates(deployment: SimulatedDeployment): void {
  assert.ok(
    maximum(deployment.state.requestsBySecond) <= 400,
    `${maximum(deployment.state.requestsBySecond)} requests in a second`,
  );
  assert.ok(
    maximum(deployment.state.writesBySecond) <= 150,
    `${maximum(deployment.state.writesBySecond)} writes in a second`,
  );
  // Fifty machines share a record, so their rentals, first reports and ends are written together.
  const writes = sum(deployment.state.writesBySecond);
  assert.ok(
    writes < 2 * deployment.cloud.rentedCount,
    `${writes} writes for ${deployment.cloud.rentedCount} machines`,
  );
}

test('4,000 machines: jobs finish within the rate limits after all controllers crash and the leader crashes while all machines report', async () => {
  const deployment = new SimulatedDeployment(31, LARGE_DEPLOYMENT);
  const jobsToFinish = submitWorkload(deployment);
  let runningMachines = 0;
  deployment.at(33, () => (runningMachines = deployment.cloud.machines.size));
  deployment.at(34, () =>
    deployment.members.forEach((member, i) => deployment.crashController(member, 3000 + i * 300)),
  );
  // The first reports of all machines are in transit to the controller that led until now.
  deployment.at(41, () => deployment.crashController(deployment.leader ?? 'c0', 2000));
  await deployment.clock.runUntil(76_000);
  assert.ok(runningMachines >= 3900, `only ${runningMachines} machines are rented`);
  assert.deepEqual(deployment.rules.violations, []);
  assert.deepEqual(
    jobsToFinish.filter((job) => !deployment.isFinished(job)).map((job) => job.uid),
    [],
  );
  assert.equal(deployment.rules.tasksKilledByLeaseExpiry, 0);
  checkRates(deployment);
});

test('4,000 machines: jobs finish within the rate limits after a partition of zones and a state service outage longer than a lease', async () => {
  const deployment = new SimulatedDeployment(32, LARGE_DEPLOYMENT);
  const jobsToFinish = submitWorkload(deployment);
  deployment.at(28, () => deployment.network.partitionZones());
  deployment.at(36, () => deployment.network.heal());
  deployment.at(40, () => deployment.state.refusedCallers.add('*'));
  deployment.at(57, () => deployment.state.endOutage());
  await deployment.clock.runUntil(80_000);
  assert.deepEqual(deployment.rules.violations, []);
  assert.deepEqual(
    jobsToFinish.filter((job) => !deployment.isFinished(job)).map((job) => job.uid),
    [],
  );
  assert.equal(deployment.rules.tasksKilledByLeaseExpiry, 0);
  checkRates(deployment);
});
