import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createEmptyNodeCapacity } from '../../src/cluster/resources.js';
import {
  allowsZone,
  satisfiesConstraints,
  countFittingTasks,
} from '../../src/scheduler/placement-constraints.js';
import type { JobSpec } from '../../src/state/records.js';
import { createJobSpec } from '../fixtures.js';
import { SMALL_INSTANCE_TYPE } from '../support/scheduling-fixtures.js';

test('a task runs only on the instance types, zones and kinds of nodes that its job allows', () => {
  const defaultTarget = { type: 'small', zone: 'a', spot: false };
  const cases: [fields: Partial<JobSpec>, target: typeof defaultTarget, isAllowed: boolean][] = [
    [{}, defaultTarget, true],
    [{ instanceTypes: ['large'] }, defaultTarget, false],
    [{ instanceTypes: ['large', 'small'] }, defaultTarget, true],
    [{ zone: 'b' }, defaultTarget, false],
    [{}, { ...defaultTarget, spot: true }, false],
    [{ spot: true }, { ...defaultTarget, spot: true }, true],
  ];
  for (const [fields, target, isAllowed] of cases)
    assert.equal(satisfiesConstraints(createJobSpec(fields), target), isAllowed);
});

test('whether a job with zone spread or a single zone may use a zone depends on its other tasks', () => {
  const cases: [
    fields: Partial<JobSpec>,
    allocationsPerZone: Record<string, number>,
    zone: string,
    isAllowed: boolean,
  ][] = [
    [{ zoneSpread: true, tasks: 9 }, { a: 4 }, 'a', true],
    [{ zoneSpread: true, tasks: 9 }, { a: 5 }, 'a', false],
    [{ zoneSpread: true, tasks: 1 }, {}, 'a', true],
    [{ zoneSpread: true, tasks: 2 }, { a: 1 }, 'a', false],
    [{ zoneSpread: true, tasks: 2 }, { a: 1 }, 'b', true],
    [{ singleZone: true }, {}, 'b', true],
    [{ singleZone: true }, { a: 1 }, 'b', false],
    [{ singleZone: true }, { a: 1 }, 'a', true],
    [{ singleZone: true }, { a: 1, b: 1 }, 'a', false],
  ];
  for (const [fields, allocationsPerZone, zone, isAllowed] of cases)
    assert.equal(
      allowsZone(createJobSpec(fields), new Map(Object.entries(allocationsPerZone)), zone),
      isAllowed,
    );
});

test('the scarcest resource limits the number of tasks that fit', () => {
  assert.equal(
    countFittingTasks(createJobSpec({ cpus: 2, memGb: 7.6 }), createEmptyNodeCapacity(SMALL_INSTANCE_TYPE)),
    2,
  );
  assert.equal(
    countFittingTasks(
      createJobSpec({ cpus: 0.1, memGb: 0 }),
      createEmptyNodeCapacity({ ...SMALL_INSTANCE_TYPE, cpus: 0.3 }),
    ),
    3,
  );
  assert.equal(
    countFittingTasks(createJobSpec({ accelerators: 1 }), createEmptyNodeCapacity(SMALL_INSTANCE_TYPE)),
    0,
  );
});
