import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  dependencyListKey,
  measureEncodedBytes,
  maxJobBytes,
  readDependencies,
  splitByEncodedSize,
} from '../../src/state/records.js';
import { createJobSpec } from '../fixtures.js';

test('the longest dependency lists that a request allows fit into values, and are read back completely or not at all', () => {
  const list = Array.from({ length: 4_500 }, (_, i) => `job-${String(i).padStart(6, '0')}`);
  for (const valueBytes of [2048, 8192]) {
    const parts = splitByEncodedSize(list, valueBytes);
    assert.deepEqual(parts.flat(), list);
    for (const part of parts) assert.ok(measureEncodedBytes(part) <= valueBytes);
    const reference = { id: 'x', parts: parts.length };
    const spec = createJobSpec({ dependencyList: reference });
    const valuesByKey = new Map(
      parts.map((part, i) => [dependencyListKey(spec.uid, reference, i), part as unknown]),
    );
    assert.deepEqual(
      readDependencies(spec, (key) => valuesByKey.get(key)),
      list,
    );
    valuesByKey.delete(dependencyListKey(spec.uid, reference, 1));
    assert.equal(
      readDependencies(spec, (key) => valuesByKey.get(key)),
      undefined,
    );
  }
  const recordFields = {
    phase: 'open' as const,
    acceptedMs: 1.7e12,
    memberStates: 'NN',
    isSuccessorRunning: false,
    firstCompletionSegment: '',
  };
  // The largest array also fits into the smaller value size, with all of its tasks completed.
  assert.ok(
    maxJobBytes({ ...recordFields, taskCount: 100_000, spec: createJobSpec({ tasks: 100_000 }) }) <= 2048,
  );
});
