/**
 * Tests the decoding and validation of submissions, settings files and stored values, and the encoding of completion
 * bitmaps.
 */
import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { MAX_TASKS_PER_JOB } from '../src/constants.js';
import { decodeSubmission, MalformedSubmissionError } from '../src/api/codec.js';
import { loadSettings, SettingsError } from '../src/settings.js';
import {
  countCompletionSegments,
  decodeCompletionSegment,
  decodeJob,
  decodeInstanceTypes,
  encodeCompletionSegment,
  encodeJob,
} from '../src/state/records.js';
import { CompletionBitmap } from '../src/state/completion-bitmap.js';
import { createJobSpec, PLATFORM_SETTINGS } from './fixtures.js';

const VALID_SUBMISSION = {
  uid: 'job-000412',
  cohort: 'train',
  crew: 'vision',
  shape: 'sweep',
  rank: 'high',
  pieces: 16,
  cpus: 8.0,
  accelerators: 1.0,
  memGb: 64.0,
  cast: 'img-07',
  sizeGb: 6.2,
  builds: ['g8'],
  yard: null,
  oneZone: true,
  scatter: false,
  loaner: true,
  guessS: 240.0,
  pinS: 30.0,
  pinningS: 4.0,
  dueS: 900.0,
};

test('submissions: valid ones are decoded, and each kind of mistake is rejected', () => {
  const { builds: _b, yard: _y, dueS: _d, ...requiredFields } = VALID_SUBMISSION;
  const withDependencies = (awaits: unknown): unknown => ({ ...VALID_SUBMISSION, awaits });
  for (const valid of [
    VALID_SUBMISSION,
    requiredFields,
    { ...VALID_SUBMISSION, extra: 1 },
    { ...VALID_SUBMISSION, dueS: null },
    withDependencies([]),
  ])
    assert.equal(typeof decodeSubmission(JSON.stringify(valid)), 'object');
  const invalidSubmissions: unknown[] = [
    ...Object.keys(requiredFields).map((field) => ({ ...VALID_SUBMISSION, [field]: undefined })),
    { ...VALID_SUBMISSION, uid: 'job 1' },
    { ...VALID_SUBMISSION, uid: 7 },
    { ...VALID_SUBMISSION, shape: 'round' },
    { ...VALID_SUBMISSION, rank: 'toString' },
    { ...VALID_SUBMISSION, pieces: 0 },
    { ...VALID_SUBMISSION, pieces: 1.5 },
    { ...VALID_SUBMISSION, pieces: MAX_TASKS_PER_JOB + 1 },
    { ...VALID_SUBMISSION, cpus: -1 },
    { ...VALID_SUBMISSION, cpus: '8' },
    { ...VALID_SUBMISSION, builds: [] },
    { ...VALID_SUBMISSION, builds: 'g8' },
    { ...VALID_SUBMISSION, oneZone: 1 },
    ...['job-1', 7, {}, ['x'], [1], [null], ['job-1', 'job-']].map(withDependencies),
    [],
    null,
    7,
  ];
  for (const value of invalidSubmissions)
    assert.throws(
      () => decodeSubmission(JSON.stringify(value)),
      MalformedSubmissionError,
      JSON.stringify(value),
    );
  assert.throws(() => decodeSubmission('{'), { name: 'MalformedSubmissionError', message: 'not JSON' });
  const dependencyCases: [awaits: unknown, dependencies: string[] | undefined][] = [
    [undefined, undefined],
    [null, undefined],
    [[], undefined],
    [
      ['job-2', 'job-1', 'job-2'],
      ['job-2', 'job-1'],
    ],
  ];
  for (const [awaits, dependencies] of dependencyCases) {
    const spec = decodeSubmission(JSON.stringify(withDependencies(awaits)));
    assert.ok(typeof spec !== 'string');
    assert.deepEqual(spec.dependencies, dependencies);
  }
});

test('the completion bitmap of the largest job is encoded without loss, in segments that fit into values of the store', () => {
  const bitmap = new CompletionBitmap(MAX_TASKS_PER_JOB);
  for (let task = 0; task < MAX_TASKS_PER_JOB; task += 1 + (task % 3)) bitmap.add(task);
  const decodedBitmap = new CompletionBitmap(MAX_TASKS_PER_JOB);
  for (let segment = 0; segment < countCompletionSegments(MAX_TASKS_PER_JOB); segment++) {
    const text = encodeCompletionSegment(bitmap, segment);
    assert.ok(text.length < 4096);
    decodeCompletionSegment(decodedBitmap, segment, text);
  }
  assert.equal(decodedBitmap.completedCount, bitmap.completedCount);
  for (const task of [0, 1, 2, 8191, 8192, MAX_TASKS_PER_JOB - 1])
    assert.equal(decodedBitmap.has(task), bitmap.has(task));
  assert.equal(bitmap.add(MAX_TASKS_PER_JOB), false);
});

test('settings: files are read with defaults, and each mistake is reported in one line', () => {
  const folder = mkdtempSync(join(tmpdir(), 'settings-'));
  const platformFile = join(folder, 's.toml');
  const operatorFile = join(folder, 'o.json');
  const loadSettingsFrom = (text: string, operator?: string) => {
    writeFileSync(platformFile, text);
    if (operator === undefined) return loadSettings(platformFile);
    writeFileSync(operatorFile, operator);
    return loadSettings(platformFile, operatorFile);
  };
  const settings = loadSettingsFrom(PLATFORM_SETTINGS, '{"idleKeepS": 7}');
  assert.deepEqual(settings.peers, [{ member: 'b', zone: 'z', address: '127.0.0.1:82' }]);
  assert.equal(settings.teams[0]!.acceleratorLimit, 0);
  assert.equal(settings.operator.idleKeepS, 7);
  assert.equal(settings.operator.useSpot, true);
  // An announced limit applies at once if it is lower than the current limit.
  const settingsWithAnnouncedLimits = `${PLATFORM_SETTINGS}\n[deployment.state.next]\nwrite_rps = 7.0\nvalue_kb = 2.0\ntxn_ops = 400\n`;
  const { stateLimits } = loadSettingsFrom(settingsWithAnnouncedLimits);
  assert.deepEqual(stateLimits, { ...settings.stateLimits, writesPerSecond: 7, valueBytes: 2048 });
  for (const invalidLimit of [
    'txn_ops = 0',
    'txn_ops = 2.5',
    'value_kb = 0.1',
    'write_rps = -1',
    'rps = "many"',
  ])
    assert.throws(
      () => loadSettingsFrom(`${PLATFORM_SETTINGS}\n[deployment.state.next]\n${invalidLimit}\n`),
      (error) =>
        error instanceof SettingsError && /next/.test(error.message) && !error.message.includes('\n'),
      invalidLimit,
    );
  const invalidFiles: [text: string, operator: string | undefined, message: RegExp][] = [
    ['member = ', undefined, /s\.toml: /],
    [PLATFORM_SETTINGS.replace('member = "a"', ''), undefined, /member/],
    [PLATFORM_SETTINGS.replace('127.0.0.1:80', 'nowhere'), undefined, /public_addr/],
    [PLATFORM_SETTINGS.replace('lease_s = 14.0', 'lease_s = "x"'), undefined, /lease_s must be number/],
    [PLATFORM_SETTINGS, '{"idleKeepS": -1}', /idleKeepS/],
    [PLATFORM_SETTINGS, '{"other": 1}', /additional/],
    [PLATFORM_SETTINGS, '{', /o\.json/],
  ];
  for (const [text, operator, message] of invalidFiles)
    assert.throws(
      () => loadSettingsFrom(text, operator),
      (error: unknown) =>
        error instanceof SettingsError && message.test(error.message) && !error.message.includes('\n'),
    );
  assert.throws(() => loadSettings(join(folder, 'none')), SettingsError);
  rmSync(folder, { recursive: true });
});

test('stored values: malformed ones are rejected, and fields of a later version are kept', () => {
  const record = {
    phase: 'open' as const,
    taskCount: 4,
    spec: createJobSpec(),
    acceptedMs: 5,
    memberStates: 'NN',
    isSuccessorRunning: false,
    firstCompletionSegment: '',
  };
  const job = encodeJob(record) as Record<string, unknown>;
  assert.deepEqual(decodeJob(job), record);
  // Fields that a later version has added to the specification are kept when the job is encoded again.
  const storedSpec = job.s as Record<string, unknown>;
  const jobOfLaterVersion = { ...job, s: { ...storedSpec, later: ['x'] }, other: 1 };
  assert.deepEqual((encodeJob(decodeJob(jobOfLaterVersion)!) as typeof job).s, jobOfLaterVersion.s);
  const malformedJobs: unknown[] = [
    ...[undefined, null, 7, 'x', [], {}],
    ...[
      { ...job, p: 'z' },
      { ...job, n: 0 },
      { ...job, n: 5 },
      { ...job, n: '4' },
      { ...job, t: null },
    ],
    ...[
      { ...job, x: 'NNN' },
      { ...job, x: 'Q' },
      { ...job, s: undefined },
      { ...job, s: {} },
    ],
    ...[
      { ...storedSpec, team: 3 },
      { ...storedSpec, cpus: '2' },
      { ...storedSpec, rank: 'most' },
    ].map((s) => ({
      ...job,
      s,
    })),
  ];
  for (const value of malformedJobs) assert.equal(decodeJob(value), undefined, JSON.stringify(value));
  // The specification of a completed job may be missing.
  assert.equal(decodeJob({ ...job, p: 'd', s: undefined })?.phase, 'done');
  assert.deepEqual(decodeInstanceTypes([{ name: 'm', cpus: 'many' }, 3, null]), []);
  assert.deepEqual(decodeInstanceTypes({}), []);
});
