import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  SimulatedDeployment,
  SMALL_DEPLOYMENT,
  type DeploymentOptions,
} from '../../src/simulation/simulated-deployment.js';
import type { SimulatedJob } from '../../src/simulation/rule-checker.js';

/** Simulation scenarios in which users submit jobs that depend on other jobs. */

const LOW_STORE_LIMITS = { valueBytes: 2048, maxTransactionOperations: 4 };

/** Sends a user request, and runs the simulation until it is answered or 5 seconds have passed. */
async function sendRequest(day: SimulatedDeployment, member: string, path: string, body?: unknown) {
  let response: { status: number; body: string } | undefined;
  const deadlineMs = day.clock.steadyMs() + 5_000;
  void day
    .sendRequest(member, body ? 'POST' : 'GET', `/submissions${path}`, body)
    .then((answer) => (response = answer));
  while (!response && day.clock.steadyMs() < deadlineMs) await day.clock.runUntil(day.clock.steadyMs() + 10);
  const phase = response && (JSON.parse(response.body) as { phase?: string }).phase;
  return { status: response?.status, phase };
}

test('every controller answers submissions with dependencies as expected', async () => {
  const day = new SimulatedDeployment(31);
  day.at(2, () => day.submit({ tasks: 1, runS: 2 }));
  day.at(2, () => day.submit({ tasks: 1, runS: 300 }));
  day.at(2, () => day.submit({ tasks: 1, runS: 300, team: 'red' }, 10));
  day.at(2, () => day.submit({ kind: 'service', team: 'red', tasks: 1 }));
  await day.clock.runUntil(40_000);
  const [done, running, cancelled, service] = ['job-000001', 'job-000002', 'job-000003', 'job-000004'];
  const cases: [name: string, awaits: unknown, status: number, phase?: string][] = [
    ['null as the list', null, 201, 'pending'],
    ['an empty list', [], 201, 'pending'],
    ['a job that is done', [done], 201],
    ['a running job of another team', [running], 201, 'pending'],
    ['the same job twice', [running, running], 201, 'pending'],
    ['a cancelled job, which does not prevent acceptance', [done, cancelled], 201, 'withdrawn'],
    ['a job that was never accepted', [done, 'job-777777'], 422],
    ['the submitted job itself', 'self', 422],
    ['a service', [service], 422],
    ['not a list', running, 400],
    ['a list of numbers', [7], 400],
    ['a malformed id', ['nonsense'], 400],
  ];
  for (const [name, awaits, status, phase] of cases) {
    for (const member of day.members) {
      const { uid } = day.registerJob({ runS: 2 });
      const body = { ...day.encodeSubmission({ uid, runS: 2 }), awaits: awaits === 'self' ? [uid] : awaits };
      assert.equal((await sendRequest(day, member, '', body)).status, status, `${name} at ${member}`);
      if (phase)
        assert.equal((await sendRequest(day, member, `/${uid}`)).phase, phase, `${name} at ${member}`);
      // A repeated submission of an accepted job is answered with the job's state, whatever dependencies it names.
      if (status !== 201) continue;
      const repeat = await sendRequest(day, day.members[0]!, '', { ...body, awaits: ['job-777777'] });
      assert.equal(repeat.status, 200, name);
    }
  }
  // A controller may reject an unknown dependency only after a read of the state store that began after the request.
  day.state.refusedCallers.add('*');
  const submissionDuringOutage = { ...day.encodeSubmission({ uid: 'job-899999' }), awaits: ['job-777777'] };
  assert.equal((await sendRequest(day, day.members[1]!, '', submissionDuringOutage)).status, 503);
});

test('the longest dependency list that fits into a request can be stored, even under low limits', async () => {
  const day = new SimulatedDeployment(32, { ...SMALL_DEPLOYMENT, announcedLimits: LOW_STORE_LIMITS });
  day.state.limits = LOW_STORE_LIMITS;
  for (let i = 0; i < 900; i++)
    day.at(1 + i * 0.06, () => day.submit({ tasks: 1, cpus: 0.01, runS: 1, team: i % 2 ? 'red' : 'blue' }));
  await day.clock.runUntil(70_000);
  const dependencies = [...day.rules.jobs.keys()];
  const lastJob = day.submit({ tasks: 1, runS: 2, deadlineS: 500, dependencies });
  await day.clock.runUntil(80_000);
  assert.equal(day.rules.jobs.get(lastJob.uid)!.isAccepted, true);
  await day.clock.runUntil(180_000);
  assert.ok(day.isFinished(lastJob));
  assert.equal(day.state.oversizedTransactions, 0);
  assert.deepEqual(day.rules.violations, []);
});

/**
 * Users submit the jobs of `count` pipelines. Each job is submitted as soon as its dependencies are accepted. Returns a
 * list that is filled with the last job of each pipeline.
 */
function submitPipelines(day: SimulatedDeployment, fromS: number, count: number): SimulatedJob[] {
  const lastJobs: SimulatedJob[] = [];
  for (let i = 0; i < count; i++) {
    const atS = fromS + i * 9;
    day.at(atS, () => {
      const firstJob = day.submit({ tasks: 2 + (i % 3), cpus: 1, runS: 6, spot: true });
      const areAccepted = (jobs: SimulatedJob[]): boolean =>
        jobs.every(({ uid }) => day.rules.jobs.get(uid)!.isAccepted);
      const runOnceAccepted = (jobs: SimulatedJob[], run: () => void): void => {
        if (areAccepted(jobs)) run();
        else day.clock.setTimer(200, () => runOnceAccepted(jobs, run));
      };
      runOnceAccepted([firstJob], () => {
        const middleJobs = [0, 1].map(() =>
          day.submit({ tasks: 4, cpus: 1, runS: 8, spot: true, dependencies: [firstJob.uid] }),
        );
        runOnceAccepted(middleJobs, () => {
          const joinJob = day.submit({
            tasks: 2,
            cpus: 2,
            runS: 5,
            dependencies: middleJobs.map(({ uid }) => uid),
          });
          runOnceAccepted([joinJob], () => {
            const dependencies = [firstJob.uid, joinJob.uid];
            // In some pipelines the last job is submitted only after the others have ended.
            const submitLastJob = (): void =>
              void lastJobs.push(day.submit({ tasks: 2, cpus: 1, runS: 3, deadlineS: 90, dependencies }));
            if (i % 4 === 3) day.clock.setTimer(45_000, submitLastJob);
            else submitLastJob();
            if (i % 5 === 2)
              day.clock.setTimer(4_000 + day.random() * 20_000, () => void day.cancel(firstJob.uid));
          });
        });
      });
    });
  }
  return lastJobs;
}

const FAULT_SCENARIOS: {
  name: string;
  injectFaults: (day: SimulatedDeployment) => void;
  /** Seconds from the start of the simulation after which no more faults occur. */
  calmS: number;
  options?: DeploymentOptions;
}[] = [
  { name: 'no fault', injectFaults: () => undefined, calmS: 10 },
  {
    name: 'leaders crash one after the other',
    injectFaults: (day) =>
      [30, 41, 52, 63].forEach((second) =>
        day.at(second, () => day.crashController(day.leader ?? day.members[0]!, 1_500)),
      ),
    calmS: 75,
  },
  {
    name: 'delayed transactions and a crash',
    injectFaults: (day) => {
      day.at(15, () => (day.state.delayedTransactionShare = 0.3));
      day.at(45, () => day.crashController(day.leader ?? day.members[0]!, 400));
      day.at(75, () => (day.state.delayedTransactionShare = 0));
    },
    calmS: 95,
  },
  {
    name: 'an outage of the state store, with cancellations shortly before it and a crash during it',
    injectFaults: (day) => {
      day.at(40, () => day.state.refusedCallers.add(day.leader ?? day.members[0]!));
      day.at(40.2, () => {
        for (const [uid, observedJob] of [...day.rules.jobs].slice(0, 20))
          if (observedJob.reportedPhase === 'open') void day.cancel(uid);
      });
      day.at(41.5, () => day.state.refusedCallers.add('*'));
      day.at(60, () => day.crashController(day.leader ?? day.members[0]!, 500));
      day.at(85, () => day.state.endOutage());
    },
    calmS: 100,
  },
  {
    name: 'a partition between the zones while spot instances are interrupted',
    injectFaults: (day) => {
      day.at(35, () => day.network.partitionZones());
      day.at(45, () =>
        [...day.cloud.machines.keys()].slice(0, 4).forEach((host) => day.cloud.terminate(host)),
      );
      day.at(60, () => day.network.heal());
    },
    calmS: 75,
  },
  {
    name: 'lowered limits of the state store, peers of an earlier version, and leader crashes',
    injectFaults: (day) => {
      day.members.slice(1).forEach((member) => day.peers.formerVersionMembers.add(member));
      day.at(30, () => day.peers.formerVersionMembers.clear());
      day.at(32, () => (day.state.limits = LOW_STORE_LIMITS));
      [34, 46].forEach((second) =>
        day.at(second, () => day.crashController(day.leader ?? day.members[0]!, 800)),
      );
    },
    calmS: 60,
    options: { ...SMALL_DEPLOYMENT, announcedLimits: LOW_STORE_LIMITS },
  },
];

for (const { name, injectFaults, calmS, options } of FAULT_SCENARIOS) {
  for (const seed of [1, 2]) {
    test(`dependent jobs: ${name} (seed ${seed})`, async () => {
      const day = new SimulatedDeployment(seed, options);
      day.faultsEndMs = calmS * 1000;
      day.at(2, () => day.submit({ kind: 'service', team: 'red', tasks: 3, zoneSpread: true }));
      const lastJobs = submitPipelines(day, 5, 10);
      injectFaults(day);
      await day.clock.runUntil(240_000);
      day.rules.checkServed(calmS * 1000);
      assert.deepEqual(day.rules.violations, []);
      assert.deepEqual(day.rules.startsAfterCancellation, []);
      assert.ok(lastJobs.length >= 8, `only ${lastJobs.length} pipelines`);
      assert.deepEqual(
        lastJobs.filter((job) => !day.isFinished(job)).map((job) => job.uid),
        [],
      );
      const cancelledCount = lastJobs.filter(
        (job) => day.rules.jobs.get(job.uid)!.reportedPhase === 'withdrawn',
      ).length;
      assert.ok(cancelledCount < lastJobs.length / 2, `${cancelledCount} cancelled`);
      assert.equal(day.state.oversizedTransactions, 0);
    });
  }
}
