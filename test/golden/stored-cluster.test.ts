/** Golden forms of stored leaders, node groups, delegated leases, instance types and spot interruption rates. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import type { InstanceType } from '../../src/autoscaler/cloud-codec.js';
import { InstanceCatalog } from '../../src/leader/instance-catalog.js';
import { SpotInterruptionRate } from '../../src/autoscaler/spot-interruption-rate.js';
import type { Operation } from '../../src/state/store-client.js';
import type { StateReplica } from '../../src/state/state-replica.js';
import {
  decodeNodeGroup,
  decodeDelegatedLeases,
  decodeLeader,
  decodeInstanceTypes,
  encodeNodeGroup,
  encodeDelegatedLeases,
  encodeLeader,
  nodeGroupContains,
  type NodeGroupRecord,
  type DelegatedLeasesRecord,
  type LeaderRecord,
} from '../../src/state/records.js';
import { formatJson, parseJson } from '../../src/wire/json.js';
import { GoldenForms, testRoundTrips } from './golden-forms.js';

const forms = new GoldenForms('stored-cluster');

const LEADERS: Record<string, LeaderRecord> = {
  'does all itself': { member: 'hearth-2', term: 12, delegatesCloudCalls: false },
  'leaves work to the holders of duties': { member: 'hearth-0', term: 1, delegatesCloudCalls: true },
};

testRoundTrips(forms, 'leader', LEADERS, {
  encode: (leader) => formatJson(encodeLeader(leader)),
  decode: (text) => decodeLeader(parseJson(text)),
});

const NODE_GROUPS: Record<string, NodeGroupRecord> = {
  'spot, one reports and one boots': {
    type: 'kufel-node',
    zone: 'warszawa-a',
    spot: true,
    nodeAddresses: new Map([
      ['vm-000039', '10.1.0.40:9000'],
      ['vm-000040', undefined],
    ]),
  },
  ordinary: { type: 'g8', zone: 'a', spot: false, nodeAddresses: new Map([['vm-2', '10.1.0.2:9000']]) },
  'without machines': { type: 'g8', zone: 'a', spot: false, nodeAddresses: new Map() },
};

testRoundTrips(forms, 'machine group', NODE_GROUPS, {
  encode: (group) => formatJson(encodeNodeGroup(group)),
  decode: (text) => decodeNodeGroup(parseJson(text)),
});

test('whether a node belongs to a group is read from the stored group', () => {
  const value = parseJson(forms.getText('machine group: spot, one reports and one boots'));
  for (const [name, isContained] of [
    ['vm-000039', true],
    ['vm-000040', true],
    ['vm-000041', false],
    ['toString', false],
  ] as const)
    assert.equal(nodeGroupContains(value, name), isContained, name);
});

const DELEGATED_LEASES: Record<string, DelegatedLeasesRecord> = {
  'two machines': { term: 12, nodeNames: ['vm-000039', 'vm-000040'] },
  'no machine': { term: 1, nodeNames: [] },
};

testRoundTrips(forms, 'delegated leases', DELEGATED_LEASES, {
  encode: (leases) => formatJson(encodeDelegatedLeases(leases)),
  decode: (text) => decodeDelegatedLeases(parseJson(text)),
});

const INSTANCE_TYPES: InstanceType[] = [
  {
    name: 'kufel-node',
    cpus: 8,
    accelerators: 0,
    memGb: 32,
    cacheGb: 40,
    pullGbPerS: 0.5,
    price: 0.4,
    spotPrice: 0.13,
    bootS: 22.5,
    zones: ['warszawa-a', 'warszawa-b'],
  },
  {
    name: 'gpu-node',
    cpus: 16,
    accelerators: 4,
    memGb: 128,
    cacheGb: 200,
    pullGbPerS: 1,
    price: 3.25,
    spotPrice: 1,
    bootS: 60,
    zones: [],
  },
];

test('catalog: the instance types that a leader stores are read by the next leader', () => {
  const writtenOperations: Operation[] = [];
  const replica = { get: () => undefined } as unknown as StateReplica;
  const commit = (_conditions: unknown, operations: Operation[]) => {
    writtenOperations.push(...operations);
    return Promise.resolve({ outcome: 'conflict' as const });
  };
  const log = pino({ level: 'silent' });
  new InstanceCatalog({ replica, commit, log }).update(INSTANCE_TYPES);
  assert.equal(writtenOperations.length, 1);
  forms.check('catalog: key', writtenOperations[0]!.key);
  forms.check('catalog: value', formatJson(writtenOperations[0]!.value));
  const value = parseJson(forms.getText('catalog: value'));
  assert.deepEqual(decodeInstanceTypes(value), INSTANCE_TYPES);
  const storedKeyValue = { key: forms.getText('catalog: key'), value, modRevision: 1 };
  const nextCatalog = new InstanceCatalog({
    replica: { get: () => storedKeyValue } as unknown as StateReplica,
    commit,
    log,
  });
  assert.deepEqual([...nextCatalog.types.values()], INSTANCE_TYPES);
});

test('spot interruption rate: the record that a leader stores is read by the next leader', () => {
  const interruptionRate = new SpotInterruptionRate(undefined, 0);
  forms.check('losses: none', formatJson(interruptionRate.toRecord()));
  interruptionRate.recordUsage(3, 5_400_000);
  interruptionRate.recordInterruption(5_400_000);
  interruptionRate.recordInterruption(5_400_500);
  forms.check('losses: two', formatJson(interruptionRate.toRecord()));
  interruptionRate.recordUsage(1, 5_401_000);
  forms.check('losses: hours are rounded', formatJson(interruptionRate.toRecord()));
  for (const formName of ['losses: none', 'losses: two', 'losses: hours are rounded']) {
    const nextRate = new SpotInterruptionRate(parseJson(forms.getText(formName)), 0);
    assert.equal(formatJson(nextRate.toRecord()), forms.getText(formName));
  }
  const decodedRate = new SpotInterruptionRate(parseJson(forms.getText('losses: two')), 0);
  assert.equal(
    decodedRate.computeInterruptionsPerHour(),
    new SpotInterruptionRate({ lost: 2, hours: 4.5 }, 7).computeInterruptionsPerHour(),
  );
});

/** Decoding of values that are malformed, that lack fields or that have fields of another version. */
const DECODING_CASES: [name: string, decoded: unknown, expected: unknown][] = [
  [
    'leader: written by a former version',
    decodeLeader({ member: 'a', term: 3 }),
    { ...LEADERS['does all itself'], member: 'a', term: 3 },
  ],
  ['leader: unknown field', decodeLeader({ member: 'a', term: 3, later: 1 })?.delegatesCloudCalls, false],
  [
    'leader: flag of another type',
    decodeLeader({ member: 'a', term: 3, delegates: 1 })?.delegatesCloudCalls,
    false,
  ],
  ['leader: without member', decodeLeader({ term: 3 }), undefined],
  ['leader: no value', decodeLeader(undefined), undefined],
  ['node group: without nodes', decodeNodeGroup({ t: 'a', z: 'b', s: 1 }), undefined],
  ['node group: not an object', decodeNodeGroup([]), undefined],
  ['node group: flag of another type', decodeNodeGroup({ t: 'a', z: 'b', s: true, m: {} })?.spot, false],
  ['delegated leases: without nodes', decodeDelegatedLeases({ t: 1 }), undefined],
  ['delegated leases: not an object', decodeDelegatedLeases('x'), undefined],
  [
    'delegated leases: numbers and texts are converted',
    formatJson(encodeDelegatedLeases(decodeDelegatedLeases({ t: '4', m: [1, 'b'] })!)),
    '{"t":4,"m":["1","b"]}',
  ],
];

for (const [name, decoded, expected] of DECODING_CASES)
  test(`decoding of malformed values and values of other versions, ${name}`, () =>
    assert.deepEqual(decoded, expected));

forms.addCompletenessTest();
