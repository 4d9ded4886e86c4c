import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  ALWAYS_TRUE,
  and,
  determineEnding,
  failed,
  findExecutableMembers,
  getExpiryAgeS,
  getCompletionValue,
  or,
  succeeded,
  type Pipeline,
} from '../../src/pipeline/pipeline.js';

/** Example 2 of the InterBase paper, without its time windows and compensation. */
const TRAVEL_PIPELINE: Pipeline = {
  members: [
    { name: 't1', predecessors: [], predicate: ALWAYS_TRUE },
    { name: 't2', predecessors: [], predicate: failed('t1') },
    { name: 't3', predecessors: ['t1', 't2'], predicate: or(succeeded('t1'), succeeded('t2')) },
    { name: 't4', predecessors: ['t3'], predicate: and(succeeded('t3'), failed('t5')) },
    { name: 't5', predecessors: ['t3'], predicate: succeeded('t3') },
    { name: 't6', predecessors: ['t3'], predicate: and(succeeded('t3'), failed('t4'), failed('t5')) },
  ],
  acceptableStates: ['SNSNSN', 'SNSSFN', 'SNSFFS', 'FSSNSN', 'FSSSFN', 'FSSFFS'],
  valueSteps: [
    { untilS: 12 * 3600, value: 1 },
    { untilS: 24 * 3600, value: 0.5 },
  ],
};

const STATE_CASES: [states: string, executable: string[], ending: string | undefined][] = [
  ['NNNNNN', ['t1'], undefined],
  ['ENNNNN', [], undefined],
  ['SNNNNN', ['t3'], undefined],
  ['FNNNNN', ['t2'], undefined],
  ['FENNNN', [], undefined],
  ['FSNNNN', ['t3'], undefined],
  ['FFNNNN', [], 'stuck'],
  ['SNENNN', [], undefined],
  ['SNSNNN', ['t5'], undefined],
  ['SNSNEN', [], undefined],
  ['SNSNSN', [], 'acceptable'],
  ['SNSNFN', ['t4'], undefined],
  ['SNSSFN', [], 'acceptable'],
  ['SNSFFN', ['t6'], undefined],
  ['SNSFFS', [], 'acceptable'],
  ['SNSFFF', [], 'stuck'],
  ['SNFNNN', [], 'stuck'],
  ['FSSFFS', [], 'acceptable'],
];

test("Example 2: the members' states determine the executable members and the ending", () => {
  for (const [states, executable, ending] of STATE_CASES) {
    assert.deepEqual(findExecutableMembers(TRAVEL_PIPELINE, states), executable, states);
    assert.equal(determineEnding(TRAVEL_PIPELINE, states, 0), ending, states);
  }
});

test('Example 2: the value of completion decreases in steps, and the pipeline expires at t0', () => {
  const secondsPerHour = 3600;
  const cases: [ageS: number, value: number][] = [
    [0, 1],
    [12 * secondsPerHour, 1],
    [12 * secondsPerHour + 1, 0.5],
    [24 * secondsPerHour, 0.5],
    [25 * secondsPerHour, 0],
  ];
  for (const [ageS, value] of cases) assert.equal(getCompletionValue(TRAVEL_PIPELINE, ageS), value);
  assert.equal(getExpiryAgeS(TRAVEL_PIPELINE), 24 * secondsPerHour);
  assert.equal(determineEnding(TRAVEL_PIPELINE, 'SNENNN', 24 * secondsPerHour), 'expired');
  assert.equal(determineEnding(TRAVEL_PIPELINE, 'SNSNSN', 25 * secondsPerHour), 'acceptable');
});

test('members with no order between them are submitted together', () => {
  const parallelPipeline: Pipeline = {
    members: [
      { name: 'a', predecessors: [], predicate: ALWAYS_TRUE },
      { name: 'b', predecessors: [], predicate: ALWAYS_TRUE },
      { name: 'c', predecessors: ['a', 'b'], predicate: and(succeeded('a'), succeeded('b')) },
    ],
    acceptableStates: ['SSS'],
    valueSteps: [],
  };
  assert.deepEqual(findExecutableMembers(parallelPipeline, 'NNN'), ['a', 'b']);
  assert.deepEqual(findExecutableMembers(parallelPipeline, 'SEN'), []);
  assert.deepEqual(findExecutableMembers(parallelPipeline, 'SSN'), ['c']);
  assert.equal(determineEnding(parallelPipeline, 'SFN', 1e9), 'stuck');
});
