import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { DONE_CHUNK_TASKS } from '../src/constants.js';
import { Authority } from '../src/leadership/authority.js';
import { JobStore } from '../src/leadership/job-store.js';
import type { Condition, Operation, Row } from '../src/state/client.js';
import type { Mirror } from '../src/state/mirror.js';
import { doneKey, encodeJob, JOBS, jobKey } from '../src/state/records.js';
import type { Writer, WriteOutcome } from '../src/state/writer.js';
import { jobSpec } from './fixtures.js';

/** A store of one large array, over a state service that is a map. */
function setUp() {
  const tasks = DONE_CHUNK_TASKS * 2;
  const rows = new Map<string, Row>();
  const put = (key: string, value: unknown, stamp: number): void => void rows.set(key, { key, value, stamp });
  const key = jobKey('job-000001');
  const record = { phase: 'open' as const, tasks, spec: jobSpec({ tasks }), acceptedMs: 0, tuple: 'E' };
  put(key, encodeJob({ ...record, successor: false, done: '' }), 5);
  const writes: { conditions: Condition[]; operations: Operation[]; end: (result: WriteOutcome) => void }[] =
    [];
  const reread: string[] = [];
  const store = new JobStore({
    term: { number: 1, stamp: 2, authority: new Authority() },
    mirror: {
      get: (k: string) => rows.get(k),
      startingWith: (prefix: string) => (prefix === JOBS ? [rows.get(key)!] : []),
    } as unknown as Mirror,
    writer: {
      commit: (conditions: Condition[], operations: Operation[]) =>
        new Promise<WriteOutcome>((end) => writes.push({ conditions, operations, end })),
    } as unknown as Writer,
    objectives: [],
    txnOps: 12,
    wallMs: () => 0,
    log: pino({ level: 'silent' }),
    stored: (end) => store.onStored(end),
    reread: (k) => reread.push(k),
    cancelled: () => undefined,
  });
  /** Whether the conditions of a write hold now. */
  const holds = (conditions: Condition[]): boolean =>
    conditions.every((c) => c.key === 'ph/leader' || (rows.get(c.key)?.stamp ?? 0) === c.stamp);
  return { store, job: store.jobs.get('job-000001')!, writes, rows, put, key, reread, holds };
}

test('a write without an answer that is carried out late does not keep later ones from being stored', async () => {
  const { store, job, writes, put, key, reread, rows, holds } = setUp();
  job.finish(DONE_CHUNK_TASKS + 3);
  store.store(job);
  writes[0]!.end({ outcome: 'unclear' });
  await Promise.resolve();
  await Promise.resolve();
  // Not carried out yet by the time it is looked at: it is written again, and meets the first on its way.
  assert.deepEqual(reread, [key]);
  store.take(key, rows.get(key)!.value, 5);
  store.store(job);
  assert.ok(holds(writes[1]!.conditions));
  for (const { key: changed, value } of writes[0]!.operations) put(changed, value, 9);
  assert.ok(!holds(writes[1]!.conditions));
  writes[1]!.end({ outcome: 'conflict' });
  await Promise.resolve();
  await Promise.resolve();
  // The watch tells of the job before it tells of its chunk; the look that was asked for comes after both.
  store.take(key, rows.get(key)!.value, 9);
  job.finish(DONE_CHUNK_TASKS + 4);
  store.store(job);
  assert.ok(holds(writes[2]!.conditions), 'the stamp of the chunk is not known');
  const chunk = writes[2]!.operations.find((o) => o.key === doneKey('job-000001', 1));
  assert.ok(chunk);
  assert.ok(job.storedDone.has(DONE_CHUNK_TASKS + 3));
});
