import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { HttpResponse } from '../src/http/message.js';
import { SimulatedDeployment } from '../src/simulation/simulated-deployment.js';
import type { SimulatedJob } from '../src/simulation/rule-checker.js';

/**
 * Tests what users read from several controllers at once, after writes with unknown outcome, and under a high rate of
 * short jobs.
 */

const parsePhase = (response: HttpResponse | undefined): string | undefined =>
  response?.status === 200 || response?.status === 201
    ? (JSON.parse(response.body) as { phase: string }).phase
    : undefined;

/** Makes the state service execute a share of the transactions without answering them. */
function loseTransactionResponses(deployment: SimulatedDeployment, getShare: () => number): void {
  const handle = deployment.state.handle.bind(deployment.state);
  deployment.state.handle = async (from, method, target, body) => {
    const response = await handle(from, method, target, body);
    return target === '/multi' && deployment.random() < getShare() ? undefined : response;
  };
}

/** Polls the job and repeats its submission at all controllers at once, checks the phases and records them. */
function requestFromAllMembers(
  deployment: SimulatedDeployment,
  job: SimulatedJob,
  expectedPhases: readonly string[],
  observedPhases: string[],
): void {
  for (const member of deployment.members) {
    for (const [method, path, body] of [
      ['GET', `/submissions/${job.uid}`, undefined],
      ['POST', '/submissions', deployment.encodeSubmission(job)],
    ] as const) {
      void deployment.sendRequest(member, method, path, body).then((response) => {
        if (!response || response.status === 503) return;
        const phase = parsePhase(response);
        observedPhases.push(phase ?? String(response.status));
        if (method === 'POST') deployment.rules.recordSubmissionResponse(job.uid, response.status);
        deployment.rules.recordStatusResponse(job.uid, response.status, phase);
        // The user may have cancelled the job since the request was sent.
        const isCancelled = deployment.rules.jobs.get(job.uid)!.isCancelRequested && phase === 'withdrawn';
        const isExpected = phase !== undefined && expectedPhases.includes(phase);
        assert.ok(isExpected || isCancelled, `${job.uid}: ${response.status} ${phase}`);
      });
    }
  }
}

const NOT_CANCELLED_PHASES = ['pending', 'running', 'done'];

// Guards against stale reads: an answer about an unfinished job must rest on a read of the state service that began
// after the request arrived.
for (const losesResponses of [false, true]) {
  test(`every controller reports the current phase right after each answer${losesResponses ? ', while responses of the state service are lost' : ''}`, async () => {
    const deployment = new SimulatedDeployment(7);
    const observedPhases: string[] = [];
    if (losesResponses) loseTransactionResponses(deployment, () => 0.2);
    const submitAt = (second: number, shouldCancel: boolean): void =>
      deployment.at(second, () => {
        const job = deployment.registerJob({ tasks: 1, cpus: 1, runS: shouldCancel ? 200 : 4 });
        const member = deployment.members[second % 3]!;
        const submit = async (): Promise<void> => {
          const response = await deployment.sendRequest(
            member,
            'POST',
            '/submissions',
            deployment.encodeSubmission(job),
          );
          if (parsePhase(response) === undefined)
            return void deployment.clock.setTimer(1000, () => void submit());
          deployment.rules.recordSubmissionResponse(job.uid, response!.status);
          requestFromAllMembers(deployment, job, NOT_CANCELLED_PHASES, observedPhases);
          if (shouldCancel) deployment.clock.setTimer(second % 2 ? 1 : 6000, () => void cancel());
          else await pollUntilDone();
        };
        const cancel = async (): Promise<void> => {
          deployment.rules.recordCancelRequest(job.uid);
          const response = await deployment.sendRequest(member, 'POST', `/submissions/${job.uid}/abort`);
          const phase = parsePhase(response);
          if (phase === undefined) return void deployment.clock.setTimer(1000, () => void cancel());
          deployment.rules.recordStatusResponse(job.uid, response!.status, phase);
          requestFromAllMembers(deployment, job, ['withdrawn'], observedPhases);
        };
        const pollUntilDone = async (): Promise<void> => {
          const phase = parsePhase(await deployment.sendRequest(member, 'GET', `/submissions/${job.uid}`));
          if (phase !== 'done') return void deployment.clock.setTimer(100, () => void pollUntilDone());
          deployment.rules.recordStatusResponse(job.uid, 200, phase);
          requestFromAllMembers(deployment, job, ['done'], observedPhases);
        };
        void submit();
      });
    for (let second = 10; second < 60; second++) submitAt(second, second % 3 === 0);
    deployment.at(35, () => deployment.crashController(deployment.leader ?? deployment.members[0]!, 1500));
    await deployment.clock.runUntil(110_000);
    assert.deepEqual(deployment.rules.violations, []);
    const countPhase = (phase: string): number =>
      observedPhases.filter((observed) => observed === phase).length;
    assert.ok(
      countPhase('withdrawn') > 60 && countPhase('done') > 100,
      `${observedPhases.length} answers with phases or statuses ${[...new Set(observedPhases)]}`,
    );
  });
}

// Guards against wrong handling of a transaction that was executed but not answered: the writer learns of it only by
// a later read, while other controllers already act on it.
for (const seed of [1, 2]) {
  test(`rules hold and jobs finish while responses to executed transactions are lost and the leader changes (seed ${seed})`, async () => {
    const deployment = new SimulatedDeployment(seed);
    let lostShare = 0;
    loseTransactionResponses(deployment, () => lostShare);
    const jobs: SimulatedJob[] = [];
    for (let i = 0; i < 12; i++)
      deployment.at(5 + i * 5, () => jobs.push(deployment.submit({ tasks: 1 + (i % 4), runS: 10 })));
    for (let i = 0; i < 8; i++)
      deployment.at(6 + i * 6, () => deployment.submit({ tasks: 2, cpus: 1, runS: 300 }, 8));
    deployment.at(15, () => (lostShare = 0.4));
    deployment.at(40, () => deployment.crashController(deployment.leader ?? deployment.members[0]!, 500));
    deployment.at(70, () => (lostShare = 0));
    deployment.faultsEndMs = 75_000;
    await deployment.clock.runUntil(200_000);
    deployment.rules.checkServed(75_000);
    assert.deepEqual(deployment.rules.violations, []);
    assert.deepEqual(
      jobs.filter((job) => !deployment.isFinished(job)).map(({ uid }) => uid),
      [],
    );
  });
}

// Guards against lost jobs under a high rate of short jobs, each of which costs a few writes.
test('all jobs finish when four one-task jobs per second are submitted for a minute and a quarter of them is cancelled', async () => {
  const deployment = new SimulatedDeployment(3);
  const jobs: SimulatedJob[] = [];
  for (let i = 0; i < 240; i++)
    deployment.at(10 + i / 4, () => {
      jobs.push(deployment.submit({ tasks: 1, cpus: 1, runS: 3 }, i % 4 === 0 ? 1 + (i % 5) : undefined));
    });
  deployment.at(40, () => deployment.crashController(deployment.leader ?? deployment.members[0]!, 1500));
  deployment.faultsEndMs = 75_000;
  await deployment.clock.runUntil(220_000);
  deployment.rules.checkServed(75_000);
  assert.deepEqual(deployment.rules.violations, []);
  assert.deepEqual(
    jobs.filter((job) => !deployment.isFinished(job)).map(({ uid }) => uid),
    [],
  );
  const cancelledCount = jobs.filter(
    ({ uid }) => deployment.rules.jobs.get(uid)!.reportedPhase === 'withdrawn',
  ).length;
  assert.ok(cancelledCount > 20, `only ${cancelledCount} jobs were cancelled before they were done`);
});
