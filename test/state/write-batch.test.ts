import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MAX_TXN_BYTES } from '../../src/constants.js';
import { estimateWriteBytes, WriteBatch, type PendingWrite } from '../../src/state/write-batch.js';

function createWrite(fields: Partial<PendingWrite>): PendingWrite {
  return {
    conditions: [],
    operations: [],
    bytes: 10,
    deadlineMs: Infinity,
    isForUser: false,
    resolve: () => undefined,
    ...fields,
  };
}

const putKeys = (...keys: string[]): Partial<PendingWrite> => ({
  operations: keys.map((key) => ({ key, value: 1 })),
});
const expectRevision = (modRevision: number, ...keys: string[]): Partial<PendingWrite> => ({
  conditions: keys.map((key) => ({ key, modRevision })),
});

test('write batch: writes share a transaction unless they contradict each other or exceed a limit', () => {
  const cases: [name: string, writes: Partial<PendingWrite>[], added: boolean[]][] = [
    ['different keys', [putKeys('a'), putKeys('b')], [true, true]],
    ['the same key twice', [putKeys('a'), putKeys('a')], [true, false]],
    [
      'a key expected at the same revision',
      [expectRevision(3, 'leader'), expectRevision(3, 'leader')],
      [true, true],
    ],
    [
      'a key expected at two revisions',
      [expectRevision(3, 'leader'), expectRevision(4, 'leader')],
      [true, false],
    ],
    [
      'as many operations as allowed, and one more',
      [putKeys('a', 'b'), putKeys('c'), putKeys('d')],
      [true, true, false],
    ],
    ['more operations than allowed at once', [putKeys('a', 'b', 'c', 'd')], [false]],
    [
      'as many conditions as allowed, and one more',
      [expectRevision(0, ...'abcdefghijkl'), expectRevision(0, 'm')],
      [true, false],
    ],
    ['too long together', [{ bytes: MAX_TXN_BYTES }, { bytes: 1 }], [true, false]],
    ['too long alone', [{ bytes: MAX_TXN_BYTES + 1 }, { bytes: 1 }], [true, false]],
  ];
  for (const [name, writes, expectedResults] of cases) {
    const batch = new WriteBatch(3);
    const pending = writes.map(createWrite);
    assert.deepEqual(
      pending.map((each) => batch.tryAdd(each)),
      expectedResults,
      name,
    );
    assert.deepEqual(
      batch.writes,
      pending.filter((_, i) => expectedResults[i]),
      name,
    );
  }
});

test('write batch: the estimated size of a write is the length of its JSON, with `stamp` and `hold` as on the wire', () => {
  const conditions = [{ key: 'ph/leader', modRevision: 2n ** 63n }];
  const operations = [
    { key: 'a', value: { n: 1 }, leaseId: 7 },
    { key: 'b', value: undefined },
  ];
  const text =
    '[[{"key":"ph/leader","stamp":9223372036854775808}],[{"key":"a","value":{"n":1},"hold":7},{"key":"b"}]]';
  assert.equal(estimateWriteBytes(conditions, operations), text.length);
});
