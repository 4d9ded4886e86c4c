/**
 * Tests that this version reads the stored values and peer messages of the version in production, and that the
 * version in production reads the job records of this version. Both run side by side during a rolling upgrade.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pack, unpack } from 'msgpackr';
import { decodePeerMessage, encodePeerMessage } from '../src/peers/peer-codec.js';
import {
  decodeNodeGroup,
  decodeJob,
  decodeDelegatedLeases,
  encodeNodeGroup,
  encodeJob,
  encodeDelegatedLeases,
  type JobRecord,
} from '../src/state/records.js';
import { formatJson } from '../src/wire/json.js';
import { createJobSpec } from './fixtures.js';
import {
  PEER_FRAMES,
  decodeJobAsProduction,
  STORED_VALUES,
  encodeJobAsProduction,
} from './production-version.js';

/** Maps fields of a job's description to their names in the version in production. */
const PRODUCTION_SPEC_FIELDS: Record<string, string> = {
  jobClass: 'cohort',
  instanceTypes: 'types',
  singleZone: 'oneZone',
  zoneSpread: 'scatter',
  estimatedRunS: 'guessS',
  checkpointIntervalS: 'saveEveryS',
  checkpointS: 'saveS',
  deadlineS: 'dueS',
  dependencyList: 'dependencySet',
};

/** Returns a job's record with the field names of the version in production. */
function withProductionFieldNames({
  memberStates: tuple,
  firstCompletionSegment: done,
  spec,
  ...rest
}: JobRecord): object {
  const fields = Object.entries(spec ?? {}).map(([name, value]) => [
    PRODUCTION_SPEC_FIELDS[name] ?? name,
    value,
  ]);
  return { ...rest, tuple, done, spec: spec && Object.fromEntries(fields) };
}

test('values of the version in production are decoded, and encoded again in a form that it reads', () => {
  for (const [name, text] of Object.entries(STORED_VALUES)) {
    const value: unknown = JSON.parse(text);
    if (name === 'open' || name === 'done' || name === 'cancelled') {
      const record = decodeJob(value);
      assert.equal(record?.phase, name);
      assert.equal(record.finishedMs, undefined);
      assert.equal(formatJson(encodeJob(record)), text);
      assert.deepEqual(decodeJobAsProduction(encodeJob(record)), withProductionFieldNames(record));
    } else if (name === 'group') assert.equal(formatJson(encodeNodeGroup(decodeNodeGroup(value)!)), text);
    else if (name === 'kept')
      assert.equal(formatJson(encodeDelegatedLeases(decodeDelegatedLeases(value)!)), text);
  }
});

test('the version in production reads the values of this version and keeps every needed field when it writes them again', () => {
  const dependencies = ['job-000007', 'job-000008'];
  const dependencyList = { id: 'k3', parts: 2 };
  for (const spec of [createJobSpec({ dependencies }), createJobSpec({ dependencyList }), createJobSpec()]) {
    const record = {
      phase: 'open' as const,
      taskCount: 4,
      spec,
      acceptedMs: 5,
      memberStates: 'N',
      isSuccessorRunning: false,
      firstCompletionSegment: '',
    };
    const decoded = decodeJobAsProduction(encodeJob(record));
    assert.deepEqual(decoded, withProductionFieldNames(record));
    assert.deepEqual(decodeJob(encodeJobAsProduction({ ...decoded, tuple: 'E' })), {
      ...record,
      memberStates: 'E',
    });
  }
  // The version in production ignores the time at which a job finished. No version writes a finished job again.
  const done = {
    phase: 'done' as const,
    taskCount: 4,
    acceptedMs: 5,
    memberStates: 'S',
    isSuccessorRunning: false,
    firstCompletionSegment: '',
  };
  assert.equal(decodeJobAsProduction(encodeJob({ ...done, finishedMs: 9 }))?.phase, 'done');
  assert.equal(decodeJob(encodeJob({ ...done, finishedMs: 9 }))?.finishedMs, 9);
});

test('frames of the version in production are decoded', () => {
  for (const frame of PEER_FRAMES) {
    const message = decodePeerMessage(unpack(pack(frame)));
    assert.ok(message, JSON.stringify(frame));
    // Encoding the decoded message again gives the same fields.
    const reencoded = encodePeerMessage(message) as Record<string, unknown>;
    for (const [field, value] of Object.entries(frame))
      assert.deepEqual(reencoded[field], value, `${String(frame.kind)} ${field}`);
  }
});
