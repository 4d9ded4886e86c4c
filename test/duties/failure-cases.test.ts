import assert from 'node:assert/strict';
import { fencingTokenKey } from '@pumicehinge/duties';
import { PROMPT_DELIVERY, type ModelCluster } from './model-cluster.js';
import {
  advance,
  listCloudCalls,
  listCloudCallsFrom,
  FIVE_CONTROLLERS,
  requireHolder,
  testFailureCases,
  THREE_CONTROLLERS,
  advanceUntilIntent,
  type FailureCase,
} from './settled-cluster.js';

/** Longer than the time to live of the role lease. */
const LONGER_THAN_LEASE_MS = 6_000;

const CASES: FailureCase[] = [
  {
    name: 'a holder paused between commitment and call does not call once its lease has expired',
    run: async (cluster) => {
      const holder = requireHolder(cluster, 'rent');
      cluster.targetNodes = 3;
      await advanceUntilIntent(cluster, 'rent', 'committed');
      cluster.pause(holder, LONGER_THAN_LEASE_MS);
      await advance(cluster, LONGER_THAN_LEASE_MS + 500);
      assert.deepEqual(listCloudCallsFrom(cluster, holder), []);
      assert.notEqual(requireHolder(cluster, 'rent'), holder);
    },
  },
  {
    name: 'a call that is delayed until another holder has executed the intent changes nothing',
    run: async (cluster) => {
      const holder = requireHolder(cluster, 'rent');
      cluster.targetNodes = 2;
      await advanceUntilIntent(cluster, 'rent', 'committed');
      cluster.deliveryPolicy = () => ({
        requestDelayMs: LONGER_THAN_LEASE_MS + 4_000,
        responseDelayMs: 1,
        isResponseLost: false,
      });
      await advance(cluster, 30);
      cluster.pause(holder, LONGER_THAN_LEASE_MS + 3_000);
      cluster.deliveryPolicy = PROMPT_DELIVERY;
      await advance(cluster, LONGER_THAN_LEASE_MS + 8_000);
      const lateCalls = listCloudCallsFrom(cluster, holder).filter((call) => call.holder !== holder);
      assert.ok(lateCalls.length > 0, 'no late call');
      assert.ok(lateCalls.every(({ result }) => result === 'none'));
      assert.equal(cluster.cloud.machines.size, 2);
    },
  },
  {
    name: 'a holder paused between call and answer writes nothing after it resumes',
    run: async (cluster) => {
      const holder = requireHolder(cluster, 'rent');
      cluster.targetNodes = 2;
      while (listCloudCalls(cluster).length === 0) await advance(cluster, 1);
      cluster.pause(holder, LONGER_THAN_LEASE_MS);
      await advance(cluster, LONGER_THAN_LEASE_MS + 2_000);
      const records = cluster.log.actions.filter(
        ({ role, result }) => role === 'rent' && result === 'record',
      );
      // The first record is the commitment by the holder. Its successor must have written the later ones.
      assert.deepEqual(new Set(records.slice(1).map(({ sender }) => sender === holder)), new Set([false]));
    },
  },
  {
    name: 'a launch whose answer was lost is found by the holder that repeats the call',
    run: async (cluster) => {
      cluster.targetNodes = 2;
      await advanceUntilIntent(cluster, 'rent', 'committed');
      cluster.deliveryPolicy = () => ({ requestDelayMs: 1, responseDelayMs: 1, isResponseLost: true });
      await advance(cluster, 20);
      cluster.crash(requireHolder(cluster, 'rent'), 2_000);
      cluster.deliveryPolicy = PROMPT_DELIVERY;
      await advance(cluster, 10_000);
      assert.equal(cluster.cloud.machines.size, 2);
      assert.ok(listCloudCalls(cluster).length > 1);
    },
  },
  {
    name: 'a holder that is cut off from the cloud resigns its role, and another controller launches the nodes',
    run: async (cluster) => {
      const holder = requireHolder(cluster, 'rent');
      cluster.partitionedFromCloud.add(holder);
      cluster.targetNodes = 2;
      await advance(cluster, 20_000);
      assert.equal(cluster.cloud.machines.size, 2);
    },
  },
  {
    name: 'a holder that is cut off from the state service stops calling the cloud when its lease expires',
    run: async (cluster) => {
      const holder = requireHolder(cluster, 'rent');
      cluster.targetNodes = 2;
      await advanceUntilIntent(cluster, 'rent', 'committed');
      cluster.state.refusedCallers.add(holder);
      cluster.partitionedFromCloud.add(holder);
      await advance(cluster, 3_900);
      cluster.partitionedFromCloud.delete(holder);
      await advance(cluster, 6_000);
      assert.deepEqual(listCloudCallsFrom(cluster, holder), []);
      cluster.state.refusedCallers.clear();
      await advance(cluster, 6_000);
    },
  },
  {
    name: 'two holders are replaced within the time to live of one lease',
    run: async (cluster) => {
      cluster.targetNodes = 2;
      await advanceUntilIntent(cluster, 'rent', 'committed');
      const firstHolder = requireHolder(cluster, 'rent');
      cluster.requireRoles(firstHolder).resign('rent', 'test');
      for (let i = 0; cluster.log.getHolder('rent') === firstHolder || !cluster.log.getHolder('rent'); i++) {
        assert.ok(i < 2_000, 'no controller acquired the role');
        await advance(cluster, 1);
      }
      cluster.requireRoles(requireHolder(cluster, 'rent')).resign('rent', 'test');
      await advance(cluster, 3_500);
    },
  },
  {
    name: 'the state service is down while the holder changes',
    run: async (cluster) => {
      const holder = requireHolder(cluster, 'rent');
      cluster.targetNodes = 3;
      await advanceUntilIntent(cluster, 'rent', 'committed');
      cluster.state.refusedCallers.add('*');
      cluster.crash(holder, 20_000);
      await advance(cluster, 8_000);
      cluster.state.endOutage();
      await advance(cluster, 12_000);
      if (holder === 'c0') await electAnotherLeader(cluster);
    },
  },
  {
    name: 'all controllers restart while intents are being executed',
    run: async (cluster) => {
      cluster.targetNodes = 3;
      await advanceUntilIntent(cluster, 'rent', 'committed');
      for (const member of THREE_CONTROLLERS) cluster.crash(member, 300);
      await advance(cluster, 2_000);
      await electAnotherLeader(cluster);
    },
  },
  {
    name: 'three of five controllers crash within a second',
    members: FIVE_CONTROLLERS,
    run: async (cluster) => {
      cluster.targetNodes = 3;
      await advanceUntilIntent(cluster, 'rent', 'committed');
      ['c1', 'c2', 'c3'].forEach((member, i) =>
        cluster.clock.setTimer(i * 300, () => cluster.crash(member, 9_000)),
      );
      await advance(cluster, 8_000);
      assert.equal(cluster.cloud.machines.size, 3);
    },
  },
  {
    name: 'the cloud executes calls minutes late',
    run: async (cluster) => {
      cluster.targetNodes = 2;
      await advanceUntilIntent(cluster, 'rent', 'committed');
      cluster.deliveryPolicy = () => ({ requestDelayMs: 150_000, responseDelayMs: 1, isResponseLost: false });
      await advance(cluster, 15);
      cluster.deliveryPolicy = PROMPT_DELIVERY;
      await advance(cluster, 20_000);
      cluster.targetNodes = 0;
      await advance(cluster, 200_000);
      assert.equal(cluster.cloud.machines.size, 0);
    },
  },
  {
    name: 'unreadable records do not block other intents, and are not changed',
    run: async (cluster) => {
      const unreadableRecords: [key: string, value: unknown][] = [
        ['ph/duty-order/1-900', { v: 2, d: 'return', s: 'intended', t: 1, q: 900, h: 1, m: ['vm-900'] }],
        [
          'ph/duty-order/1-901',
          { v: 1, d: 'rent', s: 'intended', t: 1, q: 901, h: 1, r: 'x', o: 'east', n: 2 },
        ],
        ['ph/duty-order/1-902', 'rubbish'],
        ['ph/duty-order/odd', { v: 1, d: 'return', s: 'intended', t: 1, q: 903, h: 1, m: ['vm-1'] }],
      ];
      for (const [key, value] of unreadableRecords) await cluster.writeUnconditionally(key, value);
      cluster.targetNodes = 3;
      await advance(cluster, 60_000);
      assert.equal(cluster.cloud.machines.size, 3);
      for (const [key, value] of unreadableRecords) assert.deepEqual(cluster.state.getValue(key), value);
    },
  },
  {
    name: 'the fencing token after an unreadable one is higher than all earlier ones',
    run: async (cluster) => {
      await cluster.writeUnconditionally(fencingTokenKey('rent'), { token: 'many' });
      const tokenRevision = cluster.readModRevision(fencingTokenKey('rent'));
      cluster.requireRoles(requireHolder(cluster, 'rent')).resign('rent', 'test');
      await advance(cluster, 5_000);
      const { token } = cluster.state.getValue(fencingTokenKey('rent')) as { token: number };
      assert.ok(token > tokenRevision, `token ${token} is not higher than revision ${tokenRevision}`);
    },
  },
  ...[-60_000, -3_000, 3_000, 3_600_000].map((jumpMs): FailureCase => ({
    name: `the steady clock of a holder jumps by ${jumpMs / 1000} s while it is cut off`,
    run: async (cluster) => {
      const holder = requireHolder(cluster, 'rent');
      cluster.targetNodes = 2;
      await advanceUntilIntent(cluster, 'rent', 'committed');
      cluster.partitionedFromCloud.add(holder);
      cluster.state.refusedCallers.add(holder);
      cluster.requireProcess(holder).clockOffsetMs += jumpMs;
      await advance(cluster, 4_500);
      cluster.partitionedFromCloud.delete(holder);
      await advance(cluster, 4_000);
      assert.deepEqual(listCloudCallsFrom(cluster, holder), []);
      cluster.state.refusedCallers.clear();
      await advance(cluster, 4_000);
    },
  })),
];

async function electAnotherLeader(cluster: ModelCluster): Promise<void> {
  void cluster.elect('c1');
  await advance(cluster, 12_000);
}

testFailureCases(CASES);
