import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Report, TaskReport } from '../src/fleet/codec.js';
import { Health } from '../src/fleet/health.js';
import { Ledger, type Attempt } from '../src/fleet/ledger.js';
import { Job } from '../src/pipeline/job.js';
import { jobSpec } from './fixtures.js';

const LEASE_S = 10;

function setUp() {
  const record = {
    phase: 'open' as const,
    tasks: 4,
    spec: jobSpec(),
    acceptedMs: 0,
    tuple: 'E',
    successor: false,
    done: '',
  };
  const job = new Job('job-000001', record, 1, []);
  const released: Attempt[] = [];
  const exits: string[] = [];
  const ledger = new Ledger(LEASE_S, (uid) => (uid === job.uid ? job : undefined), {
    exited: (attempt, cause) => exits.push(`${attempt.index} ${cause}`),
    released: (attempt) => released.push(attempt),
  });
  const fields = { name: 'vm-1', address: 'a:1', type: 'small', zone: 'a', spot: false };
  const node = ledger.addNode({ ...fields, capacity: { cpus: 8, accelerators: 0, memGb: 64 } }, 0);
  const report = (session: number, tick: number, tasks: TaskReport[] = []): Report => ({
    node: 'vm-1',
    address: 'a:1',
    type: 'small',
    zone: 'a',
    spot: false,
    session,
    tick,
    token: 1,
    noticeS: null,
    tasks,
  });
  return { job, ledger, node, report, released, exits };
}

const running = (index: number, attempt: number): TaskReport => ({
  job: 'job-000001',
  index,
  attempt,
  state: 'running',
});

test('a new session has a lease of its own, answered or not (a day of hunt: ran_twice)', () => {
  const { ledger, node, report } = setUp();
  ledger.take(node, report(1, 1), true, 0);
  ledger.answered(node, 0);
  ledger.take(node, report(2, 2), true, 10_500);
  assert.ok(node.leaseEndMs > 10_500 + LEASE_S * 1000);
});

test('reports: old ones say nothing, new sessions end the tasks of earlier ones, fenced sessions stay ended', () => {
  const { job, ledger, node, report, released } = setUp();
  ledger.take(node, report(1, 5, [running(0, 7), running(1, 8)]), true, 0);
  assert.deepEqual([...job.bound.keys()], [0, 1]);
  assert.deepEqual(ledger.usage('red'), { cpus: 4, accelerators: 0, memGb: 8 });
  assert.equal(ledger.take(node, report(1, 4), true, 10), false);
  assert.equal(job.bound.size, 2);
  assert.equal(ledger.take(node, report(2, 1, [running(2, 9)]), true, 20), true);
  assert.deepEqual([...job.bound.keys()], [2]);
  assert.equal(released.length, 2);
  ledger.fence(node);
  assert.equal(job.bound.size, 0);
  assert.equal(ledger.take(node, report(2, 9, [running(2, 9)]), true, 30), false);
  assert.equal(ledger.usage('red').cpus, 0);
});

test('a second attempt of a bound task counts as used and is stopped; the first stays', () => {
  const { job, ledger, node, report } = setUp();
  ledger.take(node, report(1, 1, [running(0, 7), running(0, 8)]), true, 0);
  assert.equal(job.bound.get(0)!.number, 7);
  assert.equal(ledger.usage('red').cpus, 4);
  const orders = [...ledger.orders(node, () => true)].map(([order]) => `${order.verb} ${order.attempt}`);
  assert.deepEqual(orders, ['stop 8']);
});

test('a finish is cleared only once it is stored', () => {
  const { job, ledger, node, report, exits } = setUp();
  const done: TaskReport = { ...running(0, 7), state: 'exited', cause: 'done' };
  ledger.take(node, report(1, 1, [done]), true, 0);
  assert.deepEqual(exits, ['0 done']);
  assert.deepEqual([...ledger.orders(node, () => true)], []);
  job.finish(0);
  job.learnStored(job.record().done, [], 2);
  const orders = [...ledger.orders(node, () => true)].map(([order]) => order.verb);
  assert.deepEqual(orders, ['clear']);
});

test('a start is taken back only when it surely was not and will not be executed', () => {
  const { job, ledger, node, report, released } = setUp();
  ledger.take(node, report(1, 1), true, 0);
  const attempt = ledger.plan(job, 0, 7, node, 0);
  Object.assign(attempt, { state: 'sent', sentTick: 1, direct: 'lost' });
  ledger.take(node, report(1, 2), true, 10);
  assert.equal(attempt.state, 'planned');
  // It may still arrive: it stays bound even though nobody wants it any more.
  attempt.stop = { leewayS: 0 };
  ledger.take(node, report(1, 3), true, 20);
  assert.equal(job.bound.size, 1);
  const orders = [...ledger.orders(node, () => true)].map(([order]) => order.verb);
  assert.deepEqual(orders, ['stop']);
  ledger.take(node, report(2, 1), true, 30);
  assert.equal(job.bound.size, 0);
  assert.deepEqual(released, [attempt]);
});

test('answers of which the reports show nothing: the machine does not hear us', () => {
  const { job, ledger, node, report } = setUp();
  const health = new Health({
    ledger,
    reportS: 1,
    startedMs: 0,
    typeOf: () => undefined,
    jobOf: () => job,
    isKept: () => false,
    zoneSilent: () => false,
  });
  node.current = true;
  // Each step: the tasks that the report lists, and whether the machine is usable after it.
  const steps: [tasks: TaskReport[], usable: boolean][] = [
    [[], true],
    [[], true],
    [[running(0, 7)], true],
    [[], true],
    [[], true],
    [[], true],
    [[], false],
  ];
  steps.forEach(([tasks, usable], i) => {
    if (node.attempts.size === 0) ledger.plan(job, 0, 7, node, i);
    ledger.take(node, report(1, i + 1, tasks), true, i);
    assert.equal(health.isUsable(node, i), usable, `step ${i}`);
    assert.equal(health.isLost(node, i), !usable, `step ${i}`);
    for (const attempt of node.attempts.values()) {
      if (attempt.state !== 'planned') continue;
      attempt.state = 'sent';
      attempt.sentTick = i + 1;
    }
  });
});

test('a machine is silent for how long before it counts as lost: not while its worker may be on its way to another controller', () => {
  const reportS = 2;
  // Machines by the controller at which their workers were, how many of them fell silent, and after how many seconds
  // one of them counts as lost; '': not heard of in this term.
  const cases: [
    name: string,
    groups: Record<string, [all: number, silent: number]>,
    via: string,
    lostS: number,
  ][] = [
    ['one of many', { a: [40, 1], b: [40, 0] }, 'a', 6],
    ['those of one controller together', { a: [40, 30], b: [400, 0] }, 'a', 8.5],
    ['another one of another controller', { a: [40, 30], b: [400, 1] }, 'b', 6],
    ['the last ones that a new leader waits for', { a: [100, 0], '': [3, 3] }, '', 4.5],
    ['many that a new leader waits for', { a: [100, 0], '': [20, 20] }, '', 8.5],
  ];
  for (const [name, groups, via, lostS] of cases) {
    const { ledger } = setUp();
    ledger.nodes.clear();
    const health = new Health({
      ledger,
      reportS,
      startedMs: 0,
      typeOf: () => undefined,
      jobOf: () => undefined,
      isKept: () => false,
      zoneSilent: () => false,
    });
    const place = {
      address: '',
      type: 't',
      zone: 'z',
      spot: false,
      capacity: { cpus: 4, accelerators: 0, memGb: 4 },
    };
    for (const [at, [all, silent]] of Object.entries(groups))
      for (let i = 0; i < all; i++) {
        const node = ledger.addNode({ name: `${at}-${i}`, ...place }, 0);
        Object.assign(node, {
          via: at,
          recorded: true,
          reportedMs: at === '' ? -Infinity : i < silent ? 0 : Infinity,
        });
      }
    const node = ledger.nodes.get(`${via}-0`)!;
    let lost = 0;
    for (let ms = 0; lost === 0 && ms < 20_000; ms += 100) {
      health.look(ms);
      if (health.isLost(node, ms)) lost = ms;
    }
    assert.equal(lost / 1000, lostS + 0.1, name);
  }
});

test('a worker that only answers commands falls silent: it may reach no controller', () => {
  const { ledger, node, report } = setUp();
  ledger.take(node, report(1, 1), true, 1_000);
  assert.equal(node.reportedMs, 1_000);
  assert.ok(ledger.take(node, report(1, 2), false, 4_000));
  assert.equal(node.tick, 2);
  assert.equal(node.reportedMs, 1_000);
});
