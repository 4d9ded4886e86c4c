import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import type { StaleActionSummary } from '../../src/simulation/role-action-log.js';
import { ModelCluster, PROMPT_DELIVERY, type DeliveryPolicy } from './model-cluster.js';

const MEMBERS = ['c0', 'c1', 'c2', 'c3'];
/** Length of the first phase of a scenario, in which faults are injected. */
const FAULT_PHASE_MS = 30_000;
/** Length of the second phase, in which no faults are injected and all intents must be completed. */
const RECOVERY_PHASE_MS = 35_000;
/** Interval between two changes of the number of nodes that the leader wants. */
const TARGET_CHANGE_INTERVAL_MS = 700;
const TARGET_NODES_AT_END = 4;
/** scripts/duties/interleavings.sh sets a larger number for runs outside CI. */
const RUN_COUNT = Number(process.env.DUTIES_RUNS ?? 150);
const SEED = Number(process.env.DUTIES_SEED ?? 20261202);

type FaultKind =
  | 'pause'
  | 'crash'
  | 'state service partition'
  | 'cloud partition'
  | 'outage'
  | 'new leader'
  | 'clock jump'
  | 'capacity'
  | 'resign';

interface Fault {
  kind: FaultKind;
  member: string;
  atMs: number;
  durationMs: number;
  /** Offset of a clock jump in milliseconds, from which the node limit of a capacity fault is derived as well. */
  amount: number;
}

interface Scenario {
  seed: number;
  /** Share of messages that are slow, arrive much later, or whose answer is lost. */
  disturbedShare: number;
  faults: Fault[];
}

const faultArbitrary: fc.Arbitrary<Fault> = fc.record({
  kind: fc.constantFrom<FaultKind>(
    ...(['pause', 'pause', 'pause', 'crash', 'state service partition', 'cloud partition'] as const),
    ...(['outage', 'new leader', 'new leader', 'clock jump', 'capacity', 'resign'] as const),
  ),
  member: fc.constantFrom(...MEMBERS),
  atMs: fc.integer({ min: 500, max: FAULT_PHASE_MS }),
  durationMs: fc.integer({ min: 50, max: 12_000 }),
  amount: fc.integer({ min: -20_000, max: 20_000 }),
});

const scenarioArbitrary: fc.Arbitrary<Scenario> = fc.record({
  seed: fc.integer({ min: 1, max: 2 ** 31 - 1 }),
  disturbedShare: fc.constantFrom(0, 0.1, 0.3),
  faults: fc.array(faultArbitrary, { minLength: 2, maxLength: 14 }),
});

/** Creates a seeded random generator, so that a scenario is reproducible. */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

function createDeliveryPolicy(random: () => number, disturbedShare: number): DeliveryPolicy {
  return () => {
    const drawShortDelayMs = (): number => 1 + random() * 20;
    if (random() >= disturbedShare)
      return {
        requestDelayMs: drawShortDelayMs(),
        responseDelayMs: drawShortDelayMs(),
        isResponseLost: false,
      };
    const draw = random();
    if (draw < 0.3)
      return {
        requestDelayMs: drawShortDelayMs(),
        responseDelayMs: drawShortDelayMs(),
        isResponseLost: true,
      };
    if (draw < 0.7)
      return { requestDelayMs: random() * 1_000, responseDelayMs: random() * 1_000, isResponseLost: false };
    // The request arrives long after its sender has timed out, and after another process has acquired the role.
    return {
      requestDelayMs: 1_000 + random() * 20_000,
      responseDelayMs: drawShortDelayMs(),
      isResponseLost: false,
    };
  };
}

function injectFault(cluster: ModelCluster, { kind, member, durationMs, amount }: Fault): void {
  const { clock, state, cloud } = cluster;
  switch (kind) {
    case 'pause':
      return cluster.pause(member, durationMs);
    case 'crash':
      return cluster.crash(member, Math.min(durationMs, 3_000));
    case 'state service partition':
      state.refusedCallers.add(member);
      return void clock.setTimer(durationMs, () => state.refusedCallers.delete(member));
    case 'cloud partition':
      cluster.partitionedFromCloud.add(member);
      return void clock.setTimer(durationMs * 2, () => cluster.partitionedFromCloud.delete(member));
    case 'outage':
      state.refusedCallers.add('*');
      return void clock.setTimer(durationMs / 2, () => state.endOutage());
    case 'new leader':
      return void cluster.elect(member);
    case 'clock jump':
      cluster.requireProcess(member).clockOffsetMs += amount;
      return;
    case 'capacity':
      cloud.capacity = Math.abs(amount) % 6;
      return void clock.setTimer(durationMs, () => (cloud.capacity = Infinity));
    case 'resign':
      for (const { role } of cluster.requireRoles(member).listHeldRoles())
        cluster.requireRoles(member).resign(role, 'test');
  }
}

interface ScenarioOutcome {
  violations: string[];
  unfinished: string[];
  staleSummary: StaleActionSummary;
}

async function runScenario(
  { seed, disturbedShare, faults }: Scenario,
  { isFencingEnabled = true } = {},
): Promise<ScenarioOutcome> {
  const random = createRandom(seed);
  const cluster = new ModelCluster(MEMBERS, random, createDeliveryPolicy(random, disturbedShare));
  cluster.isFencingEnabled = isFencingEnabled;
  const { clock } = cluster;
  clock.setTimer(300, () => void cluster.elect('c0'));
  const changeTargetNodes = (): void => {
    cluster.targetNodes =
      clock.steadyMs() < FAULT_PHASE_MS ? 1 + Math.floor(random() * 8) : TARGET_NODES_AT_END;
    clock.setTimer(TARGET_CHANGE_INTERVAL_MS, changeTargetNodes);
  };
  changeTargetNodes();
  for (const fault of faults) clock.setTimer(fault.atMs, () => injectFault(cluster, fault));
  await clock.runUntil(FAULT_PHASE_MS + 15_000);
  cluster.deliveryPolicy = PROMPT_DELIVERY;
  cluster.state.endOutage();
  cluster.partitionedFromCloud.clear();
  void cluster.elect('c1');
  await clock.runUntil(FAULT_PHASE_MS + RECOVERY_PHASE_MS);
  return {
    violations: cluster.listViolations(),
    unfinished: cluster.listUnfinished(),
    staleSummary: cluster.log.summarizeStaleActions(),
  };
}

test('with pauses, crashes, lost and late messages, only committed intents take effect, and replaced holders write nothing', async (context) => {
  let lateCallsWithoutEffect = 0;
  let lateCallsAsCommitted = 0;
  await fc.assert(
    fc.asyncProperty(scenarioArbitrary, async (scenario) => {
      const outcome = await runScenario(scenario);
      assert.deepEqual(outcome.violations, []);
      assert.deepEqual(outcome.unfinished, []);
      lateCallsWithoutEffect += outcome.staleSummary.ineffectiveCallCount;
      lateCallsAsCommitted += outcome.staleSummary.committedEffectCount;
    }),
    // Shrinking would take minutes, so the failing scenario is printed as it is.
    { numRuns: RUN_COUNT, seed: SEED, endOnFailure: true },
  );
  // The scenarios must contain the late calls that they are meant to produce.
  assert.ok(lateCallsWithoutEffect > 0, 'no late call without effect');
  assert.ok(lateCallsAsCommitted > 0, 'no late call that took effect as committed');
  context.diagnostic(
    `${RUN_COUNT} scenarios: ${lateCallsWithoutEffect} late calls without effect, ${lateCallsAsCommitted} as committed`,
  );
});

test('the checker detects writes of replaced holders if fencing is disabled', async () => {
  const checkResult = await fc.check(
    fc.asyncProperty(scenarioArbitrary, async (scenario) => {
      const { violations } = await runScenario(scenario, { isFencingEnabled: false });
      assert.deepEqual(violations, []);
    }),
    { numRuns: RUN_COUNT, seed: SEED, endOnFailure: true },
  );
  assert.equal(checkResult.failed, true, 'no violation was found without fencing');
});
