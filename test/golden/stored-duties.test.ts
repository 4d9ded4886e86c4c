/** Golden forms of the stored records of leased roles: holders, fencing tokens and intents. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  decodeFencingToken,
  decodeHolder,
  decodeIntent,
  encodeFencingToken,
  encodeHolder,
  encodeIntent,
  intentKey,
  nextFencingToken,
  type Intent,
  type LaunchIntent,
  type RoleHolderRecord,
  type TerminationIntent,
} from '@pumicehinge/duties';
import { formatJson, parseJson } from '../../src/wire/json.js';
import { GoldenForms, testRoundTrips } from './golden-forms.js';

const forms = new GoldenForms('stored-duties');

const HOLDERS: Record<string, RoleHolderRecord> = {
  'of a session': { member: 'hearth-1', sessionId: 'hearth-1/7/1k2j3', fencingToken: 3 },
};

testRoundTrips(forms, 'holder', HOLDERS, {
  encode: (holder) => formatJson(encodeHolder(holder)),
  decode: (text) => decodeHolder(parseJson(text)),
});

testRoundTrips(
  forms,
  'token',
  { first: 1, large: 2 ** 52 + 1 },
  {
    encode: (token) => formatJson(encodeFencingToken(token)),
    decode: (text) => decodeFencingToken(parseJson(text)),
  },
);

test('the next fencing token is higher than any that was granted', () => {
  const value = parseJson(forms.getText('token: first'));
  const cases: [stored: Parameters<typeof nextFencingToken>[0], expectedToken: number][] = [
    [undefined, 1],
    [{ value, modRevision: 90 }, 2],
    [{ value: { token: 'x' }, modRevision: 90 }, 91],
    [{ value: null, modRevision: 90n }, 91],
  ];
  for (const [stored, expectedToken] of cases) assert.equal(nextFencingToken(stored), expectedToken);
});

const LAUNCH_INTENT: LaunchIntent = {
  id: { term: 12, sequence: 1 },
  state: 'requested',
  fencingToken: 0,
  role: 'rent',
  requestName: 'r-12-1',
  offering: { type: 'kufel-node', zone: 'warszawa-a', spot: true },
  nodeCount: 2,
  outcome: undefined,
};

const TERMINATION_INTENT: TerminationIntent = {
  id: { term: 12, sequence: 2 },
  state: 'requested',
  fencingToken: 0,
  role: 'return',
  nodeNames: ['vm-000039', 'vm-000040'],
};

const INTENTS: Record<string, Intent> = {
  'rent, ordered': LAUNCH_INTENT,
  'rent, intended': { ...LAUNCH_INTENT, state: 'committed', fencingToken: 3 },
  'rent, ordinary machine': {
    ...LAUNCH_INTENT,
    offering: { ...LAUNCH_INTENT.offering, spot: false },
    nodeCount: 1,
  },
  'rent, done': {
    ...LAUNCH_INTENT,
    state: 'completed',
    fencingToken: 3,
    outcome: { names: ['vm-000039', 'vm-000040'] },
  },
  'rent, done without machines': {
    ...LAUNCH_INTENT,
    state: 'completed',
    fencingToken: 3,
    outcome: { names: [] },
  },
  'rent, no capacity': {
    ...LAUNCH_INTENT,
    state: 'completed',
    fencingToken: 3,
    outcome: { refusalReason: 'no capacity' },
  },
  'rent, trouble': {
    ...LAUNCH_INTENT,
    state: 'completed',
    fencingToken: 4,
    outcome: { refusalReason: 'trouble' },
  },
  'return, ordered': TERMINATION_INTENT,
  'return, intended': { ...TERMINATION_INTENT, state: 'committed', fencingToken: 5 },
  'return, done': { ...TERMINATION_INTENT, state: 'completed', fencingToken: 5 },
  'reclaim, ordered': { ...TERMINATION_INTENT, role: 'reclaim', nodeNames: ['vm-000041'] },
  'reclaim, intended': { ...TERMINATION_INTENT, role: 'reclaim', state: 'committed', fencingToken: 6 },
  'reclaim, done': {
    ...TERMINATION_INTENT,
    role: 'reclaim',
    state: 'completed',
    fencingToken: 6,
    nodeNames: [],
  },
};

for (const [name, intent] of Object.entries(INTENTS))
  test(`intent: ${name}`, () => {
    forms.check(`order: ${name}`, formatJson(encodeIntent(intent)));
    assert.deepEqual(decodeIntent(intentKey(intent.id), parseJson(forms.getText(`order: ${name}`))), intent);
  });

type StoredFields = Record<string, unknown>;

test('an intent with unknown fields is decoded, but not one of an unknown version or under another key', () => {
  for (const [name, intent] of Object.entries(INTENTS)) {
    const value = parseJson(forms.getText(`order: ${name}`)) as StoredFields;
    const key = intentKey(intent.id);
    assert.deepEqual(decodeIntent(key, { ...value, later: 1 }), intent, name);
    assert.equal(decodeIntent(key, { ...value, v: 2 }), undefined, name);
    assert.equal(decodeIntent(intentKey({ term: 13, sequence: 1 }), value), undefined, name);
  }
});

test('an intent or holder with a field that is missing or of another type is not decoded', () => {
  for (const [name, intent] of Object.entries(INTENTS)) {
    const value = parseJson(forms.getText(`order: ${name}`)) as StoredFields;
    const isUnfinishedLaunch = intent.role === 'rent' && intent.state !== 'completed';
    for (const field of Object.keys(value)) {
      const { [field]: _removed, ...incomplete } = value;
      assert.equal(decodeIntent(intentKey(intent.id), incomplete), undefined, `${name} without ${field}`);
      const mistyped = { ...value, [field]: { a: 1 } };
      assert.equal(
        decodeIntent(intentKey(intent.id), mistyped),
        undefined,
        `${name}, ${field} of another type`,
      );
    }
    // The names of nodes (m) or the reason of a refusal (x) are stored unless a launch is unfinished.
    assert.equal('m' in value || 'x' in value, !isUnfinishedLaunch, name);
  }
  for (const value of [undefined, null, 7, 'x', [], {}]) {
    assert.equal(decodeIntent('ph/duty-order/12-1', value), undefined);
    assert.equal(decodeHolder(value), undefined);
    assert.equal(decodeFencingToken(value), undefined);
  }
  const holder = parseJson(forms.getText('holder: of a session')) as StoredFields;
  for (const field of Object.keys(holder)) {
    const { [field]: _removed, ...incomplete } = holder;
    assert.equal(decodeHolder(incomplete), undefined, `holder without ${field}`);
    assert.equal(decodeHolder({ ...holder, [field]: [] }), undefined, `holder, ${field} of another type`);
  }
  assert.deepEqual(decodeHolder({ ...holder, later: 1 }), HOLDERS['of a session']);
});

forms.addCompletenessTest();
