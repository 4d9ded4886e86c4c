/** Tests of the golden forms themselves. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { GoldenForms, GoldenUpdateInCiError, shouldUpdateForms, type Environment } from './golden-forms.js';

test('golden forms are rewritten only on request, and never in CI', () => {
  const cases: [environment: Environment, shouldUpdate: boolean][] = [
    [{}, false],
    [{ CI: 'true' }, false],
    [{ UPDATE_GOLDEN: '' }, false],
    [{ UPDATE_GOLDEN: '1' }, true],
    [{ UPDATE_GOLDEN: '1', CI: '' }, true],
  ];
  for (const [environment, shouldUpdate] of cases)
    assert.equal(shouldUpdateForms(environment), shouldUpdate, JSON.stringify(environment));
  for (const value of ['1', '0', 'true'])
    assert.throws(
      () => shouldUpdateForms({ UPDATE_GOLDEN: value, CI: 'true' }),
      GoldenUpdateInCiError,
      value,
    );
});

test('a form that differs, is missing or is checked twice fails', () => {
  const forms = new GoldenForms('stored-keys', false);
  const known = forms.getText('leader');
  assert.throws(() => forms.check('leader', `${known} `), /leader/);
  assert.throws(() => forms.check('leader', known), /is checked twice/);
  assert.throws(() => forms.check('no such form', known), /no such form/);
  assert.throws(() => forms.getText('no such form'), /no golden form is named/);
});
