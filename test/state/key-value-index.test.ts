import assert from 'node:assert/strict';
import { test } from 'node:test';
import { KeyValueIndex } from '../../src/state/key-value-index.js';
import type { KeyChange } from '../../src/state/key-value.js';

test('key-value index: a change is applied only if it is newer than the known state of its key', () => {
  const KEY = 'ph/j/job-1';
  const cases: [name: string, before: KeyChange[], change: KeyChange, applied: boolean, value: unknown][] = [
    ['a new key', [], { key: KEY, value: 'a', modRevision: 5 }, true, 'a'],
    [
      'newer revision',
      [{ key: KEY, value: 'a', modRevision: 5 }],
      { key: KEY, value: 'b', modRevision: 6 },
      true,
      'b',
    ],
    [
      'same revision',
      [{ key: KEY, value: 'a', modRevision: 5 }],
      { key: KEY, value: 'b', modRevision: 5 },
      false,
      'a',
    ],
    [
      'older revision',
      [{ key: KEY, value: 'a', modRevision: 5 }],
      { key: KEY, value: 'b', modRevision: 4 },
      false,
      'a',
    ],
    [
      'newer revision beyond the safe integers',
      [{ key: KEY, value: 'a', modRevision: 5 }],
      { key: KEY, value: 'b', modRevision: 2n ** 63n },
      true,
      'b',
    ],
    ['delete of an absent key', [], { key: KEY, value: undefined, modRevision: 5 }, false, undefined],
    [
      'delete at the same revision',
      [{ key: KEY, value: 'a', modRevision: 5 }],
      { key: KEY, value: undefined, modRevision: 5 },
      true,
      undefined,
    ],
    [
      'delete at an older revision',
      [{ key: KEY, value: 'a', modRevision: 5 }],
      { key: KEY, value: undefined, modRevision: 4 },
      false,
      'a',
    ],
  ];
  for (const [name, earlierChanges, change, isApplied, value] of cases) {
    const index = new KeyValueIndex();
    for (const each of earlierChanges) index.apply(each);
    assert.equal(index.apply(change), isApplied, name);
    assert.equal(index.get(KEY)?.value, value, name);
    const listedValues = [...index.listPrefix('ph/j/')].map((each) => each.value);
    assert.deepEqual(listedValues, value === undefined ? [] : [value], name);
    assert.equal(index.size, listedValues.length, name);
  }
});

test('key-value index: lists only the keys of one kind, and all entries including a key without a kind', () => {
  const index = new KeyValueIndex();
  for (const key of ['ph/j/b', 'ph/leader', 'ph/j/a', 'ph/d/a/1'])
    index.apply({ key, value: 1, modRevision: 1 });
  const keysOf = (prefix: string): string[] => [...index.listPrefix(prefix)].map(({ key }) => key);
  assert.deepEqual(keysOf('ph/j/'), ['ph/j/b', 'ph/j/a']);
  assert.deepEqual(keysOf('ph/d/'), ['ph/d/a/1']);
  assert.deepEqual(keysOf('ph/g/'), []);
  assert.deepEqual(
    [...index.entries()].map(([key]) => key),
    ['ph/j/b', 'ph/leader', 'ph/j/a', 'ph/d/a/1'],
  );
});
