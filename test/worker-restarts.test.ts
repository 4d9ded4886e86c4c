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

/** Lets simulated time pass until the promise is settled, and returns its result. */
async function runUntilSettled<T>(deployment: SimulatedDeployment, promise: Promise<T>): Promise<T> {
  let isSettled = false;
  void promise.finally(() => (isSettled = true));
  while (!isSettled) await deployment.clock.runUntil(deployment.clock.steadyMs() + 10);
  return promise;
}

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

/**
 * Guards against tasks that run twice (rule `ran_twice`): a late copy of a report that no controller has seen, sent by the
 * former worker after a change of leader, looks newer than all reports of the new worker, and its list lacks their tasks.
 */
for (const seed of [1, 2, 3]) {
  test(`a late copy of a former worker's report frees no task of the new worker (seed ${seed})`, async () => {
    const deployment = new SimulatedDeployment(seed, { ...SMALL_DEPLOYMENT, machineZones: ['east'] });
    const otherService = deployment.submit({ kind: 'service', tasks: 3, cpus: 4 });
    await deployment.clock.runUntil(20_000);
    const service = deployment.submit({ kind: 'service', tasks: 3, cpus: 4 });
    await deployment.clock.runUntil(40_000);
    const workers = listWorkersOf(deployment, service.uid);
    assert.equal(workers.length, 3);
    // The new leader knows the new workers only, and gives them the token of its term and tasks.
    for (const member of deployment.members) deployment.crashController(member, 300);
    await deployment.clock.runUntil(40_500);
    for (const worker of workers) worker.restart();
    await deployment.clock.runUntil(68_000);
    // The machines of the other service have room, and are filled first because they are older.
    void deployment.cancel(otherService.uid);
    await deployment.clock.runUntil(70_000);
    const record = deployment.state.getValue('ph/leader') as { member: string; term: number };
    const [index, { node }] = [...deployment.rules.jobs.get(service.uid)!.runningTasks][0]!;
    const { machine, address } = workers.find((worker) => worker.machine.name === node)!;
    const lateReport = {
      hearth: node,
      address,
      build: machine.instanceType,
      yard: machine.zone,
      loaner: false,
      tenure: 1,
      tick: 1_000,
      baton: record.term,
      warningS: null,
      // The attempt of the former worker, which ended when the machine restarted.
      pieces: [{ piece: `${service.uid}/${index}`, try: 1, phase: 'running' }],
    };
    const response = await runUntilSettled(
      deployment,
      deployment.sendRequest(record.member, 'POST', '/v1/report', lateReport),
    );
    await deployment.clock.runUntil(130_000);
    assert.deepEqual(deployment.rules.violations, []);
    assert.equal(response?.status, 503);
    assert.ok(!deployment.cloud.machines.has(node), 'the machine is still rented');
    assert.equal(listWorkersOf(deployment, service.uid).length, 3);
  });
}

/**
 * Guards against machines that are neither used nor returned after they restarted together: their new workers had not seen
 * the token of the term, were never shown it again, and looked like machines that a partition cuts off.
 */
for (const seed of [1, 2, 3]) {
  test(`machines that restart together are used again or replaced (seed ${seed})`, async () => {
    const options = { ...SMALL_DEPLOYMENT, machineCapacity: 8, machineZones: ['east'] };
    const deployment = new SimulatedDeployment(seed, options);
    const fullService = deployment.submit({ kind: 'service', tasks: 5, cpus: 4 });
    const service = deployment.submit({ kind: 'service', team: 'red', tasks: 3, cpus: 4 });
    await deployment.clock.runUntil(60_000);
    const workers = listWorkersOf(deployment, service.uid);
    assert.equal(workers.length, 3);
    for (const worker of workers) worker.restart();
    await deployment.clock.runUntil(120_000);
    assert.deepEqual(deployment.rules.violations, []);
    assert.equal(listWorkersOf(deployment, fullService.uid).length, 5);
    assert.equal(listWorkersOf(deployment, service.uid).length, 3);
  });
}

/**
 * Guards against machines that are neither used nor returned after they came up while the leader could not answer: the time
 * for which new workers are shown the token began with a heartbeat that got no answer, and never again.
 */
for (const seed of [1, 3, 4]) {
  test(`machines that come up while no controller may answer them are used afterwards (seed ${seed})`, async () => {
    const deployment = new SimulatedDeployment(seed, { ...SMALL_DEPLOYMENT, machineCapacity: 6 });
    const array = deployment.submit({ tasks: 6, cpus: 4, runS: 20 });
    await deployment.clock.runUntil(6_000);
    assert.equal(deployment.cloud.machines.size, 6);
    // Without the state service and the votes of the others, the leader's authority ends, and begins again later.
    const leader = deployment.leader ?? '';
    for (const member of deployment.members)
      if (member !== leader) deployment.network.partition(leader, member);
    deployment.state.refusedCallers.add('*');
    await deployment.clock.runUntil(30_000);
    assert.equal(deployment.rules.startCount, 0);
    deployment.network.heal();
    deployment.state.endOutage();
    await deployment.clock.runUntil(100_000);
    assert.equal(deployment.leader, leader);
    assert.deepEqual(deployment.rules.violations, []);
    assert.ok(deployment.isFinished(array));
  });
}
