/** Golden forms of the keys in the state store. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ROLES, roleHolderKey, intentKey, INTENT_KEY_PREFIX, fencingTokenKey } from '@pumicehinge/duties';
import {
  CATALOG_KEY,
  dependencyListKey,
  DEPENDENCY_LISTS_PREFIX,
  parseJobUidOfDetail,
  COMPLETION_SEGMENTS_PREFIX,
  completionSegmentKey,
  nodeGroupKey,
  NODE_GROUPS_PREFIX,
  isJobKey,
  isDelegatedLeasesKey,
  jobKey,
  JOBS_PREFIX,
  DELEGATED_LEASES_PREFIX,
  delegatedLeasesKey,
  parseJobUid,
  LEADER_KEY,
  SPOT_INTERRUPTIONS_KEY,
  ROOT_PREFIX,
  TERM_KEY,
} from '../../src/state/records.js';
import { GoldenForms } from './golden-forms.js';

const forms = new GoldenForms('stored-keys');

const JOB_UID = 'job-000412';

/** Every key in the state store, and each prefix under which keys are listed. */
const KEYS: Record<string, string> = {
  'prefix of all': ROOT_PREFIX,
  leader: LEADER_KEY,
  term: TERM_KEY,
  catalog: CATALOG_KEY,
  losses: SPOT_INTERRUPTIONS_KEY,
  'prefix of jobs': JOBS_PREFIX,
  job: jobKey(JOB_UID),
  'prefix of finished tasks': COMPLETION_SEGMENTS_PREFIX,
  'finished tasks': completionSegmentKey(JOB_UID, 1),
  'finished tasks, tenth part': completionSegmentKey(JOB_UID, 10),
  'prefix of dependency lists': DEPENDENCY_LISTS_PREFIX,
  'dependency list': dependencyListKey(JOB_UID, { id: 'k3x', parts: 2 }, 0),
  'dependency list, second part': dependencyListKey(JOB_UID, { id: 'k3x', parts: 2 }, 1),
  'prefix of machine groups': NODE_GROUPS_PREFIX,
  'machine group': nodeGroupKey('12-3'),
  'prefix of delegated leases': DELEGATED_LEASES_PREFIX,
  'delegated leases': delegatedLeasesKey('hearth-2', '12-1'),
  'delegated leases of one controller': delegatedLeasesKey('hearth-2', ''),
  'prefix of orders': INTENT_KEY_PREFIX,
  order: intentKey({ term: 12, sequence: 34 }),
  ...Object.fromEntries(ROLES.map((role) => [`holder of ${role}`, roleHolderKey(role)])),
  ...Object.fromEntries(ROLES.map((role) => [`token of ${role}`, fencingTokenKey(role)])),
};

for (const [name, key] of Object.entries(KEYS)) test(`key: ${name}`, () => forms.check(name, key));

test('the job and the kind of a record are read from its key', () => {
  assert.equal(parseJobUid(forms.getText('job')), JOB_UID);
  for (const name of ['finished tasks', 'finished tasks, tenth part', 'dependency list'])
    assert.equal(parseJobUidOfDetail(forms.getText(name)), JOB_UID, name);
  for (const name of Object.keys(KEYS)) {
    const key = forms.getText(name);
    assert.equal(isJobKey(key), name === 'job' || name === 'prefix of jobs', name);
    assert.equal(isDelegatedLeasesKey(key), name.includes('delegated leases'), name);
  }
});

forms.addCompletenessTest();
