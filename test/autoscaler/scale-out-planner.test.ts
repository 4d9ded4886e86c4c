import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CapacityDemand } from '../../src/autoscaler/capacity-demand.js';
import { planScaleOut } from '../../src/autoscaler/scale-out-planner.js';
import type { JobSpec } from '../../src/state/records.js';
import { jobSpec } from '../fixtures.js';
import { LARGE, SMALL } from '../support/scheduling-fixtures.js';

const kindOf = ({ spot }: { spot: boolean }): string => (spot ? 'spot' : 'on demand');

test('instances are launched for waiting tasks: the cheapest that are ready in time', () => {
  const demand = (
    fields: Partial<JobSpec>,
    count: number,
    more: Partial<CapacityDemand> = {},
  ): CapacityDemand => ({
    spec: jobSpec({ tasks: count, ...fields }),
    expectedRunTimeS: 13,
    taskCount: count,
    allocationsPerZone: new Map(),
    mayUseOnDemand: true,
    avoidsSpot: false,
    waitedS: 0,
    timeToDeadlineS: Infinity,
    timeToStartObjectiveS: Infinity,
    ...more,
  });
  const allAvailable = (): boolean => false;
  const booting = {
    type: 'small',
    zone: 'a',
    spot: false,
    free: { cpus: 4, accelerators: 0, memGb: 16 },
    readyInS: 10,
    isOccupied: false,
  };
  const completing = { ...booting, free: { cpus: 2, accelerators: 0, memGb: 4 }, isOccupied: true };
  const cases: [
    name: string,
    demands: CapacityDemand[],
    incoming: (typeof booting)[],
    isUnavailable: (offering: { spot: boolean; type: string }) => boolean,
    expected: string[],
  ][] = [
    ['one task: the cheapest instance', [demand({}, 1)], [], allAvailable, ['small/on demand*1']],
    ['many tasks: the cheapest per task', [demand({}, 8)], [], allAvailable, ['large/on demand*1']],
    ['spot where the job allows it', [demand({ spot: true }, 8)], [], allAvailable, ['large/spot*1']],
    [
      'only spot may be launched, and none is available',
      [demand({ spot: true }, 8, { mayUseOnDemand: false })],
      [],
      (offering) => offering.spot,
      [],
    ],
    ['incoming capacity is counted', [demand({}, 2)], [booting], allAvailable, []],
    ['and the rest is launched', [demand({}, 3)], [booting], allAvailable, ['small/on demand*1']],
    ['a task completes in time', [demand({}, 1, { timeToDeadlineS: 40 })], [completing], allAvailable, []],
    [
      'a task completes in time for the start',
      [demand({}, 1, { timeToStartObjectiveS: 12 })],
      [completing],
      allAvailable,
      [],
    ],
    [
      'a task completes too late for the start',
      [demand({}, 1, { timeToStartObjectiveS: 8 })],
      [completing],
      allAvailable,
      ['small/on demand*1'],
    ],
    [
      'a task completes too late',
      [demand({}, 1, { timeToDeadlineS: 20 })],
      [completing],
      allAvailable,
      ['small/on demand*1'],
    ],
    [
      'services do not wait for a task to complete',
      [demand({ kind: 'service' }, 1)],
      [completing],
      allAvailable,
      ['small/on demand*1'],
    ],
    [
      'in time for the deadline',
      [demand({}, 8, { timeToDeadlineS: 40 })],
      [],
      allAvailable,
      ['small/on demand*4'],
    ],
    [
      'another type when one is unavailable',
      [demand({}, 8)],
      [],
      (offering) => offering.type === 'large',
      ['small/on demand*4'],
    ],
    [
      'spread over zones',
      [demand({ zoneSpread: true }, 4)],
      [],
      (offering) => offering.type === 'large',
      ['small/on demand*1', 'small/on demand*1'],
    ],
  ];
  for (const [name, demands, incoming, isUnavailable, expected] of cases) {
    const availability = { instanceTypes: [SMALL, LARGE], isUnavailable };
    const { plans } = planScaleOut({ demands, incomingCapacity: incoming, availability });
    assert.deepEqual(
      plans.map(({ offering, count }) => `${offering.type}/${kindOf(offering)}*${count}`),
      expected,
      name,
    );
  }
});
