import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  combinePriorities,
  propagatePriority,
  type PrioritizedJob,
  type Priority,
} from '../../src/pipeline/inherited-priority.js';
import type { Rank } from '../../src/state/records.js';

type JobRow = [
  uid: string,
  dependencies: string[],
  rank: Rank,
  deadlinesMs: number[],
  expectedDurationMs?: number,
];

interface JobGraph {
  add: (...row: JobRow) => void;
  getPriority: (uid: string) => Priority;
  /** Number of jobs looked up so far. */
  getLookupCount: () => number;
}

function createJobGraph(): JobGraph {
  const jobs = new Map<string, PrioritizedJob>();
  let lookupCount = 0;
  const findJob = (uid: string): PrioritizedJob | undefined => {
    lookupCount++;
    return jobs.get(uid);
  };
  return {
    add: (...[uid, dependencies, rank, deadlinesMs, expectedDurationMs = 10]) => {
      let inheritedPriority: Priority | undefined;
      const job: PrioritizedJob = {
        uid,
        dependencies,
        ownPriority: { rank, deadlinesMs },
        get inheritedPriority() {
          return inheritedPriority;
        },
        expectedDurationMs,
        inheritPriority: (priority) => void (inheritedPriority = priority),
      };
      jobs.set(uid, job);
      propagatePriority(job, findJob);
    },
    getPriority: (uid) => combinePriorities(jobs.get(uid)!.ownPriority, jobs.get(uid)!.inheritedPriority),
    getLookupCount: () => lookupCount,
  };
}

test('a job inherits the highest rank and the deadlines of its dependents, minus their durations', () => {
  const cases: [name: string, rows: JobRow[], expected: Record<string, [Rank, number[]]>][] = [
    ['no dependents', [['a', [], 'idle', []]], { a: ['idle', []] }],
    [
      'inheritance through a chain',
      [
        ['a', [], 'idle', []],
        ['b', ['a'], 'standard', [], 20],
        ['c', ['b'], 'high', [1000, 1500]],
      ],
      { a: ['high', [970, 1470]], b: ['high', [990, 1490]], c: ['high', [1000, 1500]] },
    ],
    [
      'its own rank is higher and its own deadline is earlier',
      [
        ['a', [], 'prod', [500]],
        ['b', ['a'], 'high', [1000]],
      ],
      { a: ['prod', [500]] },
    ],
    [
      'the rank of one dependent and the deadline of another',
      [
        ['a', [], 'idle', []],
        ['b', ['a'], 'high', []],
        ['c', ['a'], 'idle', [700]],
      ],
      { a: ['high', [690]] },
    ],
    [
      'the path through a diamond with the longer duration counts',
      [
        ['a', [], 'idle', []],
        ['b', ['a'], 'idle', [], 100],
        ['c', ['a'], 'idle', [], 10],
        ['d', ['b', 'c'], 'high', [1000]],
      ],
      { a: ['high', [890]], b: ['high', [990]], c: ['high', [990]] },
    ],
    [
      'a dependent with more deadlines than the job',
      [
        ['a', [], 'idle', [2000]],
        ['b', ['a'], 'idle', [1000, 3000]],
      ],
      { a: ['idle', [990, 2000]] },
    ],
    ['a dependency that is done', [['b', ['gone'], 'high', [1000]]], { b: ['high', [1000]] }],
  ];
  for (const [name, rows, expected] of cases) {
    const { add, getPriority } = createJobGraph();
    for (const row of rows) add(...row);
    for (const [uid, [rank, deadlinesMs]] of Object.entries(expected))
      assert.deepEqual(getPriority(uid), { rank, deadlinesMs }, `${name}: ${uid}`);
  }
});

test('the cost is proportional to the number of affected edges in chains, fans and ladders of diamonds', () => {
  const count = 3_000;
  const chain = createJobGraph();
  chain.add('j0', [], 'standard', []);
  for (let i = 1; i < count; i++) chain.add(`j${i}`, [`j${i - 1}`], 'standard', []);
  // No priority is raised, so there is one lookup per job.
  assert.ok(chain.getLookupCount() < 2 * count, `${chain.getLookupCount()}`);
  chain.add('last', [`j${count - 1}`], 'high', [1e9]);
  assert.deepEqual(chain.getPriority('j0').deadlinesMs, [1e9 - 10 * count]);
  assert.ok(chain.getLookupCount() < 6 * count, `${chain.getLookupCount()}`);
  const fan = createJobGraph();
  fan.add('root', [], 'idle', []);
  for (let i = 0; i < count; i++) fan.add(`f${i}`, ['root'], 'idle', [1e6 + i]);
  fan.add(
    'sink',
    Array.from({ length: count }, (_, i) => `f${i}`),
    'high',
    [5e5],
  );
  assert.deepEqual(fan.getPriority('root'), { rank: 'high', deadlinesMs: [5e5 - 20] });
  assert.ok(fan.getLookupCount() < 8 * count, `${fan.getLookupCount()}`);
  const ladder = createJobGraph();
  ladder.add('s0', [], 'idle', []);
  const rungs = 200;
  for (let i = 1; i <= rungs; i++) {
    ladder.add(`l${i}`, [`s${i - 1}`], 'idle', [], 5);
    ladder.add(`r${i}`, [`s${i - 1}`], 'idle', [], 50);
    ladder.add(`s${i}`, [`l${i}`, `r${i}`], 'idle', [], 1);
  }
  ladder.add('end', [`s${rungs}`], 'high', [1e6], 1);
  assert.deepEqual(ladder.getPriority('s0').deadlinesMs, [1e6 - 1 - rungs * 51]);
  assert.ok(ladder.getLookupCount() < rungs * 40, `${ladder.getLookupCount()}`);
});
