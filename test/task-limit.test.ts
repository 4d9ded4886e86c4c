/**
 * Bursts of small tasks on large machines. A worker's heartbeat lists all tasks on its machine, and a request has at most
 * 64 KiB, so the number of tasks on a machine is limited, whatever their resources.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  ATTEMPT_NUMBERS_PER_TERM,
  MAX_BODY_BYTES,
  MAX_TASKS_PER_JOB,
  MAX_TASKS_PER_NODE,
} from '../src/constants.js';
import type { MachineType } from '../src/simulation/deployment-options.js';
import type { SimulatedJob } from '../src/simulation/rule-checker.js';
import { SimulatedDeployment } from '../src/simulation/simulated-deployment.js';
import { MessageSizes } from './support/message-sizes.js';

/** A machine that has room for thousands of small tasks by its processors and its memory. */
const LARGE_MACHINE_TYPE: MachineType = { sku: 'g8', cpus: 96, memGb: 768, bootS: 2, price: 12 };
const SMALL_TASK = { cpus: 0.05, memGb: 0.1 };
const SMALLEST_TASK = { cpus: 0.001, memGb: 0.001 };
/** When the jobs are submitted, in milliseconds. */
const BURST_MS = 20_000;

interface BurstCase {
  readonly name: string;
  readonly jobs: readonly Partial<SimulatedJob>[];
  /** Machines that the cloud rents out at the same time. Defaults to 12. */
  readonly machineCapacity?: number;
  /** Most machines that may be rented for the jobs. */
  readonly maxRented: number;
  /** Faults after the jobs were submitted. */
  readonly disturb?: (deployment: SimulatedDeployment, jobs: readonly SimulatedJob[]) => Promise<void> | void;
  /** Whether tasks may start twice, one after the other. */
  readonly allowsRestarts?: boolean;
}

const FOUR_ARRAYS = Array.from({ length: 4 }, () => ({ ...SMALL_TASK, tasks: 450, runS: 30 }));
const FOUR_ARRAYS_MACHINES = Math.ceil((4 * 450) / MAX_TASKS_PER_NODE) + 1;

const CASES: readonly BurstCase[] = [
  {
    // Guards against machines rented in vain: scaling out did not know that the next scheduling cycle goes on.
    name: 'more tasks than one scheduling cycle starts, with room for all of them on one machine',
    jobs: [{ ...SMALL_TASK, tasks: MAX_TASKS_PER_NODE - 5, runS: 30, deadlineS: 60 }],
    maxRented: 1,
  },
  { name: 'four arrays of small tasks at once', jobs: FOUR_ARRAYS, maxRented: FOUR_ARRAYS_MACHINES },
  {
    name: 'as many tasks of the smallest size as a job may have',
    jobs: [{ ...SMALLEST_TASK, tasks: MAX_TASKS_PER_JOB, runS: 4 }],
    machineCapacity: 24,
    maxRented: 24,
  },
  {
    name: 'tasks that run for a second',
    jobs: [{ ...SMALLEST_TASK, tasks: 5_000, runS: 1 }],
    maxRented: 12,
  },
  {
    name: 'the longest job ids',
    jobs: FOUR_ARRAYS.map((job, index) => ({ ...job, uid: `job-${String(index).padStart(40, '9')}` })),
    maxRented: FOUR_ARRAYS_MACHINES,
  },
  {
    name: 'a leader that ends in the burst',
    jobs: FOUR_ARRAYS,
    maxRented: FOUR_ARRAYS_MACHINES,
    disturb: async (deployment) => {
      await deployment.clock.runUntil(BURST_MS + 1_500);
      deployment.crashController(deployment.leader!, 300);
      await deployment.clock.runUntil(BURST_MS + 9_000);
      deployment.crashController(deployment.leader!, 4_000);
    },
  },
  {
    name: 'cancellation in the burst',
    jobs: FOUR_ARRAYS,
    maxRented: FOUR_ARRAYS_MACHINES,
    disturb: async (deployment, jobs) => {
      await deployment.clock.runUntil(BURST_MS + 4_000);
      for (const { uid } of jobs.slice(0, 2)) void deployment.cancel(uid);
    },
  },
];

/** Plays a burst beside a service of another team, until all jobs are done or the time is over. */
async function playBurst(burst: BurstCase, seed: number) {
  const sizes = new MessageSizes();
  const deployment = new SimulatedDeployment(seed, {
    controllers: 3,
    machineCapacity: burst.machineCapacity ?? 12,
    cpuLimitScale: 10,
    machineType: LARGE_MACHINE_TYPE,
    minReportIntervalS: 0.5,
    createObserver: () => sizes,
  });
  deployment.faultsEndMs = BURST_MS + 30_000;
  const service = deployment.submit({ kind: 'service', team: 'red', tasks: 1, cpus: 2 });
  await deployment.clock.runUntil(BURST_MS);
  const jobs = burst.jobs.map((job) => deployment.submit(job));
  await burst.disturb?.(deployment, jobs);
  while (deployment.clock.steadyMs() < 300_000 && !jobs.every((job) => deployment.isFinished(job)))
    await deployment.clock.runUntil(deployment.clock.steadyMs() + 1_000);
  return { deployment, jobs, service, sizes };
}

/**
 * Guards against machines that are lost with all their tasks, again and again: they got so many small tasks that their
 * heartbeats exceeded the size limit of a request and were refused by all controllers.
 */
for (const burst of CASES) {
  test(`a burst of small tasks is completed: ${burst.name}`, async () => {
    const { deployment, jobs, service, sizes } = await playBurst(burst, 1);
    const { rules, cloud } = deployment;
    assert.equal(sizes.refusedHeartbeats, 0, 'heartbeats refused for their size');
    assert.deepEqual(rules.violations, []);
    assert.deepEqual(
      jobs.filter((job) => !deployment.isFinished(job)).map(({ uid }) => uid),
      [],
    );
    assert.ok(sizes.largest <= MAX_BODY_BYTES, `${sizes.largest} bytes`);
    assert.equal(rules.tasksKilledWithMachine, 0, 'tasks ended because their machine was returned');
    assert.equal(rules.tasksKilledByLeaseExpiry, 0, 'tasks ended because a lease expired');
    if (!burst.allowsRestarts) assert.equal(rules.restartCount, 0, 'tasks started again');
    assert.equal(rules.jobs.get(service.uid)!.runningTasks.size, 1, 'running replicas of the service');
    assert.ok(cloud.rentedCount <= burst.maxRented, `${cloud.rentedCount} machines rented`);
  });
}

/** Number of tasks that a machine gets beside those that the leader places on it. */
const EXCESS_TASKS = 1_000;
const EXCESS_TASKS_PER_CALL = 200;

/** Starts tasks on a machine as a leader would that does not limit their number. */
async function startExcessTasks(
  deployment: SimulatedDeployment,
  uid: string,
  firstTask: number,
): Promise<void> {
  const { term } = deployment.state.getValue('ph/leader') as { term: number };
  const { worker } = [...deployment.cloud.machines.values()][0]!;
  const client = deployment.network.createHttpClient('former-leader', () => true);
  for (let start = 0; start < EXCESS_TASKS; start += EXCESS_TASKS_PER_CALL) {
    const orders = Array.from({ length: EXCESS_TASKS_PER_CALL }, (_, i) => ({
      verb: 'run',
      piece: `${uid}/${firstTask + start + i}`,
      try: (term + 1) * ATTEMPT_NUMBERS_PER_TERM - EXCESS_TASKS + start + i,
    }));
    const body = JSON.stringify({ baton: term, tenure: worker!.sessionNumber, orders });
    const response = client.call(worker!.address, 'POST', '/orders', body, 1_000);
    await deployment.clock.runUntil(deployment.clock.steadyMs() + 20);
    assert.equal((await response).status, 200);
  }
}

/**
 * Guards against machines that are lost with all their tasks because a leader without a limit, for example one of a former
 * version, has started too many tasks on them.
 */
for (const hasNewLeader of [false, true]) {
  const name = hasNewLeader ? 'a new leader finds it' : 'its leader goes on';
  test(`a machine that holds too many tasks keeps them: ${name}`, async () => {
    const sizes = new MessageSizes();
    const deployment = new SimulatedDeployment(1, {
      controllers: 3,
      machineCapacity: 1,
      cpuLimitScale: 10,
      machineType: LARGE_MACHINE_TYPE,
      minReportIntervalS: 0.5,
      createObserver: () => sizes,
    });
    const job = deployment.submit({
      ...SMALL_TASK,
      tasks: MAX_TASKS_PER_NODE + EXCESS_TASKS + 100,
      runS: 60,
    });
    await deployment.clock.runUntil(BURST_MS);
    await startExcessTasks(deployment, job.uid, MAX_TASKS_PER_NODE + 100);
    if (hasNewLeader) deployment.crashController(deployment.leader!, 5_000);
    await deployment.clock.runUntil(BURST_MS + 5_000);
    const { rules, cloud } = deployment;
    assert.equal(rules.jobs.get(job.uid)!.runningTasks.size, MAX_TASKS_PER_NODE + EXCESS_TASKS);
    await deployment.clock.runUntil(260_000);
    assert.ok(sizes.largestHeartbeat > MAX_BODY_BYTES, `largest heartbeat: ${sizes.largestHeartbeat} bytes`);
    assert.equal(sizes.refusedHeartbeats, 0, 'heartbeats refused for their size');
    assert.deepEqual(rules.violations, []);
    assert.ok(deployment.isFinished(job));
    assert.equal(rules.tasksKilledWithMachine, 0, 'tasks ended because their machine was returned');
    assert.equal(rules.tasksKilledByLeaseExpiry, 0, 'tasks ended because a lease expired');
    assert.equal(rules.restartCount, 0, 'tasks started again');
    assert.equal(cloud.rentedCount, 1);
  });
}
