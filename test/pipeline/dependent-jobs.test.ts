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
async function sendRequest(deployment: SimulatedDeployment, member: string, path: string, body?: unknown) {
  let response: { status: number; body: string } | undefined;
  const deadlineMs = deployment.clock.steadyMs() + 5_000;
  void deployment
    .sendRequest(member, body ? 'POST' : 'GET', `/submissions${path}`, body)
    .then((answer) => (response = answer));
  while (!response && deployment.clock.steadyMs() < deadlineMs)
    await deployment.clock.runUntil(deployment.clock.steadyMs() + 10);
  const phase = response && (JSON.parse(response.body) as { phase?: string }).phase;
  return { status: response?.status, phase };
}

test('every controller accepts or rejects a submission according to the dependencies that it names', async () => {
  const deployment = new SimulatedDeployment(31);
  deployment.at(2, () => deployment.submit({ tasks: 1, runS: 2 }));
  deployment.at(2, () => deployment.submit({ tasks: 1, runS: 300 }));
  deployment.at(2, () => deployment.submit({ tasks: 1, runS: 300, team: 'red' }, 10));
  deployment.at(2, () => deployment.submit({ kind: 'service', team: 'red', tasks: 1 }));
  await deployment.clock.runUntil(40_000);
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
    for (const member of deployment.members) {
      const { uid } = deployment.registerJob({ runS: 2 });
      const body = {
        ...deployment.encodeSubmission({ uid, runS: 2 }),
        awaits: awaits === 'self' ? [uid] : awaits,
      };
      assert.equal((await sendRequest(deployment, member, '', body)).status, status, `${name} at ${member}`);
      if (phase)
        assert.equal((await sendRequest(deployment, member, `/${uid}`)).phase, phase, `${name} at ${member}`);
      // A repeated submission of an accepted job is answered with the job's state, whatever dependencies it names.
      if (status !== 201) continue;
      const repeat = await sendRequest(deployment, deployment.members[0]!, '', {
        ...body,
        awaits: ['job-777777'],
      });
      assert.equal(repeat.status, 200, name);
    }
  }
  // A controller may reject an unknown dependency only after a read of the state store that began after the request.
  deployment.state.refusedCallers.add('*');
  const submissionDuringOutage = {
    ...deployment.encodeSubmission({ uid: 'job-899999' }),
    awaits: ['job-777777'],
  };
  assert.equal(
    (await sendRequest(deployment, deployment.members[1]!, '', submissionDuringOutage)).status,
    503,
  );
});

test('the longest dependency list that fits into a request can be stored, even under low limits', async () => {
  const deployment = new SimulatedDeployment(32, { ...SMALL_DEPLOYMENT, announcedLimits: LOW_STORE_LIMITS });
  deployment.state.limits = LOW_STORE_LIMITS;
  for (let i = 0; i < 900; i++)
    deployment.at(1 + i * 0.06, () =>
      deployment.submit({ tasks: 1, cpus: 0.01, runS: 1, team: i % 2 ? 'red' : 'blue' }),
    );
  await deployment.clock.runUntil(70_000);
  const dependencies = [...deployment.rules.jobs.keys()];
  const lastJob = deployment.submit({ tasks: 1, runS: 2, deadlineS: 500, dependencies });
  await deployment.clock.runUntil(80_000);
  assert.equal(deployment.rules.jobs.get(lastJob.uid)!.isAccepted, true);
  await deployment.clock.runUntil(180_000);
  assert.ok(deployment.isFinished(lastJob));
  assert.equal(deployment.state.oversizedTransactions, 0);
  assert.deepEqual(deployment.rules.violations, []);
});

/**
 * Users submit the jobs of `count` pipelines. Each job is submitted as soon as its dependencies are accepted. Returns a
 * list that is filled with the last job of each pipeline.
 */
function submitPipelines(deployment: SimulatedDeployment, fromS: number, count: number): SimulatedJob[] {
  const lastJobs: SimulatedJob[] = [];
  for (let i = 0; i < count; i++) {
    const atS = fromS + i * 9;
    deployment.at(atS, () => {
      const firstJob = deployment.submit({ tasks: 2 + (i % 3), cpus: 1, runS: 6, spot: true });
      const areAccepted = (jobs: SimulatedJob[]): boolean =>
        jobs.every(({ uid }) => deployment.rules.jobs.get(uid)!.isAccepted);
      const runOnceAccepted = (jobs: SimulatedJob[], run: () => void): void => {
        if (areAccepted(jobs)) run();
        else deployment.clock.setTimer(200, () => runOnceAccepted(jobs, run));
      };
      runOnceAccepted([firstJob], () => {
        const middleJobs = [0, 1].map(() =>
          deployment.submit({ tasks: 4, cpus: 1, runS: 8, spot: true, dependencies: [firstJob.uid] }),
        );
        runOnceAccepted(middleJobs, () => {
          const joinJob = deployment.submit({
            tasks: 2,
            cpus: 2,
            runS: 5,
            dependencies: middleJobs.map(({ uid }) => uid),
          });
          runOnceAccepted([joinJob], () => {
            const dependencies = [firstJob.uid, joinJob.uid];
            // In some pipelines the last job is submitted only after the others have ended.
            const submitLastJob = (): void =>
              void lastJobs.push(
                deployment.submit({ tasks: 2, cpus: 1, runS: 3, deadlineS: 90, dependencies }),
              );
            if (i % 4 === 3) deployment.clock.setTimer(45_000, submitLastJob);
            else submitLastJob();
            if (i % 5 === 2)
              deployment.clock.setTimer(
                4_000 + deployment.random() * 20_000,
                () => void deployment.cancel(firstJob.uid),
              );
          });
        });
      });
    });
  }
  return lastJobs;
}

const FAULT_SCENARIOS: {
  name: string;
  injectFaults: (deployment: SimulatedDeployment) => void;
  /** Seconds from the start of the simulation after which no more faults occur. */
  faultsEndS: number;
  options?: DeploymentOptions;
}[] = [
  { name: 'no fault', injectFaults: () => undefined, faultsEndS: 10 },
  {
    name: 'leaders crash one after the other',
    injectFaults: (deployment) =>
      [30, 41, 52, 63].forEach((second) =>
        deployment.at(second, () =>
          deployment.crashController(deployment.leader ?? deployment.members[0]!, 1_500),
        ),
      ),
    faultsEndS: 75,
  },
  {
    name: 'delayed transactions and a crash',
    injectFaults: (deployment) => {
      deployment.at(15, () => (deployment.state.delayedTransactionShare = 0.3));
      deployment.at(45, () => deployment.crashController(deployment.leader ?? deployment.members[0]!, 400));
      deployment.at(75, () => (deployment.state.delayedTransactionShare = 0));
    },
    faultsEndS: 95,
  },
  {
    name: 'an outage of the state store, with cancellations shortly before it and a crash during it',
    injectFaults: (deployment) => {
      deployment.at(40, () =>
        deployment.state.refusedCallers.add(deployment.leader ?? deployment.members[0]!),
      );
      deployment.at(40.2, () => {
        for (const [uid, observedJob] of [...deployment.rules.jobs].slice(0, 20))
          if (observedJob.reportedPhase === 'open') void deployment.cancel(uid);
      });
      deployment.at(41.5, () => deployment.state.refusedCallers.add('*'));
      deployment.at(60, () => deployment.crashController(deployment.leader ?? deployment.members[0]!, 500));
      deployment.at(85, () => deployment.state.endOutage());
    },
    faultsEndS: 100,
  },
  {
    name: 'a partition between the zones while spot instances are interrupted',
    injectFaults: (deployment) => {
      deployment.at(35, () => deployment.network.partitionZones());
      deployment.at(45, () =>
        [...deployment.cloud.machines.keys()].slice(0, 4).forEach((host) => deployment.cloud.terminate(host)),
      );
      deployment.at(60, () => deployment.network.heal());
    },
    faultsEndS: 75,
  },
  {
    name: 'lowered limits of the state store, peers of an earlier version, and leader crashes',
    injectFaults: (deployment) => {
      deployment.members.slice(1).forEach((member) => deployment.peers.formerVersionMembers.add(member));
      deployment.at(30, () => deployment.peers.formerVersionMembers.clear());
      deployment.at(32, () => (deployment.state.limits = LOW_STORE_LIMITS));
      [34, 46].forEach((second) =>
        deployment.at(second, () =>
          deployment.crashController(deployment.leader ?? deployment.members[0]!, 800),
        ),
      );
    },
    faultsEndS: 60,
    options: { ...SMALL_DEPLOYMENT, announcedLimits: LOW_STORE_LIMITS },
  },
];

/**
 * Checks that exactly those pipelines were cancelled in which the scenario cancelled a job before it was done, and that
 * enough pipelines were left to end as done.
 */
function checkCancelledPipelines({ rules }: SimulatedDeployment, lastJobs: readonly SimulatedJob[]): void {
  const isCancelled = (uid: string): boolean => {
    const { job, isCancelRequested, reportedPhase } = rules.jobs.get(uid)!;
    return reportedPhase === 'withdrawn' && (isCancelRequested || job.dependencies.some(isCancelled));
  };
  for (const { uid, dependencies } of lastJobs) {
    const { reportedPhase } = rules.jobs.get(uid)!;
    assert.equal(reportedPhase === 'withdrawn', isCancelled(uid), uid);
    if (dependencies.some(isCancelled)) assert.equal(reportedPhase, 'withdrawn', uid);
  }
  const doneCount = lastJobs.filter(({ uid }) => rules.jobs.get(uid)!.reportedPhase === 'done').length;
  assert.ok(doneCount >= lastJobs.length / 2, `only ${doneCount} done`);
}

for (const { name, injectFaults, faultsEndS, options } of FAULT_SCENARIOS) {
  for (const seed of [1, 2]) {
    test(`dependent jobs: ${name} (seed ${seed})`, async () => {
      const deployment = new SimulatedDeployment(seed, options);
      deployment.faultsEndMs = faultsEndS * 1000;
      deployment.at(2, () => deployment.submit({ kind: 'service', team: 'red', tasks: 3, zoneSpread: true }));
      const lastJobs = submitPipelines(deployment, 5, 10);
      injectFaults(deployment);
      await deployment.clock.runUntil(240_000);
      deployment.rules.checkServed(faultsEndS * 1000);
      assert.deepEqual(deployment.rules.violations, []);
      assert.deepEqual(deployment.rules.startsAfterCancellation, []);
      assert.ok(lastJobs.length >= 8, `only ${lastJobs.length} pipelines`);
      assert.deepEqual(
        lastJobs.filter((job) => !deployment.isFinished(job)).map((job) => job.uid),
        [],
      );
      checkCancelledPipelines(deployment, lastJobs);
      assert.equal(deployment.state.oversizedTransactions, 0);
    });
  }
}
