import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { DEPUTY_AFTER_MS } from '../src/constants.js';
import { Deputy } from '../src/leadership/deputy.js';
import { SimClock } from '@pumicehinge/runtime/simulated-clock';
import type { Mirror } from '../src/state/mirror.js';
import { LEADER_KEY } from '../src/state/records.js';
import type { Writer } from '../src/state/writer.js';

test('a deputy takes a leader for cut off only after it had time to be heard (inc-1219)', async () => {
  const clock = new SimClock();
  const world = { stamp: 1, heardMs: -Infinity, refuses: false, member: 'c1' };
  const rows = {
    get: (key: string) =>
      key === LEADER_KEY ? { key, value: { member: world.member, term: 1 }, stamp: world.stamp } : undefined,
  };
  const deputy = new Deputy({
    member: 'c0',
    valueBytes: 8192,
    mirror: rows as unknown as Mirror,
    writer: {} as Writer,
    clock,
    log: pino({ level: 'silent' }),
    refuses: () => world.refuses,
    heardMs: () => world.heardMs,
  });
  const later = DEPUTY_AFTER_MS + 100;
  const steps: [name: string, afterMs: number, change: Partial<typeof world>, wants: boolean][] = [
    ['the process has just begun', 10, {}, false],
    ['not heard for long', later, {}, true],
    ['heard', 10, { heardMs: later + 15 }, false],
    ['not heard any more', later, {}, true],
    ['a new leader', 10, { stamp: 2 }, false],
    ['not heard either', later, {}, true],
    ['its host refuses us: no cut', 10, { refuses: true }, false],
    ['this controller leads', 10, { refuses: false, member: 'c0' }, false],
  ];
  for (const [name, afterMs, change, wants] of steps) {
    await clock.runUntil(clock.steadyMs() + afterMs);
    Object.assign(world, change);
    assert.equal(deputy.wants(), wants, name);
  }
});
