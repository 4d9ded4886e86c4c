import assert from 'node:assert/strict';
import { test } from 'node:test';
import { findKnownRed } from './support/known-red.js';

/** A test that is passed over without an entry of its own would hide a fault. */
test('only a test that an entry names in full is known to fail', () => {
  const text = [
    'Checks that fail.',
    '',
    '2. Command: a/run.sh',
    '   Seen: the first test',
    '',
    '14. Command: npm test',
    '   Test: the first test (seed 1)',
    '   Seed: 1',
  ].join('\n');
  const cases: [testName: string, reason: string | undefined][] = [
    ['the first test (seed 1)', 'KNOWN-RED.txt, entry 14'],
    ['the first test (seed 11)', undefined],
    ['the first test', undefined],
    ['', undefined],
  ];
  for (const [testName, reason] of cases) assert.equal(findKnownRed(testName, text), reason, testName);
});
