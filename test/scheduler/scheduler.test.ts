import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ATTEMPT_NUMBERS_PER_TERM, RESERVED_ATTEMPT_NUMBERS } from '../../src/constants.js';
import { AttemptNumberGenerator } from '../../src/scheduler/attempt-numbers.js';
import { Scheduler, type SchedulerDependencies } from '../../src/scheduler/scheduler.js';

// The high bits of an attempt number hold the term, so a number beyond the term's range would belong to the next term.
test('a new term is needed before the attempt numbers of the current term run out', () => {
  const cases: [issuedCount: number, needsNewTerm: boolean][] = [
    [0, false],
    [ATTEMPT_NUMBERS_PER_TERM - RESERVED_ATTEMPT_NUMBERS - 1, false],
    [ATTEMPT_NUMBERS_PER_TERM - RESERVED_ATTEMPT_NUMBERS, true],
  ];
  for (const [issuedCount, needsNewTerm] of cases) {
    const scheduler = new Scheduler({
      attemptNumbers: new AttemptNumberGenerator(1, issuedCount),
    } as SchedulerDependencies);
    assert.equal(scheduler.needsNewTerm, needsNewTerm, `${issuedCount} attempt numbers issued`);
  }
});
