import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { InstanceType } from '../../src/autoscaler/cloud-codec.js';
import { TASKS_PER_COMPLETION_SEGMENT } from '../../src/constants.js';
import type { PeerMessage } from '../../src/peers/peer-messages.js';
import { SpotInterruptionRate } from '../../src/autoscaler/spot-interruption-rate.js';
import * as records from '../../src/state/records.js';
import { CompletionBitmap } from '../../src/state/completion-bitmap.js';
import { formatJson, parseJson } from '../../src/wire/json.js';
import { createJobSpec } from '../fixtures.js';
import { readForms } from './golden-forms.js';
import { encodeRawFrameHex, encodeFrameHex, decodeFramesHex } from './peer-frame-hex.js';

/**
 * Forms that the code of the version in production (deploy/service.toml) wrote: its record encoders, a leader in its
 * simulation of a day, and its peer connection on real sockets. This version must decode them to the same values. Values that
 * both versions encode must be encoded as the same bytes. The files never change. A later version in production gets its own
 * files.
 */
const storedForms = readForms(new URL('./forms/production-8544a85e-stored.json', import.meta.url));
const frameForms = readForms(new URL('./forms/production-8544a85e-frames.json', import.meta.url));

const checkedStoredNames = new Set<string>();

function getStoredText(formName: string): string {
  const text = storedForms[formName];
  assert.ok(text !== undefined, formName);
  checkedStoredNames.add(formName);
  return text;
}

const OPEN_JOB: records.JobRecord = {
  phase: 'open',
  taskCount: 4,
  spec: createJobSpec(),
  acceptedMs: 1_790_000_002_622,
  memberStates: 'NN',
  isSuccessorRunning: false,
  firstCompletionSegment: '',
};

const SERVICE_SPEC = createJobSpec({
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
  image: 'img-ü',
  imageGb: 1.8,
  estimatedRunS: 65.5,
  checkpointIntervalS: 30,
  checkpointS: 4.25,
  deadlineS: 143,
});

const JOB_WITHOUT_SPEC: records.JobRecord = { ...OPEN_JOB, spec: undefined };

const JOBS: Record<string, records.JobRecord> = {
  'open array': OPEN_JOB,
  'open service': { ...OPEN_JOB, taskCount: 3, spec: SERVICE_SPEC },
  'some tasks finished': { ...OPEN_JOB, memberStates: 'EN', firstCompletionSegment: 'Bw==' },
  'successor runs': { ...OPEN_JOB, memberStates: 'FE', isSuccessorRunning: true },
  done: { ...JOB_WITHOUT_SPEC, phase: 'done', memberStates: 'SN' },
  'done, description still there': {
    ...OPEN_JOB,
    phase: 'done',
    memberStates: 'S',
    firstCompletionSegment: 'Dw==',
  },
  cancelled: { ...JOB_WITHOUT_SPEC, phase: 'cancelled', memberStates: 'FE' },
  'cancelled, description still there': {
    ...OPEN_JOB,
    phase: 'cancelled',
    memberStates: 'E',
    firstCompletionSegment: 'AQ==',
  },
  ...Object.fromEntries(
    records.RANKS.map((rank) => [`rank ${rank}`, { ...OPEN_JOB, spec: createJobSpec({ rank }) }]),
  ),
};

for (const [name, record] of Object.entries(JOBS))
  test(`production, job: ${name}`, () => {
    const text = getStoredText(`job: ${name}`);
    assert.deepEqual(records.decodeJob(parseJson(text)), record);
    assert.equal(formatJson(records.encodeJob(record)), text);
  });

const NODE_GROUPS: Record<string, records.NodeGroupRecord> = {
  spot: {
    type: 'kufel-node',
    zone: 'warszawa-a',
    spot: true,
    nodeAddresses: new Map([
      ['vm-000039', '10.1.0.40:9000'],
      ['vm-000040', undefined],
    ]),
  },
  ordinary: { type: 'g8', zone: 'a', spot: false, nodeAddresses: new Map([['vm-2', '10.1.0.2:9000']]) },
};

for (const [name, group] of Object.entries(NODE_GROUPS))
  test(`production, node group: ${name}`, () => {
    const text = getStoredText(`machine group: ${name}`);
    assert.deepEqual(records.decodeNodeGroup(parseJson(text)), group);
    assert.equal(formatJson(records.encodeNodeGroup(group)), text);
  });

test('production, delegated leases', () => {
  const delegatedLeases: records.DelegatedLeasesRecord = { term: 12, nodeNames: ['vm-000039', 'vm-000040'] };
  const text = getStoredText('delegated leases');
  assert.deepEqual(records.decodeDelegatedLeases(parseJson(text)), delegatedLeases);
  assert.equal(formatJson(records.encodeDelegatedLeases(delegatedLeases)), text);
});

test('production, leader', () => {
  const leader: records.LeaderRecord = { member: 'c0', term: 1, delegatesCloudCalls: false };
  const text = getStoredText('leader');
  assert.deepEqual(records.decodeLeader(parseJson(text)), leader);
  assert.equal(formatJson(records.encodeLeader(leader)), text);
});

const INSTANCE_TYPES: InstanceType[] = [
  {
    name: 'm4',
    cpus: 4,
    accelerators: 0,
    memGb: 16,
    cacheGb: 40,
    pullGbPerS: 1,
    price: 0.2,
    spotPrice: 0.2 / 3,
    bootS: 8,
    zones: ['east', 'west'],
  },
];

test('production, catalog', () => {
  assert.deepEqual(records.decodeInstanceTypes(parseJson(getStoredText('catalog'))), INSTANCE_TYPES);
});

test('production, spot interruption rate', () => {
  const text = getStoredText('losses');
  assert.equal(formatJson(new SpotInterruptionRate(parseJson(text), 0).toRecord()), text);
  const interruptionRate = new SpotInterruptionRate(undefined, 0);
  interruptionRate.recordUsage(3, 5_400_000);
  interruptionRate.recordInterruption(5_400_000);
  assert.equal(formatJson(interruptionRate.toRecord()), text);
});

test('production, completed tasks of a large array', () => {
  const taskCount = TASKS_PER_COMPLETION_SEGMENT * 2 + 9;
  const completedTaskNumbers = [
    0,
    9,
    TASKS_PER_COMPLETION_SEGMENT + 17,
    TASKS_PER_COMPLETION_SEGMENT * 2 + 8,
  ];
  const decodedTasks = new CompletionBitmap(taskCount);
  const completedTasks = new CompletionBitmap(taskCount);
  for (const task of completedTaskNumbers) completedTasks.add(task);
  for (const segment of [0, 1, 2]) {
    const text = getStoredText(`finished tasks, part ${segment}`);
    records.decodeCompletionSegment(decodedTasks, segment, text);
    assert.equal(records.encodeCompletionSegment(completedTasks, segment), text);
  }
  assert.equal(decodedTasks.completedCount, completedTaskNumbers.length);
  for (const task of completedTaskNumbers) assert.ok(decodedTasks.has(task), String(task));
});

const KEYS: Record<string, string> = {
  leader: records.LEADER_KEY,
  term: records.TERM_KEY,
  catalog: records.CATALOG_KEY,
  losses: records.SPOT_INTERRUPTIONS_KEY,
  job: records.jobKey('job-000412'),
  'finished tasks': records.completionSegmentKey('job-000412', 2),
  'machine group': records.nodeGroupKey('12-3'),
  'delegated leases': records.delegatedLeasesKey('hearth-2', '12-1'),
};

for (const [name, key] of Object.entries(KEYS))
  test(`production, key: ${name}`, () => assert.equal(key, getStoredText(`key: ${name}`)));

const MESSAGES: Record<string, PeerMessage> = {
  beat: { kind: 'heartbeat' },
  counts: { kind: 'counts', running: { 'job-000001': 3, 'job-000412': 70_000 } },
  'able, relays for nobody': { kind: 'status', isEligible: true, relayTarget: null },
  'not able': { kind: 'status', isEligible: false, relayTarget: 'hearth-1' },
  relay: { kind: 'relay', id: 4_503_599_627_370_497, body: '{"hearth":"vm-ü"}' },
  relayed: { kind: 'relayed', id: 7, status: 200, body: '{"baton":12,"orders":[]}' },
  'ask, first': { kind: 'leaseVoteRequest', round: 1, term: 12, sinceRevision: 400, offset: undefined },
  ask: {
    kind: 'leaseVoteRequest',
    round: 2,
    term: 12,
    sinceRevision: 2n ** 63n + 1n,
    offset: { logId: 77, sequence: 3 },
  },
  cancellations: {
    kind: 'cancellations',
    round: 2,
    term: 12,
    cancelledJobs: [
      {
        key: records.jobKey('job-000001'),
        value: records.encodeJob(JOBS['cancelled, description still there']!),
        modRevision: 401,
      },
    ],
  },
  promise: {
    kind: 'leaseVote',
    round: 2,
    term: 12,
    isGranted: true,
    transfer: { messageCount: 1, endOffset: { logId: 77, sequence: 4 } },
  },
  'promise, does not inform': { kind: 'leaseVote', round: 2, term: 12, isGranted: true, transfer: undefined },
};

for (const [name, message] of Object.entries(MESSAGES))
  test(`production, frame: ${name}`, () => {
    const hex = frameForms[name];
    assert.ok(hex !== undefined, name);
    const decoded = decodeFramesHex(hex);
    assert.deepEqual(decoded, [message]);
    assert.equal(encodeFrameHex(message), hex);
  });

test('production, frame: lease vote that is not granted', () => {
  const decoded = decodeFramesHex(frameForms['promise, not given']!);
  assert.deepEqual(decoded, [
    { kind: 'leaseVote', round: 2, term: 12, isGranted: false, transfer: undefined },
  ]);
  const sent: PeerMessage = { kind: 'leaseVote', round: 2, term: 12, isGranted: false };
  assert.equal(encodeFrameHex(sent), frameForms['promise, not given']);
});

test('production, first frame of a connection', () => {
  assert.equal(encodeRawFrameHex({ member: 'hearth-0' }), frameForms['name of the controller']);
});

test('every form of the version in production is checked', () => {
  // The record of the term is covered by leader-conversation.test.ts, in which a controller is elected and writes it.
  assert.deepEqual([...checkedStoredNames, 'term'].sort(), Object.keys(storedForms).sort());
  const checkedFrameNames = [...Object.keys(MESSAGES), 'promise, not given', 'name of the controller'];
  assert.deepEqual(Object.keys(frameForms).sort(), checkedFrameNames.sort());
});
