/** Random scenarios with restarts of machines beside other faults, with fixed seeds. The long run is a script. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { findKnownRed } from './support/known-red.js';
import { runSoakScenario } from './support/worker-restart-soak.js';

/** In the scenario of the last seed, a start command was on its way while its machine restarted. */
const SEEDS = [...Array.from({ length: 30 }, (_, index) => index + 1), 1799];
/** Fewest tasks that start in a scenario. */
const MIN_STARTS = 50;

/** Seeds of the scenarios in which late copies of all executed requests arrive. */
const COPY_SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];

for (const seed of COPY_SEEDS) {
  const name = `rules hold while machines restart and late copies of executed requests arrive (seed ${seed})`;
  test(name, { todo: findKnownRed(name) }, async () => {
    const { violations, startCount, startsAfterCancellation } = await runSoakScenario(seed, true);
    assert.deepEqual(violations, []);
    assert.deepEqual(startsAfterCancellation, []);
    assert.ok(startCount >= MIN_STARTS, `only ${startCount} tasks started`);
  });
}

for (const seed of SEEDS) {
  const name = `rules hold and no job is left waiting while machines restart (seed ${seed})`;
  test(name, { todo: findKnownRed(name) }, async () => {
    const { violations, startCount, taskLosingRestartCount } = await runSoakScenario(seed);
    assert.deepEqual(violations, []);
    assert.ok(startCount >= MIN_STARTS, `only ${startCount} tasks started`);
    assert.ok(taskLosingRestartCount > 0, 'no restart ended a task');
  });
}
