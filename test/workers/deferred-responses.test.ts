import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MAX_RESPONSE_DEFERRAL_MS } from '../../src/constants.js';
import { DeferredResponses } from '../../src/workers/deferred-responses.js';
import type { ReceivedHeartbeat } from '../../src/workers/received-heartbeat.js';
import { createClusterWithNode, createHeartbeat } from '../support/cluster-fixture.js';

const CYCLE_DUE_MS = 100;

/** Creates a node, and the deferred responses of a leader whose next cycle is due at `CYCLE_DUE_MS`. */
function setUp() {
  const cluster = createClusterWithNode();
  const clock = { nowMs: 0, mayStart: false };
  const reviewDelaysMs: number[] = [];
  const responses = new DeferredResponses({
    clusterState: cluster.clusterState,
    nowMs: () => clock.nowMs,
    isSchedulingCycleDueBy: (steadyMs) => steadyMs >= CYCLE_DUE_MS,
    mayStart: () => clock.mayStart,
    requestReview: (delayMs) => reviewDelaysMs.push(delayMs),
  });
  const received: ReceivedHeartbeat = {
    heartbeat: createHeartbeat(1, 1),
    respond: () => undefined,
    relayedBy: 'c0',
    maxRelayDelayMs: 0,
  };
  return { ...cluster, clock, responses, received, reviewDelaysMs };
}

test('a response waits only for a cycle that is due and may use the node', () => {
  type SetUp = ReturnType<typeof setUp>;
  const fill = ({ clusterState, node }: SetUp): void =>
    clusterState.setCapacity(node, { cpus: 0, accelerators: 0, memGb: 0 });
  const cases: [name: string, prepare: (setup: SetUp) => void, mustWait: boolean][] = [
    ['free capacity', () => undefined, true],
    ['no cycle is due', ({ clock }) => (clock.nowMs = CYCLE_DUE_MS - MAX_RESPONSE_DEFERRAL_MS - 1), false],
    ['no free capacity', fill, false],
    ['the node is being terminated', ({ node }) => node.markTerminating(), false],
    [
      'a start is planned',
      (setup) => {
        setup.clusterState.planAttempt({ job: setup.job, taskIndex: 0, number: 7, node: setup.node }, 0);
        fill(setup);
      },
      true,
    ],
  ];
  for (const [name, prepare, mustWait] of cases) {
    const setup = setUp();
    prepare(setup);
    assert.equal(setup.responses.shouldDefer(setup.node), mustWait, name);
  }
});

test('a response waits on for planned starts that are not allowed yet, until its deadline', () => {
  const cases: [name: string, isPlanned: boolean, mayStart: boolean, nowMs: number, isReady: boolean][] = [
    ['nothing is planned', false, false, 10, true],
    ['the start is allowed', true, true, 10, true],
    ['the start is not allowed yet', true, false, MAX_RESPONSE_DEFERRAL_MS - 1, false],
    ['the deadline has come', true, false, MAX_RESPONSE_DEFERRAL_MS, true],
  ];
  for (const [name, isPlanned, mayStart, nowMs, isReady] of cases) {
    const { clusterState, job, node, clock, responses, received } = setUp();
    responses.add(received, node);
    if (isPlanned) clusterState.planAttempt({ job, taskIndex: 0, number: 7, node }, 0);
    Object.assign(clock, { nowMs, mayStart });
    assert.equal(responses.takeReady().length, isReady ? 1 : 0, name);
    assert.equal(responses.takeAll().length, isReady ? 0 : 1, name);
  }
});

test('a review is due at the deadline of the oldest response, and again as long as one waits', () => {
  const { clusterState, job, node, clock, responses, received, reviewDelaysMs } = setUp();
  clusterState.planAttempt({ job, taskIndex: 0, number: 7, node }, 0);
  responses.add(received, node);
  clock.nowMs = 100;
  responses.add(received, node);
  assert.deepEqual(reviewDelaysMs, [MAX_RESPONSE_DEFERRAL_MS]);
  clock.nowMs = MAX_RESPONSE_DEFERRAL_MS;
  assert.equal(responses.takeReady().length, 1);
  responses.completeReview();
  assert.deepEqual(reviewDelaysMs, [MAX_RESPONSE_DEFERRAL_MS, 100]);
  clock.nowMs += 100;
  assert.equal(responses.takeReady().length, 1);
  responses.completeReview();
  assert.equal(reviewDelaysMs.length, 2);
});
