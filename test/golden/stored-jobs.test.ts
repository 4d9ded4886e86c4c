/** Golden forms of stored jobs, their completed tasks and their dependency lists. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { TASKS_PER_COMPLETION_SEGMENT } from '../../src/constants.js';
import {
  decodeCompletionSegment,
  decodeJob,
  readDependencies,
  encodeCompletionSegment,
  encodeJob,
  isCancelledJob,
  maxJobBytes,
  RANKS,
  splitByEncodedSize,
  decodeJobDependencies,
  type JobRecord,
} from '../../src/state/records.js';
import { CompletionBitmap } from '../../src/state/completion-bitmap.js';
import { formatJson, parseJson } from '../../src/wire/json.js';
import { createJobSpec } from '../fixtures.js';
import { GoldenForms, testRoundTrips } from './golden-forms.js';

const forms = new GoldenForms('stored-jobs');

const OPEN_JOB: JobRecord = {
  phase: 'open',
  taskCount: 4,
  spec: createJobSpec(),
  acceptedMs: 1_790_000_002_622,
  memberStates: 'N',
  isSuccessorRunning: false,
  firstCompletionSegment: '',
};

/** The fields of a job whose spec was removed after the job ended. */
const JOB_WITHOUT_SPEC: JobRecord = { ...OPEN_JOB, spec: undefined };

const FULL_SPEC = createJobSpec({
  uid: 'job-312747',
  jobClass: 'league-tables',
  team: 'quizmaster-tools',
  kind: 'service',
  rank: 'prod',
  tasks: 3,
  cpus: 2.5,
  accelerators: 1,
  memGb: 8.8,
  instanceTypes: ['kufel-node', 'szklanka-node'],
  zone: 'warszawa-a',
  singleZone: true,
  zoneSpread: true,
  spot: true,
  image: 'img-ü"\\',
  imageGb: 1.8,
  estimatedRunS: 65.5,
  checkpointIntervalS: 30,
  checkpointS: 4.25,
  deadlineS: 143,
});

const JOBS: Record<string, JobRecord> = {
  'open array': OPEN_JOB,
  'open service with every field': { ...OPEN_JOB, taskCount: 3, spec: FULL_SPEC, memberStates: 'NN' },
  'preferred member runs': { ...OPEN_JOB, memberStates: 'EN' },
  'preferred member failed': { ...OPEN_JOB, memberStates: 'FE' },
  'successor runs': { ...OPEN_JOB, memberStates: 'E', isSuccessorRunning: true },
  'some tasks finished': { ...OPEN_JOB, memberStates: 'E', firstCompletionSegment: 'Bw==' },
  'one dependency': { ...OPEN_JOB, spec: createJobSpec({ dependencies: ['job-000007'] }) },
  'two dependencies': { ...OPEN_JOB, spec: createJobSpec({ dependencies: ['job-000008', 'job-000007'] }) },
  'dependencies in keys of their own': {
    ...OPEN_JOB,
    spec: createJobSpec({ dependencyList: { id: '1z4k9', parts: 3 } }),
  },
  done: { ...JOB_WITHOUT_SPEC, phase: 'done', memberStates: 'S', finishedMs: 1_790_000_102_623 },
  'done, as a former version wrote it': { ...JOB_WITHOUT_SPEC, phase: 'done', memberStates: 'SN' },
  'done, description still there': {
    ...OPEN_JOB,
    phase: 'done',
    memberStates: 'S',
    firstCompletionSegment: 'Dw==',
    finishedMs: 1_790_000_102_623,
  },
  cancelled: { ...JOB_WITHOUT_SPEC, phase: 'cancelled', memberStates: 'F' },
  'cancelled, description still there': {
    ...OPEN_JOB,
    phase: 'cancelled',
    memberStates: 'E',
    firstCompletionSegment: 'AQ==',
  },
  ...Object.fromEntries(
    RANKS.map((rank) => [`rank ${rank}`, { ...OPEN_JOB, spec: createJobSpec({ rank }) }]),
  ),
};

const encodeRecord = (record: JobRecord): string => formatJson(encodeJob(record));

testRoundTrips(forms, 'job', JOBS, { encode: encodeRecord, decode: (text) => decodeJob(parseJson(text)) });

type StoredFields = Record<string, unknown>;

test('fields that a later version adds to the spec of a job are preserved', () => {
  const value = parseJson(forms.getText('job: open service with every field')) as StoredFields;
  const valueWithLaterFields = {
    ...value,
    later: 1,
    s: { ...(value.s as StoredFields), later: ['x'], other: null },
  };
  const decoded = decodeJob(valueWithLaterFields);
  assert.ok(decoded?.spec);
  forms.check('job with later fields', encodeRecord(decoded));
  forms.check('job with later fields, cancelled', encodeRecord({ ...decoded, phase: 'cancelled' }));
  assert.equal(decoded.spec.team, FULL_SPEC.team);
});

test('a job with a required field that is missing or of another type is not decoded', () => {
  const value = parseJson(forms.getText('job: open service with every field')) as StoredFields;
  const spec = value.s as StoredFields;
  for (const field of ['p', 'n', 't', 'x', 's']) {
    const { [field]: _removed, ...incomplete } = value;
    assert.equal(decodeJob(incomplete), undefined, `without ${field}`);
    assert.equal(decodeJob({ ...value, [field]: [] }), undefined, `${field} of another type`);
  }
  for (const field of Object.keys(spec)) {
    const { [field]: _removed, ...incomplete } = spec;
    assert.equal(decodeJob({ ...value, s: incomplete }), undefined, `spec without ${field}`);
    assert.equal(
      decodeJob({ ...value, s: { ...spec, [field]: { a: 1 } } }),
      undefined,
      `spec, ${field} of another type`,
    );
  }
});

test('omitted optional fields of a job are decoded as their defaults', () => {
  const value = parseJson(forms.getText('job: some tasks finished')) as StoredFields;
  const { u: _isSuccessorRunning, d: _firstCompletionSegment, ...incomplete } = value;
  assert.deepEqual(decodeJob(incomplete), { ...OPEN_JOB, memberStates: 'E' });
});

test('the phase and the dependencies of a job are read from its stored value', () => {
  for (const [name, record] of Object.entries(JOBS)) {
    const value = parseJson(forms.getText(`job: ${name}`));
    assert.equal(isCancelledJob(value), record.phase === 'cancelled', name);
    const expectedDependencies = record.spec?.dependencyList ? undefined : (record.spec?.dependencies ?? []);
    const decoded = decodeJobDependencies(value, () => undefined);
    assert.deepEqual(decoded, { phase: record.phase, dependencies: expectedDependencies }, name);
  }
});

test('the maximum stored size of a job is computed', () => {
  for (const name of ['open array', 'open service with every field', 'two dependencies'])
    forms.check(`bytes: ${name}`, String(maxJobBytes(JOBS[name]!)));
});

test('completed tasks: each segment of a large array is encoded and decoded', () => {
  const taskCount = TASKS_PER_COMPLETION_SEGMENT * 2 + 9;
  const completedTaskNumbers = [
    0,
    1,
    9,
    TASKS_PER_COMPLETION_SEGMENT - 1,
    TASKS_PER_COMPLETION_SEGMENT + 17,
    TASKS_PER_COMPLETION_SEGMENT * 2 + 8,
  ];
  const completedTasks = new CompletionBitmap(taskCount);
  for (const task of completedTaskNumbers) completedTasks.add(task);
  const decodedTasks = new CompletionBitmap(taskCount);
  for (const segment of [0, 1, 2]) {
    const formName = `finished tasks, part ${segment}`;
    forms.check(formName, encodeCompletionSegment(completedTasks, segment));
    decodeCompletionSegment(decodedTasks, segment, forms.getText(formName));
  }
  forms.check('finished tasks, none', encodeCompletionSegment(new CompletionBitmap(taskCount), 0));
  for (let task = 0; task < taskCount; task++)
    assert.equal(decodedTasks.has(task), completedTaskNumbers.includes(task), String(task));
});

test('a dependency list that is too long for one value is split, and read back from its parts', () => {
  const uids = ['job-000001', 'job-000002', 'job-000003', 'job-4', 'job-0000000005'];
  const parts = splitByEncodedSize(uids, 40);
  parts.forEach((part, index) => forms.check(`dependency list, part ${index}`, formatJson(part)));
  const spec = createJobSpec({ dependencyList: { id: 'a1', parts: parts.length } });
  const storedParts = parts.map((_, index) => parseJson(forms.getText(`dependency list, part ${index}`)));
  const getStoredPart = (key: string): unknown => storedParts[Number(key.split('-').at(-1))];
  assert.deepEqual(readDependencies(spec, getStoredPart), uids);
  assert.equal(
    readDependencies(spec, () => undefined),
    undefined,
  );
});

forms.addCompletenessTest();
