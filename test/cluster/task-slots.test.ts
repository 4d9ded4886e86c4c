/** Tests the limit of the tasks on a node, which keeps the size of its heartbeats within that of a request. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Logger } from 'pino';
import { createEmptyNodeCapacity, hasFreeCapacity } from '../../src/cluster/resources.js';
import { measureTaskSlotUsage, TaskLimitMonitor } from '../../src/cluster/task-slot-usage.js';
import type { TaskStatus } from '../../src/cluster/worker-messages.js';
import { MAX_BODY_BYTES, MAX_TASKS_PER_JOB, MAX_TASKS_PER_NODE } from '../../src/constants.js';
import { createClusterWithNode, createHeartbeat, createRunningTask } from '../support/cluster-fixture.js';

const LONGEST_COUNT = '18446744073709551615';
/** A name in which JSON escapes each character. */
const LONGEST_NAME = '\u0001'.repeat(200);

/** The longest task of each state and exit cause that a heartbeat may list. */
const LONGEST_TASKS = [
  { phase: 'fetching' },
  { phase: 'running' },
  { phase: 'saving' },
  ...['done', 'stopped', 'error', 'full', 'in_use', 'no_such'].map((cause) => ({
    phase: 'exited',
    cause,
    saved: false,
  })),
].map((state) => ({ piece: `job-${'9'.repeat(40)}/${MAX_TASKS_PER_JOB - 1}`, try: LONGEST_COUNT, ...state }));

/** Encodes a heartbeat like an encoder that puts a space after each separator. Counts stand without quotes. */
function encodeWithSpaces(task: object): string {
  const tasks = Array.from({ length: MAX_TASKS_PER_NODE }, () => task);
  const counts = { tenure: LONGEST_COUNT, tick: LONGEST_COUNT, baton: LONGEST_COUNT, warningS: 1e9 };
  const names = { hearth: LONGEST_NAME, address: LONGEST_NAME, build: LONGEST_NAME.slice(0, 60) };
  const heartbeat = { ...names, yard: LONGEST_NAME.slice(0, 60), loaner: false, ...counts, pieces: tasks };
  return JSON.stringify(heartbeat, undefined, 1)
    .replace(/,\n\s*/g, ', ')
    .replace(/\n\s*/g, '')
    .replaceAll(`"${LONGEST_COUNT}"`, LONGEST_COUNT);
}

test('a heartbeat with the most tasks and the longest values fits into a request', () => {
  for (const task of LONGEST_TASKS) {
    const bytes = Buffer.byteLength(encodeWithSpaces(task));
    assert.ok(bytes <= MAX_BODY_BYTES, `${JSON.stringify(task)}: ${bytes} bytes`);
  }
});

test('an exited task takes a task slot until its worker no longer lists it, but no resources', () => {
  const { clusterState, reconciler, node, nodesWithFreedSlot } = createClusterWithNode();
  const exited = (index: number): TaskStatus => ({
    ...createRunningTask(index, 7),
    state: 'exited',
    exitCause: 'stopped',
  });
  const allTasks = Array.from({ length: MAX_TASKS_PER_NODE }, (_, index) => exited(index));
  reconciler.apply(node, createHeartbeat(1, 1, allTasks), 'heartbeat', 0);
  assert.deepEqual(clusterState.computeFreeCapacity(node), { ...node.capacity, taskSlots: 0 });
  assert.ok(!clusterState.nodesWithFreeCapacity.has(node));
  assert.deepEqual(nodesWithFreedSlot, []);
  reconciler.apply(node, createHeartbeat(1, 2, allTasks.slice(2)), 'heartbeat', 10);
  assert.equal(clusterState.computeFreeCapacity(node).taskSlots, 2);
  assert.ok(clusterState.nodesWithFreeCapacity.has(node));
  assert.deepEqual(nodesWithFreedSlot, [node]);
});

test('a task that no job is known of takes a task slot', () => {
  const { clusterState, reconciler, node } = createClusterWithNode();
  const unknown = { ...createRunningTask(0, 7), jobUid: 'job-000099' };
  reconciler.apply(node, createHeartbeat(1, 1, [unknown]), 'heartbeat', 0);
  assert.equal(clusterState.computeFreeCapacity(node).taskSlots, MAX_TASKS_PER_NODE - 1);
});

test('room for another task needs a task slot, and a processor or an accelerator', () => {
  const empty = createEmptyNodeCapacity({ cpus: 4, accelerators: 0, memGb: 16 });
  const cases: [change: Partial<typeof empty>, isFree: boolean][] = [
    [{}, true],
    [{ cpus: 0 }, false],
    [{ cpus: 0, accelerators: 1 }, true],
    [{ taskSlots: 0 }, false],
    [{ taskSlots: -1 }, false],
  ];
  for (const [change, isFree] of cases)
    assert.equal(hasFreeCapacity({ ...empty, ...change }), isFree, JSON.stringify(change));
});

test('a node that holds too many tasks is counted, and logged when that begins and ends', () => {
  const { clusterState, reconciler, node } = createClusterWithNode();
  const messages: string[] = [];
  const record = (_fields: unknown, message: string): number => messages.push(message);
  const monitor = new TaskLimitMonitor({ warn: record, info: record } as unknown as Logger);
  const taskCounts = [MAX_TASKS_PER_NODE, MAX_TASKS_PER_NODE + 2, MAX_TASKS_PER_NODE + 1, 5];
  const usages = taskCounts.map((taskCount, sequence) => {
    const tasks = Array.from({ length: taskCount }, (_, index): TaskStatus => ({
      ...createRunningTask(index, 7),
      state: 'exited',
      exitCause: 'stopped',
    }));
    reconciler.apply(node, createHeartbeat(1, sequence + 1, tasks), 'heartbeat', sequence);
    monitor.check(node);
    const { mostTasks, nodesAtLimit, nodesOverLimit } = measureTaskSlotUsage(clusterState.nodes.values());
    return [mostTasks, nodesAtLimit, nodesOverLimit];
  });
  assert.deepEqual(usages, [
    [MAX_TASKS_PER_NODE, 1, 0],
    [MAX_TASKS_PER_NODE + 2, 1, 1],
    [MAX_TASKS_PER_NODE + 1, 1, 1],
    [5, 0, 0],
  ]);
  assert.deepEqual(messages, [
    'node holds more tasks than the limit',
    'node no longer holds more tasks than the limit',
  ]);
});
