import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { HttpResponse } from '../src/http/message.js';
import { SimDay } from '../src/simulation/day.js';
import type { SimJob } from '../src/simulation/rules.js';

/** Users who look closely: at all controllers at once, while writes are unclear, or with many short jobs. */

const phaseOf = (response: HttpResponse | undefined): string | undefined =>
  response?.status === 200 || response?.status === 201
    ? (JSON.parse(response.body) as { phase: string }).phase
    : undefined;

/** The share of transactions that are carried out at once while only their answer is lost. */
function loseAnswers(day: SimDay, share: () => number): void {
  const handle = day.state.handle.bind(day.state);
  day.state.handle = async (from, method, target, body) => {
    const response = await handle(from, method, target, body);
    return target === '/multi' && day.random() < share() ? undefined : response;
  };
}

/** Asks all controllers at once, and repeats the submission at each; counts the answers. */
function lookEverywhere(day: SimDay, job: SimJob, expected: readonly string[], seen: string[]): void {
  for (const member of day.members) {
    for (const [method, path, body] of [
      ['GET', `/submissions/${job.uid}`, undefined],
      ['POST', '/submissions', day.wireOf(job)],
    ] as const) {
      void day.askOne(member, method, path, body).then((response) => {
        if (!response || response.status === 503) return;
        const phase = phaseOf(response);
        seen.push(phase ?? String(response.status));
        if (method === 'POST') day.rules.submitted(job.uid, response.status);
        day.rules.told(job.uid, response.status, phase);
        // Its user may have called it off since this was asked.
        const isCalledOff = day.rules.jobs.get(job.uid)!.calledOff && phase === 'withdrawn';
        const isExpected = phase !== undefined && expected.includes(phase);
        assert.ok(isExpected || isCalledOff, `${job.uid}: ${response.status} ${phase}`);
      });
    }
  }
}

const OPEN = ['pending', 'running', 'done'];

// Each answer about a job that is not over rests on a read of the state service that began after the question came.
for (const lossy of [false, true]) {
  test(`all controllers are asked within milliseconds of each answer${lossy ? ', while answers of the state service are lost' : ''}`, async () => {
    const day = new SimDay(7);
    const seen: string[] = [];
    if (lossy) loseAnswers(day, () => 0.2);
    const submitAt = (second: number, cancels: boolean): void =>
      day.at(second, () => {
        const job = day.expect({ tasks: 1, cpus: 1, runS: cancels ? 200 : 4 });
        const member = day.members[second % 3]!;
        const submit = async (): Promise<void> => {
          const response = await day.askOne(member, 'POST', '/submissions', day.wireOf(job));
          if (phaseOf(response) === undefined) return void day.clock.after(1000, () => void submit());
          day.rules.submitted(job.uid, response!.status);
          lookEverywhere(day, job, OPEN, seen);
          if (cancels) day.clock.after(second % 2 ? 1 : 6000, () => void cancel());
          else await watch();
        };
        const cancel = async (): Promise<void> => {
          day.rules.calledOff(job.uid);
          const response = await day.askOne(member, 'POST', `/submissions/${job.uid}/abort`);
          const phase = phaseOf(response);
          if (phase === undefined) return void day.clock.after(1000, () => void cancel());
          day.rules.told(job.uid, response!.status, phase);
          lookEverywhere(day, job, ['withdrawn'], seen);
        };
        const watch = async (): Promise<void> => {
          const phase = phaseOf(await day.askOne(member, 'GET', `/submissions/${job.uid}`));
          if (phase !== 'done') return void day.clock.after(100, () => void watch());
          day.rules.told(job.uid, 200, phase);
          lookEverywhere(day, job, ['done'], seen);
        };
        void submit();
      });
    for (let second = 10; second < 60; second++) submitAt(second, second % 3 === 0);
    day.at(35, () => day.crash(day.leader ?? day.members[0]!, 1500));
    await day.clock.runUntil(110_000);
    assert.deepEqual(day.rules.broken, []);
    const counts = (phase: string): number => seen.filter((each) => each === phase).length;
    assert.ok(
      counts('withdrawn') > 60 && counts('done') > 100,
      `${seen.length} answers: ${[...new Set(seen)]}`,
    );
  });
}

// A write without an answer that was carried out at once is found by a read, while others already act on it.
for (const seed of [1, 2]) {
  test(`transactions are carried out and only their answers are lost, over a change of leader (seed ${seed})`, async () => {
    const day = new SimDay(seed);
    let share = 0;
    loseAnswers(day, () => share);
    const jobs: SimJob[] = [];
    for (let i = 0; i < 12; i++)
      day.at(5 + i * 5, () => jobs.push(day.submit({ tasks: 1 + (i % 4), runS: 10 })));
    for (let i = 0; i < 8; i++) day.at(6 + i * 6, () => day.submit({ tasks: 2, cpus: 1, runS: 300 }, 8));
    day.at(15, () => (share = 0.4));
    day.at(40, () => day.crash(day.leader ?? day.members[0]!, 500));
    day.at(70, () => (share = 0));
    day.calmMs = 75_000;
    await day.clock.runUntil(200_000);
    day.rules.checkServed(75_000);
    assert.deepEqual(day.rules.broken, []);
    assert.deepEqual(
      jobs.filter((job) => !day.isOver(job)).map(({ uid }) => uid),
      [],
    );
  });
}

// Many short jobs: each costs a few writes, and none may be forgotten for the others.
test('one-task jobs come four a second for a minute, a quarter of them cancelled', async () => {
  const day = new SimDay(3);
  const jobs: SimJob[] = [];
  for (let i = 0; i < 240; i++)
    day.at(10 + i / 4, () => {
      jobs.push(day.submit({ tasks: 1, cpus: 1, runS: 3 }, i % 4 === 0 ? 1 + (i % 5) : undefined));
    });
  day.at(40, () => day.crash(day.leader ?? day.members[0]!, 1500));
  day.calmMs = 75_000;
  await day.clock.runUntil(220_000);
  day.rules.checkServed(75_000);
  assert.deepEqual(day.rules.broken, []);
  assert.deepEqual(
    jobs.filter((job) => !day.isOver(job)).map(({ uid }) => uid),
    [],
  );
  const withdrawn = jobs.filter(({ uid }) => day.rules.jobs.get(uid)!.told === 'withdrawn').length;
  assert.ok(withdrawn > 20, `${withdrawn} were cancelled before they were done`);
});
