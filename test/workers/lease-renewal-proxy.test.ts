import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { SimulatedClock } from '@pumicehinge/runtime/simulated-clock';
import { LEASE_PROXY_ACTIVATION_MS } from '../../src/constants.js';
import { LEADER_KEY } from '../../src/state/records.js';
import { LeaseRenewalProxy } from '../../src/workers/lease-renewal-proxy.js';

test('leases are renewed by proxy only after the leader has had time to send a message (inc-1219)', async () => {
  const clock = new SimulatedClock();
  const cluster = { modRevision: 1, lastContactMs: -Infinity, refusesConnections: false, leader: 'c1' };
  const proxy = new LeaseRenewalProxy({
    member: 'c0',
    maxValueBytes: 8192,
    replica: {
      get: (key: string) =>
        key === LEADER_KEY
          ? { key, value: { member: cluster.leader, term: 1 }, modRevision: cluster.modRevision }
          : undefined,
      listPrefix: () => [],
      linearizableRead: () => assert.fail('nothing is read'),
    },
    batcher: { commit: () => assert.fail('nothing is written') },
    clock,
    log: pino({ level: 'silent' }),
    refusesConnections: () => cluster.refusesConnections,
    getLastContactMs: () => cluster.lastContactMs,
  });
  const silenceMs = LEASE_PROXY_ACTIVATION_MS + 100;
  const steps: [name: string, afterMs: number, change: Partial<typeof cluster>, shouldRenew: boolean][] = [
    ['the process has just started', 10, {}, false],
    ['no message from the leader for too long', silenceMs, {}, true],
    ['a message from the leader', 10, { lastContactMs: silenceMs + 15 }, false],
    ['no further message from the leader', silenceMs, {}, true],
    ['a new leader', 10, { modRevision: 2 }, false],
    ['no message from the new leader either', silenceMs, {}, true],
    [
      'the host of the leader refuses connections, so there is no partition',
      10,
      { refusesConnections: true },
      false,
    ],
    ['this controller leads', 10, { refusesConnections: false, leader: 'c0' }, false],
  ];
  for (const [name, afterMs, change, shouldRenew] of steps) {
    await clock.runUntil(clock.steadyMs() + afterMs);
    Object.assign(cluster, change);
    assert.equal(proxy.shouldRenewLeases(), shouldRenew, name);
  }
});
