/** Golden forms of the responses to users, and of the transactions that their requests cause. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  MAX_USER_REQUESTS_IN_PROGRESS,
  MEMORY_CHECK_INTERVAL_MS,
  STATE_UNAVAILABLE_AFTER_MS,
} from '../../src/constants.js';
import { CATALOG_KEY, jobKey } from '../../src/state/records.js';
import { STATE_STORE_LIMITS, type ControllerHarness } from './controller-harness.js';
import { DONE_JOB_VALUE, JOB_UIDS, startFollower } from './follower-fixture.js';
import { GoldenForms } from './golden-forms.js';

const forms = new GoldenForms('user-answers');

/** A submission in the wire format, with every optional field. */
const SUBMISSION = {
  uid: 'job-000412',
  cohort: 'train',
  crew: 'blue',
  shape: 'sweep',
  rank: 'high',
  pieces: 3,
  cpus: 2.5,
  accelerators: 0,
  memGb: 6.5,
  builds: ['m4'],
  yard: 'east',
  oneZone: true,
  scatter: false,
  loaner: true,
  cast: 'img-07',
  sizeGb: 6.2,
  guessS: 240.5,
  pinS: 30,
  pinningS: 4,
  dueS: 900,
  awaits: [JOB_UIDS.pending, JOB_UIDS.done, JOB_UIDS.pending],
};

const { builds: _builds, yard: _yard, dueS: _dueS, awaits: _awaits, ...REQUIRED_FIELDS } = SUBMISSION;

type UserRequest = [method: string, path: string, body?: unknown];

const createSubmitRequest = (fields: Record<string, unknown> = {}): UserRequest => [
  'POST',
  '/submissions',
  { ...SUBMISSION, ...fields },
];
const createPollRequest = (uid: string): UserRequest => ['GET', `/submissions/${uid}`];
const createAbortRequest = (uid: string): UserRequest => ['POST', `/submissions/${uid}/abort`];

const sendRequest = (harness: ControllerHarness, [method, path, body]: UserRequest): Promise<string> =>
  harness.sendRequest(
    method,
    path,
    typeof body === 'string' || body === undefined ? body : JSON.stringify(body),
  );

/** Requests to a controller that the state store serves, whether they succeed or not. Each test starts a new controller. */
const REQUESTS: Record<string, UserRequest> = {
  healthy: ['GET', '/healthz'],
  'job accepted': createSubmitRequest(),
  'job accepted, least fields': ['POST', '/submissions', REQUIRED_FIELDS],
  'job accepted, null and later fields': createSubmitRequest({
    builds: null,
    yard: null,
    dueS: null,
    awaits: null,
    later: 1,
  }),
  'service accepted': createSubmitRequest({ shape: 'standing', rank: 'prod', awaits: [] }),
  'repeated, pending': createSubmitRequest({ uid: JOB_UIDS.pending }),
  'repeated, running': createSubmitRequest({ uid: JOB_UIDS.running }),
  'repeated, done': createSubmitRequest({ uid: JOB_UIDS.done }),
  'repeated, cancelled': createSubmitRequest({ uid: JOB_UIDS.cancelled }),
  'repeated, unreadable': createSubmitRequest({ uid: JOB_UIDS.unreadable }),
  'repeated, of a team that is not known': createSubmitRequest({ uid: JOB_UIDS.pending, crew: 'nobody' }),
  'phase pending': createPollRequest(JOB_UIDS.pending),
  'phase running': createPollRequest(JOB_UIDS.running),
  'phase done': createPollRequest(JOB_UIDS.done),
  'phase cancelled': createPollRequest(JOB_UIDS.cancelled),
  'phase cancelled, some tasks finished': createPollRequest(JOB_UIDS.cancelledWithFinishedTasks),
  'phase cancelled with what it depends on': createPollRequest(JOB_UIDS.dependsOnCancelled),
  'phase of a service': createPollRequest(JOB_UIDS.service),
  'phase of a large array': createPollRequest(JOB_UIDS.large),
  'phase unreadable': createPollRequest(JOB_UIDS.unreadable),
  'phase of a job that is not known': createPollRequest('job-777'),
  'phase of what is no job': createPollRequest('vm-1'),
  'cancelled now, pending': createAbortRequest(JOB_UIDS.pending),
  'cancelled now, running': createAbortRequest(JOB_UIDS.running),
  'cancelled, done already': createAbortRequest(JOB_UIDS.done),
  'cancelled, cancelled already': createAbortRequest(JOB_UIDS.cancelled),
  'cancelled, not known': createAbortRequest('job-777'),
  'cancelled, no job': createAbortRequest('vm-1'),
  'never runs: unknown team': createSubmitRequest({ crew: 'nobody' }),
  'never runs: unknown type': createSubmitRequest({ builds: ['m9'] }),
  'never runs: unknown zone': createSubmitRequest({ yard: 'north' }),
  'never runs: too large': createSubmitRequest({ cpus: 4.5 }),
  'never runs: more than the limit': createSubmitRequest({ shape: 'standing', pieces: 11 }),
  'never runs: accelerators': createSubmitRequest({ accelerators: 1 }),
  'never runs: a dependency that was never accepted': createSubmitRequest({
    awaits: [JOB_UIDS.pending, 'job-777'],
  }),
  'never runs: depends on itself': createSubmitRequest({ awaits: [SUBMISSION.uid] }),
  'never runs: depends on a service': createSubmitRequest({ awaits: [JOB_UIDS.service] }),
  'never runs: too long': createSubmitRequest({
    builds: ['m4', ...Array.from({ length: 60 }, () => 'x'.repeat(190))],
  }),
  'no such path': ['GET', '/'],
  'no such path below submissions': ['GET', `/submissions/${JOB_UIDS.pending}/pieces`],
  'no such path below abort': ['POST', `/submissions/${JOB_UIDS.pending}/abort/now`],
  'wrong method: health': ['POST', '/healthz'],
  'wrong method: submission': ['GET', '/submissions'],
  'wrong method: job': ['DELETE', `/submissions/${JOB_UIDS.pending}`],
  'wrong method: cancellation': ['GET', `/submissions/${JOB_UIDS.pending}/abort`],
  'wrong method: report': ['GET', '/v1/report'],
};

for (const [name, request] of Object.entries(REQUESTS))
  test(`response: ${name}`, async () => {
    const harness = await startFollower();
    const callCountBefore = harness.calls.length;
    forms.check(name, await sendRequest(harness, request));
    const writes = harness.calls.slice(callCountBefore).filter((call) => call.includes('/multi'));
    writes.forEach((call, index) => forms.check(`${name}: write ${index + 1}`, call));
  });

test('a dependency list that does not fit into the value of its job is written first, under separate keys', async () => {
  const uids = Array.from({ length: 60 }, (_, index) => `job-${200_000 + index}`);
  const jobValues = Object.fromEntries(uids.map((uid) => [jobKey(uid), DONE_JOB_VALUE]));
  const harness = await startFollower(jobValues, { stateLimits: { ...STATE_STORE_LIMITS, valueBytes: 512 } });
  const callCountBefore = harness.calls.length;
  forms.check(
    'long list',
    await sendRequest(harness, ['POST', '/submissions', { ...REQUIRED_FIELDS, awaits: uids }]),
  );
  const writes = harness.calls.slice(callCountBefore).filter((call) => call.includes('/multi'));
  assert.equal(writes.length, 2);
  writes.forEach((call, index) => forms.check(`long list: write ${index + 1}`, call));
});

/** Bodies that are not valid submissions. The response describes the first mistake. */
const INVALID_BODIES: Record<string, unknown> = {
  'no JSON': '{',
  'no body': '',
  'no object': [],
  'a number': 7,
  ...Object.fromEntries(
    Object.keys(REQUIRED_FIELDS).map((field) => [`without ${field}`, { ...SUBMISSION, [field]: undefined }]),
  ),
  ...Object.fromEntries(
    Object.keys(SUBMISSION).map((field) => [`${field} is an object`, { ...SUBMISSION, [field]: { a: 1 } }]),
  ),
  'uid with a space': { ...SUBMISSION, uid: 'job 1' },
  'cohort empty': { ...SUBMISSION, cohort: '' },
  'cohort too long': { ...SUBMISSION, cohort: 'x'.repeat(201) },
  'rank unknown': { ...SUBMISSION, rank: 'toString' },
  'shape unknown': { ...SUBMISSION, shape: 'round' },
  'no pieces': { ...SUBMISSION, pieces: 0 },
  'half a piece': { ...SUBMISSION, pieces: 1.5 },
  'too many pieces': { ...SUBMISSION, pieces: 100_001 },
  'cpus negative': { ...SUBMISSION, cpus: -1 },
  'cpus a text': { ...SUBMISSION, cpus: '8' },
  'cpus too many': { ...SUBMISSION, cpus: 1e10 },
  'builds empty': { ...SUBMISSION, builds: [] },
  'awaits what is no job': { ...SUBMISSION, awaits: ['x'] },
  'two mistakes': { ...SUBMISSION, crew: 1, cohort: 1 },
};

for (const [name, body] of Object.entries(INVALID_BODIES))
  test(`invalid submission: ${name}`, async () => {
    const harness = await startFollower();
    harness.logLevels.length = 0;
    const responseText = await sendRequest(harness, ['POST', '/submissions', body]);
    forms.check(`mistake: ${name}`, responseText);
    assert.match(responseText, /^HTTP\/1\.1 400 /);
    assert.deepEqual(harness.logLevels, ['info']);
  });

const CLOSE_HEADER_PATTERN = /\r\nConnection: close\r\n/;
const RETRY_RESPONSE_PATTERN = /^HTTP\/1\.1 503 .*\r\nRetry-After: 1\r\n/s;

test('no instance types are known: users are told to retry later', async () => {
  const harness = await startFollower({ [CATALOG_KEY]: undefined });
  forms.check('no types', await sendRequest(harness, createSubmitRequest()));
  forms.check(
    'no types, known job',
    await sendRequest(harness, createSubmitRequest({ uid: JOB_UIDS.pending })),
  );
});

test('the state store serves no controller: users are told to retry later, but final phases are still reported', async () => {
  const harness = await startFollower();
  harness.stateStore.refusedCallers.add('*');
  await harness.advance(STATE_UNAVAILABLE_AFTER_MS * 4);
  harness.receiveFromPeer('hearth-1', { kind: 'status', isEligible: false, relayTarget: 'hearth-1' });
  for (const [name, request] of [
    ['submission', createSubmitRequest()],
    ['poll', createPollRequest(JOB_UIDS.pending)],
    ['poll of a done job', createPollRequest(JOB_UIDS.done)],
    ['cancellation', createAbortRequest(JOB_UIDS.pending)],
    ['health', ['GET', '/healthz'] as UserRequest],
  ] as const)
    forms.check(`outage: ${name}`, await sendRequest(harness, request));
});

test('the state store serves only another controller: users are told to retry on a new connection', async () => {
  const harness = await startFollower();
  harness.stateStore.refusedCallers.add('*');
  await harness.advance(STATE_UNAVAILABLE_AFTER_MS * 4);
  harness.receiveFromPeer('hearth-1', { kind: 'status', isEligible: true, relayTarget: 'hearth-1' });
  await harness.advance(1);
  for (const [name, request] of [
    ['submission', createSubmitRequest()],
    ['poll', createPollRequest(JOB_UIDS.pending)],
    ['health', ['GET', '/healthz'] as UserRequest],
  ] as const) {
    const responseText = await sendRequest(harness, request);
    forms.check(`not served alone: ${name}`, responseText);
    assert.match(responseText, RETRY_RESPONSE_PATTERN);
    if (name !== 'health') assert.match(responseText, CLOSE_HEADER_PATTERN);
  }
});

test('memory is short: users are told to retry later, on a new connection', async () => {
  const harness = await startFollower();
  harness.memoryUsedBytes = 2 ** 40;
  await harness.advance(MEMORY_CHECK_INTERVAL_MS);
  const responseText = await sendRequest(harness, createPollRequest(JOB_UIDS.pending));
  forms.check('memory is short', responseText);
  assert.match(responseText, CLOSE_HEADER_PATTERN);
});

test('too many user requests are in progress: further users are told to retry later', async () => {
  const harness = await startFollower();
  harness.stateStore.drawDelayMs = () => 60_000;
  const waitingRequests = Array.from({ length: MAX_USER_REQUESTS_IN_PROGRESS }, () =>
    harness.startRequest(...(createPollRequest(JOB_UIDS.pending) as [string, string])),
  );
  const nextRequest = harness.startRequest('GET', `/submissions/${JOB_UIDS.pending}`);
  assert.ok(nextRequest.text !== undefined);
  forms.check('too many users', nextRequest.text);
  assert.ok(waitingRequests.every(({ text }) => text === undefined));
  await harness.advance(5_000);
  assert.ok(waitingRequests.every(({ text }) => text !== undefined && RETRY_RESPONSE_PATTERN.test(text)));
  forms.check('no answer of the state service in time', waitingRequests[0]!.text!);
});

forms.addCompletenessTest();
