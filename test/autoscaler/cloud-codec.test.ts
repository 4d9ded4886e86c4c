import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeCatalog, MalformedCloudResponseError } from '../../src/autoscaler/cloud-codec.js';

test('a malformed cloud response is rejected with an error that names the expected form', () => {
  const cases: [body: string, expected: string, hasCause: boolean][] = [
    ['{', 'JSON', true],
    ['[]', 'an object', false],
    ['{}', 'a catalog', false],
  ];
  for (const [body, expected, hasCause] of cases) {
    assert.throws(
      () => decodeCatalog(body),
      (error) =>
        error instanceof MalformedCloudResponseError &&
        error.name === 'MalformedCloudResponseError' &&
        error.expected === expected &&
        error.message === `cloud response is not ${expected}` &&
        error.cause instanceof Error === hasCause,
      body,
    );
  }
});
