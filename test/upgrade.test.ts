import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pack, unpack } from 'msgpackr';
import { decodePeerMessage } from '../src/leadership/peer-codec.js';
import {
  decodeGroup,
  decodeJob,
  decodeKept,
  encodeGroup,
  encodeJob,
  encodeKept,
} from '../src/state/records.js';
import { formatJson } from '../src/wire/json.js';
import { jobSpec } from './fixtures.js';
import { FRAMES, readJob, STORED, writeJob } from './former.js';

test('what the version in production wrote is read, and written again as it reads it', () => {
  for (const [name, text] of Object.entries(STORED)) {
    const value: unknown = JSON.parse(text);
    if (name === 'open' || name === 'done' || name === 'cancelled') {
      const record = decodeJob(value);
      assert.equal(record?.phase, name);
      assert.equal(record.finishedMs, undefined);
      assert.equal(formatJson(encodeJob(record)), text);
      assert.deepEqual(readJob(encodeJob(record)), record);
    } else if (name === 'group') assert.equal(formatJson(encodeGroup(decodeGroup(value)!)), text);
    else if (name === 'kept') assert.equal(formatJson(encodeKept(decodeKept(value)!)), text);
  }
});

test('the version in production reads what we write, and loses nothing that we need when it writes it again', () => {
  const dependencies = ['job-000007', 'job-000008'];
  const set = { id: 'k3', parts: 2 };
  for (const spec of [jobSpec({ dependencies }), jobSpec({ dependencySet: set }), jobSpec()]) {
    const record = {
      phase: 'open' as const,
      tasks: 4,
      spec,
      acceptedMs: 5,
      tuple: 'N',
      successor: false,
      done: '',
    };
    const read = readJob(encodeJob(record));
    assert.deepEqual(read, record);
    assert.deepEqual(decodeJob(writeJob({ ...read, tuple: 'E' })), { ...record, tuple: 'E' });
  }
  // When a job was done is said beside what it knows of; nobody writes a job again that is done.
  const done = { phase: 'done' as const, tasks: 4, acceptedMs: 5, tuple: 'S', successor: false, done: '' };
  assert.equal(readJob(encodeJob({ ...done, finishedMs: 9 }))?.phase, 'done');
  assert.equal(decodeJob(encodeJob({ ...done, finishedMs: 9 }))?.finishedMs, 9);
});

test('frames of the version in production are understood', () => {
  for (const frame of FRAMES) {
    const message = decodePeerMessage(unpack(pack(frame)));
    assert.ok(message, JSON.stringify(frame));
    // What it does not say stays unsaid.
    for (const [field, value] of Object.entries(frame))
      assert.deepEqual(
        (message as unknown as Record<string, unknown>)[field],
        value,
        `${String(frame.kind)} ${field}`,
      );
  }
});
