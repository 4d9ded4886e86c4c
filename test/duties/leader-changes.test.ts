import assert from 'node:assert/strict';
import { intentKey, ROLES } from '@pumicehinge/duties';
import { PROMPT_DELIVERY } from './model-cluster.js';
import {
  advance,
  listCloudCalls,
  requireHolder,
  testFailureCases,
  THREE_CONTROLLERS,
  advanceUntilIntent,
  type FailureCase,
} from './settled-cluster.js';

const CASES: FailureCase[] = [
  {
    name: 'if the leader and a holder crash together, the next leader does not use nodes that are being terminated',
    run: async (cluster) => {
      cluster.targetNodes = 4;
      await advance(cluster, 5_000);
      cluster.targetNodes = 2;
      await advanceUntilIntent(cluster, 'return', 'committed');
      cluster.crash('c0', 3_000);
      const holder = requireHolder(cluster, 'return');
      if (holder !== 'c0') cluster.crash(holder, 3_000);
      await advance(cluster, 1_000);
      void cluster.elect(THREE_CONTROLLERS.find((member) => member !== 'c0' && member !== holder)!);
      await advance(cluster, 12_000);
    },
  },
  {
    name: 'an intent that was requested but not committed is void after its term, and is deleted',
    run: async (cluster) => {
      for (const member of THREE_CONTROLLERS) cluster.partitionedFromCloud.add(member);
      // Nobody holds the role, so the intent is not executed.
      for (const role of ROLES)
        for (const member of THREE_CONTROLLERS) cluster.requireRoles(member).resign(role, 'test');
      cluster.targetNodes = 2;
      await advanceUntilIntent(cluster, 'rent', 'requested');
      const [intent] = cluster.listIntents();
      cluster.targetNodes = 0;
      void cluster.elect('c1');
      for (const member of THREE_CONTROLLERS) cluster.partitionedFromCloud.delete(member);
      await advance(cluster, 30_000);
      assert.deepEqual(listCloudCalls(cluster), []);
      assert.equal(cluster.state.getValue(intentKey(intent!.id)), undefined);
    },
  },
  {
    name: 'a commitment that arrives after the end of the term is not recorded',
    run: async (cluster) => {
      cluster.targetNodes = 6;
      await advance(cluster, 6_000);
      cluster.targetNodes = 1;
      // If the leader holds the role itself, its intents are committed at once and are never in the state `requested`.
      const role = (['reclaim', 'return'] as const).find((each) => requireHolder(cluster, each) !== 'c0');
      await advanceUntilIntent(cluster, role!, 'requested');
      // All messages sent from now on arrive after the next leader was elected and has read the stored state.
      cluster.deliveryPolicy = () => ({ requestDelayMs: 1_400, responseDelayMs: 1, isResponseLost: false });
      await advance(cluster, 10);
      cluster.deliveryPolicy = PROMPT_DELIVERY;
      cluster.targetNodes = 6;
      void cluster.elect('c2');
      await advance(cluster, 10_000);
    },
  },
  {
    name: 'role holders do nothing while a leader of an earlier version leads, and continue after its term',
    run: async (cluster) => {
      for (const member of THREE_CONTROLLERS) cluster.partitionedFromCloud.add(member);
      cluster.targetNodes = 2;
      await advanceUntilIntent(cluster, 'rent', 'committed');
      void cluster.elect('c1', { delegates: false });
      await advance(cluster, 100);
      cluster.partitionedFromCloud.clear();
      await advance(cluster, 10_000);
      assert.deepEqual(listCloudCalls(cluster), []);
      void cluster.elect('c2');
      await advance(cluster, 12_000);
      assert.equal(cluster.cloud.machines.size, 2);
    },
  },
  {
    name: 'the next leader counts the nodes of launches in progress, and launches nothing twice',
    run: async (cluster) => {
      for (const member of THREE_CONTROLLERS) cluster.partitionedFromCloud.add(member);
      cluster.targetNodes = 2;
      await advanceUntilIntent(cluster, 'rent', 'committed');
      cluster.crash('c0', 3_000);
      await advance(cluster, 500);
      void cluster.elect('c1');
      await advance(cluster, 3_000);
      cluster.partitionedFromCloud.clear();
      await advance(cluster, 15_000);
      assert.equal(cluster.cloud.rentedCount, 2);
    },
  },
];

testFailureCases(CASES);
