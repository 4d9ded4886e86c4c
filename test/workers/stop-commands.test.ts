import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { TaskState, TaskStatus } from '../../src/cluster/worker-messages.js';
import {
  MAX_BODY_BYTES,
  MAX_COMMANDS_PER_RESPONSE,
  MAX_TASKS_PER_JOB,
  MAX_TASKS_PER_NODE,
} from '../../src/constants.js';
import { encodeJob, jobKey, type JobRecord } from '../../src/state/records.js';
import { formatJson } from '../../src/wire/json.js';
import { encodeCommands } from '../../src/workers/codec.js';
import { createStopCommandsForEndedJobs } from '../../src/workers/stop-commands.js';
import { createJobSpec } from '../fixtures.js';
import { createHeartbeat } from '../support/cluster-fixture.js';

/** A job with the longest uid that users may choose. */
const ENDED_UID = `job-${'9'.repeat(40)}`;
/** The largest fencing token and attempt number. */
const LARGEST_COUNT = 2n ** 64n - 1n;

const replica = {
  get: (key: string) =>
    key === jobKey(ENDED_UID)
      ? { key, modRevision: 1, value: encodeJob(createRecord('cancelled')) }
      : undefined,
};

function createRecord(phase: JobRecord['phase']): JobRecord {
  const spec = createJobSpec({ uid: ENDED_UID });
  return {
    ...{ phase, taskCount: spec.tasks, spec, acceptedMs: 0, memberStates: 'E' },
    ...{ isSuccessorRunning: false, firstCompletionSegment: '' },
  };
}

const createTask = (index: number, state: TaskState, jobUid = ENDED_UID): TaskStatus => ({
  jobUid,
  taskIndex: MAX_TASKS_PER_JOB - 1 - index,
  attemptNumber: LARGEST_COUNT,
  state,
});

test('the tasks of ended jobs are stopped unless they have exited', () => {
  const tasks = [
    createTask(0, 'running'),
    createTask(1, 'exited'),
    createTask(2, 'saving'),
    createTask(3, 'running', 'job-000001'),
  ];
  const commands = createStopCommandsForEndedJobs(createHeartbeat(1, 1, tasks), replica);
  assert.deepEqual(
    commands.map(({ taskName }) => taskName),
    [`${ENDED_UID}/${MAX_TASKS_PER_JOB - 1}`, `${ENDED_UID}/${MAX_TASKS_PER_JOB - 3}`],
  );
});

// Guards against tasks that outlive their cancellation (rule `ran_cancelled`): an answer renews the lease of all tasks, so
// those that it does not stop run on if the next answers are lost.
test('one response stops all tasks of a node that is full of tasks of an ended job', () => {
  const tasks = Array.from({ length: MAX_TASKS_PER_NODE }, (_, index) => createTask(index, 'running'));
  const commands = createStopCommandsForEndedJobs(createHeartbeat(1, 1, tasks), replica);
  assert.equal(commands.length, MAX_TASKS_PER_NODE);
});

// A response to a worker has a limited size, and a node of a former version may hold thousands of tasks.
test('a response stops no more tasks than it can name, and the next one stops others', () => {
  const tasks = Array.from({ length: 3 * MAX_COMMANDS_PER_RESPONSE }, (_, index) =>
    createTask(index, 'running'),
  );
  const first = createStopCommandsForEndedJobs(createHeartbeat(1, 1, tasks), replica);
  assert.equal(first.length, MAX_COMMANDS_PER_RESPONSE);
  const bytes = Buffer.byteLength(formatJson(encodeCommands(LARGEST_COUNT, first)));
  assert.ok(bytes <= MAX_BODY_BYTES, `${bytes} bytes`);
  const stopped = new Set(first.map(({ taskName }) => taskName));
  const remaining = tasks.filter(({ jobUid, taskIndex }) => !stopped.has(`${jobUid}/${taskIndex}`));
  const second = createStopCommandsForEndedJobs(createHeartbeat(1, 2, remaining), replica);
  assert.equal(second.length, MAX_COMMANDS_PER_RESPONSE);
  assert.ok(second.every(({ taskName }) => !stopped.has(taskName)));
});
