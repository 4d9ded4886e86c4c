import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  DependencyGraph,
  isExecutable,
  type DependencyStatus,
  type StoredJobDependencies,
} from '../../src/pipeline/dependency-graph.js';
import type { MemberState } from '../../src/pipeline/pipeline.js';

test('a member is executable once all its predecessors have succeeded', () => {
  const cases: [predecessorStates: string, executable: boolean][] = [
    ['', true],
    ['S', true],
    ['N', false],
    ['E', false],
    ['F', false],
    ['SSS', true],
    ['SES', false],
    ['SFS', false],
  ];
  for (const [predecessorStates, executable] of cases)
    assert.equal(isExecutable([...predecessorStates] as MemberState[]), executable, predecessorStates);
});

/** Creates a dependency graph and an in-memory store of jobs. Each change to the store updates the graph at once. */
function createGraphWithStore() {
  const storedJobs = new Map<string, StoredJobDependencies>();
  const graph = new DependencyGraph((uid) => storedJobs.get(uid));
  const storeJob = (uid: string, phase: StoredJobDependencies['phase'], dependencies?: string[]): void => {
    const storedJob = { phase, dependencies: dependencies ?? storedJobs.get(uid)?.dependencies ?? [] };
    storedJobs.set(uid, storedJob);
    graph.updateJob(uid, storedJob);
  };
  return { graph, storeJob };
}

test('the status of a job follows from the stored phases of the job and its dependencies, in any order', () => {
  type JobChange = [uid: string, phase: StoredJobDependencies['phase'], dependencies?: string[]];
  const cases: [name: string, changes: JobChange[], statuses: Record<string, DependencyStatus>][] = [
    ['no dependencies', [['a', 'open']], { a: 'ready' }],
    [
      'its dependency is open',
      [
        ['a', 'open'],
        ['b', 'open', ['a']],
      ],
      { a: 'ready', b: 'waiting' },
    ],
    [
      'its dependency is done',
      [
        ['a', 'done'],
        ['b', 'open', ['a']],
      ],
      { b: 'ready' },
    ],
    [
      'its dependency becomes done',
      [
        ['a', 'open'],
        ['b', 'open', ['a']],
        ['a', 'done'],
      ],
      { b: 'ready' },
    ],
    [
      'one of two dependencies is done',
      [
        ['a', 'done'],
        ['c', 'open'],
        ['b', 'open', ['a', 'c']],
      ],
      { b: 'waiting' },
    ],
    [
      'its dependency is cancelled',
      [
        ['a', 'cancelled'],
        ['b', 'open', ['a']],
      ],
      { b: 'cancelled' },
    ],
    [
      'the first job of a chain is cancelled',
      [
        ['a', 'open'],
        ['b', 'open', ['a']],
        ['c', 'open', ['b']],
        ['a', 'cancelled'],
      ],
      { b: 'cancelled', c: 'cancelled' },
    ],
    [
      'an indirect dependency is cancelled, and the cancellation of the direct one is not written yet',
      [
        ['a', 'open'],
        ['b', 'open', ['a']],
        ['a', 'cancelled'],
        ['c', 'open', ['b']],
      ],
      { c: 'cancelled' },
    ],
    [
      'cancellations are written along the chain, without dependencies',
      [
        ['a', 'open'],
        ['b', 'open', ['a']],
        ['a', 'cancelled', []],
        ['b', 'cancelled', []],
        ['c', 'open', ['b']],
      ],
      { c: 'cancelled' },
    ],
    [
      'a job became done before its cancellation took effect, so its dependents go on',
      [
        ['a', 'open'],
        ['b', 'open', ['a']],
        ['c', 'open', ['b']],
        ['a', 'done', []],
      ],
      { b: 'ready', c: 'waiting' },
    ],
    [
      'one side of a diamond is cancelled',
      [
        ['a', 'open'],
        ['b', 'open', ['a']],
        ['c', 'open', ['a']],
        ['d', 'open', ['b', 'c']],
        ['c', 'cancelled'],
      ],
      { b: 'waiting', d: 'cancelled' },
    ],
    [
      'a chain is read in reverse order',
      [
        ['c', 'open', ['b']],
        ['b', 'open', ['a']],
        ['a', 'open'],
      ],
      { a: 'ready', b: 'waiting', c: 'waiting' },
    ],
    [
      'its dependency is read after it, and is cancelled',
      [
        ['c', 'open', ['b']],
        ['b', 'cancelled'],
      ],
      { c: 'cancelled' },
    ],
    [
      'its dependency is read after it, and is done',
      [
        ['c', 'open', ['b']],
        ['b', 'done'],
      ],
      { c: 'ready' },
    ],
    [
      'its dependency is read after it, and has a dependency that is cancelled',
      [
        ['c', 'open', ['b']],
        ['b', 'open', ['a']],
        ['a', 'cancelled'],
      ],
      { c: 'cancelled' },
    ],
    [
      'values are read twice',
      [
        ['a', 'open'],
        ['b', 'open', ['a']],
        ['b', 'open'],
        ['a', 'open'],
        ['a', 'done'],
      ],
      { b: 'ready' },
    ],
  ];
  for (const [name, changes, statuses] of cases) {
    const { graph, storeJob } = createGraphWithStore();
    for (const change of changes) storeJob(...change);
    for (const [uid, status] of Object.entries(statuses))
      assert.equal(graph.getStatus(uid), status, `${name}: ${uid}`);
  }
});

test('a job waits as long as its dependencies cannot be read', () => {
  const { graph, storeJob } = createGraphWithStore();
  graph.updateJob('b', { phase: 'open', dependencies: undefined });
  assert.equal(graph.getStatus('b'), 'waiting');
  storeJob('b', 'open', []);
  assert.equal(graph.getStatus('b'), 'ready');
});

test('long chains and wide pipelines do not overflow the stack and leave no member in the graph', () => {
  const { graph, storeJob } = createGraphWithStore();
  const count = 5_000;
  storeJob('j0', 'open');
  for (let i = 1; i < count; i++) storeJob(`j${i}`, 'open', [`j${i - 1}`]);
  const independentUids = Array.from({ length: count }, (_, i) => `w${i}`);
  for (const uid of independentUids) storeJob(uid, 'open');
  storeJob('wide', 'open', independentUids);
  for (const uid of independentUids.slice(1)) storeJob(uid, 'done');
  assert.equal(graph.getStatus('wide'), 'waiting');
  storeJob('w0', 'done');
  assert.equal(graph.getStatus('wide'), 'ready');
  storeJob('j0', 'cancelled');
  assert.equal(graph.getStatus(`j${count - 1}`), 'cancelled');
  for (let i = 1; i < count; i++) storeJob(`j${i}`, 'cancelled');
  storeJob('wide', 'done');
  assert.equal(graph.size, 0);
});
