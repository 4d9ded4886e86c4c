import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MIN_CANCELLATION_LOG_ENTRIES } from '../../src/constants.js';
import { CancellationLog } from '../../src/election/cancellation-log.js';

test('a cancellation log lists the keys that a reader lacks, or returns undefined if it may have dropped some', () => {
  const log = new CancellationLog(77);
  const createKeys = (firstRevision: number, lastRevision: number): string[] =>
    Array.from({ length: lastRevision - firstRevision + 1 }, (_, i) => `k${firstRevision + i}`);
  for (let revision = 1; revision < 5; revision++) log.append(`k${revision}`, revision);
  const readOffset = log.endOffset;
  // The local replica applies a write of its own controller before the watch delivers an earlier one of another controller.
  log.append('k6', 6);
  log.append('k5', 5);
  const cases: [Parameters<CancellationLog['listKeysAfter']>, string[] | undefined][] = [
    [
      [undefined, 0],
      ['k1', 'k2', 'k3', 'k4', 'k6', 'k5'],
    ],
    [
      [undefined, 4],
      ['k6', 'k5'],
    ],
    [[undefined, 6], []],
    [
      [readOffset, 6],
      ['k6', 'k5'],
    ],
    [[log.endOffset, 0], []],
    // The offset belongs to the log of a former process.
    [[{ logId: 76, sequence: 6 }, 5], ['k6']],
  ];
  for (const [query, expected] of cases) assert.deepEqual(log.listKeysAfter(...query), expected);
  for (let revision = 7; revision <= 3 * MIN_CANCELLATION_LOG_ENTRIES; revision++)
    log.append(`k${revision}`, revision);
  const lastRevision = 3 * MIN_CANCELLATION_LOG_ENTRIES;
  assert.equal(log.listKeysAfter(undefined, 5), undefined);
  assert.equal(log.listKeysAfter(readOffset, 5), undefined);
  assert.deepEqual(
    log.listKeysAfter(undefined, lastRevision - 2),
    createKeys(lastRevision - 1, lastRevision),
  );
});
