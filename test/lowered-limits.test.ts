/**
 * The state service lowers its limits after they were announced, and holds jobs with long dependency lists that were stored
 * under the former limits.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedDeployment, SMALL_DEPLOYMENT } from '../src/simulation/simulated-deployment.js';

const FORMER_LIMITS = { valueBytes: 8192, maxTransactionOperations: 12 };
const LOWER_LIMITS = { valueBytes: 2048, maxTransactionOperations: 4 };
/** So many that the list alone exceeds a value of the lower size, and takes more keys than a transaction has operations. */
const DEPENDENCY_COUNT = 500;

/**
 * Stores jobs under the former limits, then restarts the controllers with the lower limits, and lowers those of the state
 * service. The last job is then cancelled. Returns once the jobs that the other one depends on are done.
 */
async function playUntilLowered(seed: number) {
  const options = {
    ...SMALL_DEPLOYMENT,
    announcedLimits: FORMER_LIMITS,
    rates: { rps: 2_000, writesPerS: 2_000, cloudRps: 6 },
  };
  const deployment = new SimulatedDeployment(seed, options);
  deployment.state.limits = FORMER_LIMITS;
  const { clock } = deployment;
  const quickJobs = Array.from({ length: DEPENDENCY_COUNT - 1 }, () =>
    deployment.submit({ tasks: 1, cpus: 0.05, runS: 1 }),
  );
  const longJob = deployment.submit({ tasks: 1, cpus: 1, runS: 70 });
  await clock.runUntil(20_000);
  const dependencies = [...quickJobs, longJob].map(({ uid }) => uid);
  const [waiting, cancelled] = [1, 2].map(() =>
    deployment.submit({ tasks: 2, cpus: 1, runS: 5, dependencies }),
  );
  await clock.runUntil(25_000);
  options.announcedLimits = LOWER_LIMITS;
  for (const member of deployment.members) {
    deployment.crashController(member, 500);
    await clock.runUntil(clock.steadyMs() + 4_000);
  }
  deployment.state.limits = LOWER_LIMITS;
  assert.ok(!deployment.isFinished(longJob));
  void deployment.cancel(cancelled!.uid);
  await clock.runUntil(120_000);
  assert.ok(deployment.isFinished(longJob));
  return { deployment, waiting: waiting!, cancelled: cancelled! };
}

/**
 * Guards against accepted jobs that can neither run nor be cancelled: whoever wrote such a job wrote its list with it, which
 * the state service rejected as too large.
 */
for (const seed of [1, 2, 3]) {
  test(`a job with a long list runs, and another one is cancelled, under lower limits (seed ${seed})`, async () => {
    const { deployment, waiting, cancelled } = await playUntilLowered(seed);
    await deployment.clock.runUntil(150_000);
    const { rules } = deployment;
    assert.deepEqual(rules.violations, []);
    assert.equal(rules.jobs.get(waiting.uid)!.reportedPhase, 'done');
    assert.equal(rules.jobs.get(cancelled.uid)!.reportedPhase, 'withdrawn');
  });
}
