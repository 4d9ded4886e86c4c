import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { SimulatedClock } from '@pumicehinge/runtime/simulated-clock';
import { StoreClient, type Operation, type TransactionResult } from '../../src/state/store-client.js';
import type { StateReplica } from '../../src/state/state-replica.js';
import { TransactionBatcher } from '../../src/state/transaction-batcher.js';

function setUp(getResult: () => TransactionResult) {
  const clock = new SimulatedClock();
  const writtenKeys: string[][] = [];
  const client = {
    limits: { requestsPerSecond: 100, writesPerSecond: 100, maxTransactionOperations: 1 },
    compareAndSwap: (_conditions: unknown, operations: Operation[]) => {
      writtenKeys.push(operations.map(({ key }) => key));
      return Promise.resolve(getResult());
    },
  };
  const replica = { applyOwnWrite: () => undefined } as unknown as StateReplica;
  const batcher = new TransactionBatcher(
    client as unknown as StoreClient,
    replica,
    clock,
    pino({ level: 'silent' }),
  );
  return { clock, writtenKeys, batcher };
}

test('batcher: in an outage a write for a user is refused at once, and any other write waits', async () => {
  const cases: [result: TransactionResult, expectedUserOutcome: string][] = [
    [{ outcome: 'refused', status: 503 }, 'refused'],
    [{ outcome: 'refused', status: 429 }, 'waits'],
  ];
  for (const [result, expected] of cases) {
    const { clock, batcher } = setUp(() => result);
    const outcomes = { user: 'waits', leader: 'waits' };
    void batcher
      .commit([], [{ key: 'l', value: 1 }], 5_000)
      .then(({ outcome }) => (outcomes.leader = outcome));
    void batcher
      .commitForUser([], [{ key: 'u', value: 1 }], 5_000)
      .then(({ outcome }) => (outcomes.user = outcome));
    await clock.runUntil(1_000);
    assert.deepEqual(outcomes, { user: expected, leader: 'waits' });
  }
});

test('batcher: writes for users are sent before all other writes', async () => {
  const { clock, writtenKeys, batcher } = setUp(() => ({ outcome: 'applied', revision: 1 }));
  for (const key of ['l1', 'l2']) void batcher.commit([], [{ key, value: 1 }], 5_000);
  for (const key of ['u1', 'u2']) void batcher.commitForUser([], [{ key, value: 1 }], 5_000);
  await clock.runUntil(1_000);
  assert.deepEqual(writtenKeys.flat(), ['u1', 'u2', 'l1', 'l2']);
});

test('store client: any controller can write several jobs of a pipeline at once, and all bursts together stay within the limit', async () => {
  const cases: [controllers: number, writesPerSecond: number, atOnce: number][] = [
    [3, 56, 10],
    [3, 80, 15],
    [7, 70, 5],
    [7, 120, 9],
  ];
  for (const [controllerCount, writesPerSecond, minWritesAtOnce] of cases) {
    const limits = { requestsPerSecond: 300, writesPerSecond, maxTransactionOperations: 4 };
    const measureBurst = async (isLeader: boolean): Promise<number> => {
      const clock = new SimulatedClock();
      const client = new StoreClient({
        httpClient: { call: () => Promise.reject(new Error()) },
        address: '',
        clock,
        limits,
        controllerCount,
      });
      client.setIsLeader(isLeader);
      // A process starts without an accumulated budget.
      await clock.runUntil(5_000);
      let count = 0;
      for (; client.writeRateLimiter.computeWaitMs(1) === 0; count++) client.writeRateLimiter.consume(1);
      return count;
    };
    const [followerBurst, leaderBurst] = [await measureBurst(false), await measureBurst(true)];
    assert.ok(
      followerBurst >= minWritesAtOnce,
      `${controllerCount} controllers, ${writesPerSecond}: ${followerBurst} at once`,
    );
    const totalBurst = leaderBurst + (controllerCount - 1) * followerBurst;
    assert.ok(
      totalBurst <= writesPerSecond,
      `${controllerCount} controllers, ${writesPerSecond}: ${totalBurst} in all`,
    );
  }
});
