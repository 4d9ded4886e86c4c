import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CapacityDemand } from '../../src/autoscaler/capacity-demand.js';
import { planScaleOut } from '../../src/autoscaler/scale-out-planner.js';
import { MAX_TASKS_PER_NODE } from '../../src/constants.js';
import type { JobSpec } from '../../src/state/records.js';
import { createJobSpec } from '../fixtures.js';
import { LARGE_INSTANCE_TYPE, SMALL_INSTANCE_TYPE } from '../support/scheduling-fixtures.js';

/** A task so small that only the number of tasks limits how many of them a node holds. */
const SMALLEST_TASK = { cpus: 0.001, memGb: 0.001 };

const formatKind = ({ spot }: { spot: boolean }): string => (spot ? 'spot' : 'on demand');

test('the cheapest instances that are ready in time are launched for waiting tasks', () => {
  const createDemand = (
    fields: Partial<JobSpec>,
    count: number,
    overrides: Partial<CapacityDemand> = {},
  ): CapacityDemand => ({
    spec: createJobSpec({ tasks: count, ...fields }),
    expectedRunTimeS: 13,
    taskCount: count,
    allocationsPerZone: new Map(),
    mayLaunchOnDemand: true,
    avoidsSpot: false,
    waitedS: 0,
    timeToDeadlineS: Infinity,
    timeToStartObjectiveS: Infinity,
    ...overrides,
  });
  const noneUnavailable = (): boolean => false;
  const bootingCapacity = {
    type: 'small',
    zone: 'a',
    spot: false,
    free: { cpus: 4, accelerators: 0, memGb: 16, taskSlots: MAX_TASKS_PER_NODE },
    readyInS: 10,
    isOccupied: false,
  };
  const occupiedCapacity = {
    ...bootingCapacity,
    free: { cpus: 2, accelerators: 0, memGb: 4, taskSlots: 1 },
    isOccupied: true,
  };
  const cases: [
    name: string,
    demands: CapacityDemand[],
    incoming: (typeof bootingCapacity)[],
    isUnavailable: (offering: { spot: boolean; type: string }) => boolean,
    expected: string[],
  ][] = [
    [
      'one task gets the cheapest instance',
      [createDemand({}, 1)],
      [],
      noneUnavailable,
      ['small/on demand*1'],
    ],
    [
      'many tasks get the instance that is cheapest per task',
      [createDemand({}, 8)],
      [],
      noneUnavailable,
      ['large/on demand*1'],
    ],
    [
      'a spot instance is launched if the job allows it',
      [createDemand({ spot: true }, 8)],
      [],
      noneUnavailable,
      ['large/spot*1'],
    ],
    [
      'nothing is launched if only spot instances may be launched and none is available',
      [createDemand({ spot: true }, 8, { mayLaunchOnDemand: false })],
      [],
      (offering) => offering.spot,
      [],
    ],
    ['incoming capacity is used first', [createDemand({}, 2)], [bootingCapacity], noneUnavailable, []],
    [
      'an instance is launched for tasks beyond the incoming capacity',
      [createDemand({}, 3)],
      [bootingCapacity],
      noneUnavailable,
      ['small/on demand*1'],
    ],
    [
      'a running task completes in time for the deadline',
      [createDemand({}, 1, { timeToDeadlineS: 40 })],
      [occupiedCapacity],
      noneUnavailable,
      [],
    ],
    [
      'a running task completes in time for the start objective',
      [createDemand({}, 1, { timeToStartObjectiveS: 12 })],
      [occupiedCapacity],
      noneUnavailable,
      [],
    ],
    [
      'a running task completes too late for the start objective',
      [createDemand({}, 1, { timeToStartObjectiveS: 8 })],
      [occupiedCapacity],
      noneUnavailable,
      ['small/on demand*1'],
    ],
    [
      'a running task completes too late for the deadline',
      [createDemand({}, 1, { timeToDeadlineS: 20 })],
      [occupiedCapacity],
      noneUnavailable,
      ['small/on demand*1'],
    ],
    [
      'services do not wait for a running task to complete',
      [createDemand({ kind: 'service' }, 1)],
      [occupiedCapacity],
      noneUnavailable,
      ['small/on demand*1'],
    ],
    [
      'instances that are ready in time for the deadline are launched',
      [createDemand({}, 8, { timeToDeadlineS: 40 })],
      [],
      noneUnavailable,
      ['small/on demand*4'],
    ],
    [
      'another instance type is launched if one is unavailable',
      [createDemand({}, 8)],
      [],
      (offering) => offering.type === 'large',
      ['small/on demand*4'],
    ],
    [
      'tasks are spread over zones',
      [createDemand({ zoneSpread: true }, 4)],
      [],
      (offering) => offering.type === 'large',
      ['small/on demand*1', 'small/on demand*1'],
    ],
    [
      'an instance is launched for the tasks beyond the task slots of the others, however small they are',
      [createDemand(SMALLEST_TASK, 2 * MAX_TASKS_PER_NODE + 1)],
      [],
      noneUnavailable,
      ['small/on demand*3'],
    ],
    [
      'tasks beyond the task slots of a booting node get an instance',
      [createDemand(SMALLEST_TASK, MAX_TASKS_PER_NODE + 1)],
      [bootingCapacity],
      noneUnavailable,
      ['small/on demand*1'],
    ],
    [
      'a running task that completes in time frees one task slot',
      [createDemand(SMALLEST_TASK, 2)],
      [occupiedCapacity],
      noneUnavailable,
      ['small/on demand*1'],
    ],
  ];
  for (const [name, demands, incoming, isUnavailable, expected] of cases) {
    const availability = { instanceTypes: [SMALL_INSTANCE_TYPE, LARGE_INSTANCE_TYPE], isUnavailable };
    const { plans } = planScaleOut({ demands, incomingCapacity: incoming, availability });
    assert.deepEqual(
      plans.map(({ offering, count }) => `${offering.type}/${formatKind(offering)}*${count}`),
      expected,
      name,
    );
  }
});
