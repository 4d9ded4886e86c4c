import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { TASKS_PER_COMPLETION_SEGMENT } from '../../src/constants.js';
import { JobStore } from '../../src/leader/job-store.js';
import { createCommitInTerm } from '../../src/leader/term-transactions.js';
import type { Condition, Operation, KeyValue } from '../../src/state/store-client.js';
import type { StateReplica } from '../../src/state/state-replica.js';
import { completionSegmentKey, encodeJob, JOBS_PREFIX, jobKey } from '../../src/state/records.js';
import type { TransactionBatcher, CommitResult } from '../../src/state/transaction-batcher.js';
import { createJobSpec } from '../fixtures.js';

/** Creates a job store with one large job array. Its state store is a map. */
function createJobStoreFixture() {
  const tasks = TASKS_PER_COMPLETION_SEGMENT * 2;
  const storedValues = new Map<string, KeyValue>();
  const put = (key: string, value: unknown, modRevision: number): void =>
    void storedValues.set(key, { key, value, modRevision });
  const key = jobKey('job-000001');
  const record = {
    phase: 'open' as const,
    taskCount: tasks,
    spec: createJobSpec({ tasks }),
    acceptedMs: 0,
    memberStates: 'E',
  };
  put(key, encodeJob({ ...record, isSuccessorRunning: false, firstCompletionSegment: '' }), 5);
  const writes: {
    conditions: Condition[];
    operations: Operation[];
    complete: (result: CommitResult) => void;
  }[] = [];
  const refreshedKeys: string[] = [];
  const store = new JobStore({
    replica: {
      get: (requestedKey: string) => storedValues.get(requestedKey),
      listPrefix: (prefix: string) => (prefix === JOBS_PREFIX ? [storedValues.get(key)!] : []),
    } as unknown as StateReplica,
    commit: createCommitInTerm({ leaderKeyRevision: 2 }, {
      commit: (conditions: Condition[], operations: Operation[]) =>
        new Promise<CommitResult>((resolve) => writes.push({ conditions, operations, complete: resolve })),
    } as unknown as TransactionBatcher),
    dependencyLists: {
      mustMoveList: () => false,
      fitToStore: (fitting) => Promise.resolve({ kind: 'fits', record: fitting }),
    },
    objectives: [],
    maxOperations: 12,
    wallMs: () => 0,
    log: pino({ level: 'silent' }),
    onWriteEnded: (result) => store.handleWriteResult(result),
    requestRefresh: (refreshedKey) => refreshedKeys.push(refreshedKey),
    onJobCancelled: () => undefined,
  });
  /** Whether all conditions of a write hold for the values that are stored now. */
  const conditionsHold = (conditions: Condition[]): boolean =>
    conditions.every(
      (condition) =>
        condition.key === 'ph/leader' ||
        (storedValues.get(condition.key)?.modRevision ?? 0) === condition.modRevision,
    );
  return {
    store,
    job: store.jobs.get('job-000001')!,
    writes,
    storedValues,
    put,
    key,
    refreshedKeys,
    conditionsHold,
  };
}

test('a write without a response that is applied late does not keep later writes from being stored', async () => {
  const { store, job, writes, put, key, refreshedKeys, storedValues, conditionsHold } =
    createJobStoreFixture();
  job.completeTask(TASKS_PER_COMPLETION_SEGMENT + 3);
  store.persist(job);
  writes[0]!.complete({ outcome: 'unclear' });
  await Promise.resolve();
  await Promise.resolve();
  // The first write is not applied yet when the job is read again, so a second write starts while the first one is
  // still in transit.
  assert.deepEqual(refreshedKeys, [key]);
  store.applyChange({ key, value: storedValues.get(key)!.value, modRevision: 5 });
  store.persist(job);
  assert.ok(conditionsHold(writes[1]!.conditions));
  for (const { key: changedKey, value } of writes[0]!.operations) put(changedKey, value, 9);
  assert.ok(!conditionsHold(writes[1]!.conditions));
  writes[1]!.complete({ outcome: 'conflict' });
  await Promise.resolve();
  await Promise.resolve();
  // The watch delivers the job before its segment. The refresh that was requested comes after both.
  store.applyChange({ key, value: storedValues.get(key)!.value, modRevision: 9 });
  job.completeTask(TASKS_PER_COMPLETION_SEGMENT + 4);
  store.persist(job);
  assert.ok(conditionsHold(writes[2]!.conditions), 'the revision of the segment is not known');
  const segment = writes[2]!.operations.find(
    (operation) => operation.key === completionSegmentKey('job-000001', 1),
  );
  assert.ok(segment);
  assert.ok(job.persistence.isCompletionPersisted(TASKS_PER_COMPLETION_SEGMENT + 3));
});
