import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  TASKS_PER_COMPLETION_SEGMENT,
  INITIAL_FAILURE_BACKOFF_MS,
  MAX_FAILURE_BACKOFF_MS,
} from '../../src/constants.js';
import { Job } from '../../src/pipeline/job.js';
import type { JobRecord, JobSpec } from '../../src/state/records.js';
import { createJobSpec } from '../fixtures.js';

function createJob(specFields: Partial<JobSpec> = {}, recordFields: Partial<JobRecord> = {}) {
  const spec = createJobSpec(specFields);
  const record: JobRecord = {
    phase: 'open',
    taskCount: spec.tasks,
    spec,
    acceptedMs: 1_000,
    memberStates: 'N',
    isSuccessorRunning: false,
    firstCompletionSegment: '',
    ...recordFields,
  };
  return new Job({ uid: spec.uid, record, spec, modRevision: 5, deadlineObjectives: [] });
}

test('a job is done once all tasks are completed, and is stored as done only with its last segment', () => {
  const tasks = TASKS_PER_COMPLETION_SEGMENT * 2 + 1;
  const job = createJob({ tasks });
  for (let task = 0; task < tasks; task++) job.completeTask(task);
  assert.equal(job.endPipelineIfDue(9_000), 'acceptable');
  assert.equal(job.phase, 'done');
  const partialWrite = job.beginWrite(1);
  assert.deepEqual([partialWrite.record.phase, partialWrite.record.memberStates], ['open', 'N']);
  assert.deepEqual(
    [partialWrite.modRevision, partialWrite.segments.map(({ segmentIndex }) => segmentIndex)],
    [5, [1]],
  );
  job.persistence.completeWrite(partialWrite, 6);
  assert.ok(job.needsWrite);
  assert.ok(job.persistence.isCompletionPersisted(TASKS_PER_COMPLETION_SEGMENT));
  assert.ok(!job.persistence.isCompletionPersisted(tasks - 1));
  const lastWrite = job.beginWrite(1);
  assert.deepEqual([lastWrite.record.phase, lastWrite.record.memberStates], ['done', 'S']);
  assert.deepEqual([lastWrite.record.finishedMs, lastWrite.record.spec], [9_000, undefined]);
  assert.deepEqual(
    [lastWrite.modRevision, lastWrite.segments.map(({ segmentIndex }) => segmentIndex)],
    [6, [2]],
  );
  job.persistence.completeWrite(lastWrite, 7);
  assert.ok(!job.needsWrite);
});

test('the segments of an aborted write are written again', () => {
  const job = createJob({ tasks: TASKS_PER_COMPLETION_SEGMENT + 1 });
  job.completeTask(TASKS_PER_COMPLETION_SEGMENT);
  const write = job.beginWrite(4);
  assert.ok(job.persistence.isWriteInProgress);
  job.persistence.abortWrite(write);
  assert.ok(!job.persistence.isWriteInProgress);
  assert.ok(!job.persistence.isCompletionPersisted(TASKS_PER_COMPLETION_SEGMENT));
  assert.deepEqual(job.beginWrite(4), write);
});

test('a record or segment is applied only if it is newer than the known one', () => {
  const job = createJob({ tasks: TASKS_PER_COMPLETION_SEGMENT * 2 });
  const { record } = job.persistence;
  assert.equal(job.persistence.applyRecord({ ...record, firstCompletionSegment: 'AQ==' }, 5), false);
  assert.ok(!job.persistence.isCompleted(0));
  assert.equal(job.persistence.applyRecord({ ...record, firstCompletionSegment: 'AQ==' }, 6), true);
  assert.ok(job.persistence.isCompletionPersisted(0));
  job.persistence.applySegment(1, 'AQ==', 8);
  job.persistence.applySegment(1, 'Ag==', 8);
  assert.ok(job.persistence.isCompletionPersisted(TASKS_PER_COMPLETION_SEGMENT));
  assert.ok(!job.persistence.isCompleted(TASKS_PER_COMPLETION_SEGMENT + 1));
});

test('pending tasks are neither completed nor allocated, and removing a second attempt frees no task', () => {
  const job = createJob();
  const attempt = { taskIndex: 0 };
  job.addAllocation(attempt, 'a');
  job.addAllocation({ taskIndex: 1 }, 'a');
  job.completeTask(2);
  assert.deepEqual([job.findNextPendingTask(), job.pendingTaskCount, job.unfinishedTaskCount], [3, 1, 3]);
  job.removeAllocation({ taskIndex: 0 }, 'a');
  assert.deepEqual([...job.allocationsPerZone], [['a', 2]]);
  job.removeAllocation(attempt, 'a');
  assert.deepEqual([...job.allocationsPerZone], [['a', 1]]);
  assert.deepEqual(
    [job.findNextPendingTask(), job.findNextPendingTask(1), job.findNextPendingTask(4)],
    [0, 3, -1],
  );
});

test('the start delay doubles with each consecutive failure, up to a maximum', () => {
  const job = createJob();
  for (const doublings of [0, 1, 2]) {
    job.progress.recordFailure('vm-1', 100);
    assert.equal(job.progress.earliestStartMs, 100 + INITIAL_FAILURE_BACKOFF_MS * 2 ** doublings);
  }
  for (let i = 0; i < 20; i++) job.progress.recordFailure('vm-2', 100);
  assert.equal(job.progress.earliestStartMs, 100 + MAX_FAILURE_BACKOFF_MS);
  job.completeTask(0);
  job.progress.recordFailure('vm-2', 200);
  assert.equal(job.progress.earliestStartMs, 200 + INITIAL_FAILURE_BACKOFF_MS);
  assert.deepEqual([...job.progress.nodesWithFailedTask], ['vm-1', 'vm-2']);
  job.progress.delayStarts(50);
  assert.equal(job.progress.earliestStartMs, 200 + INITIAL_FAILURE_BACKOFF_MS);
});

test('a job starves from the first cycle that leaves it without an allocated task until one is allocated', () => {
  const job = createJob();
  const cycles: [allocatedTasks: number, nowMs: number, pendingSinceMs: number, starvingSinceMs: number][] = [
    [0, 10, 10, 10],
    [0, 20, 10, 10],
    [2, 30, 10, Infinity],
    [0, 40, 10, 40],
  ];
  for (const [allocatedTasks, nowMs, pendingSinceMs, starvingSinceMs] of cycles) {
    job.queueTimes.recordPending(allocatedTasks, nowMs);
    const { queueTimes } = job;
    assert.deepEqual(
      [queueTimes.pendingSinceMs, queueTimes.starvingSinceMs],
      [pendingSinceMs, starvingSinceMs],
    );
  }
  job.queueTimes.recordNotPending();
  assert.deepEqual([job.queueTimes.pendingSinceMs, job.queueTimes.starvingSinceMs], [NaN, 40]);
});

test('a job uses spot instances first, then any, and runs without deadlines after its last deadline', () => {
  const job = createJob({ spot: true, deadlineS: 10 }, { memberStates: 'NN' });
  assert.deepEqual([job.mayLaunchSpotOnly, job.mayLaunchOnDemand], [false, false]);
  job.submitExecutableMembers();
  assert.deepEqual([job.mayLaunchSpotOnly, job.mayLaunchOnDemand], [true, false]);
  assert.ok(!job.isStartPersisted);
  job.persistence.completeWrite(job.beginWrite(1), 6);
  assert.ok(job.isStartPersisted);
  job.fallBackFromSpot();
  assert.deepEqual([job.mayLaunchSpotOnly, job.mayLaunchOnDemand], [false, true]);
  assert.equal(job.endPipelineIfDue(10_999), undefined);
  assert.equal(job.endPipelineIfDue(11_000), 'expired');
  const { record } = job.beginWrite(1);
  assert.deepEqual([record.phase, record.memberStates, record.isSuccessorRunning], ['open', 'EN', true]);
});

test('a job can be cancelled only once', () => {
  const job = createJob();
  assert.deepEqual([job.cancel(), job.cancel(), job.phase], [true, false, 'cancelled']);
  assert.equal(job.endPipelineIfDue(9_000), undefined);
});
