import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ClusterState } from '../../src/cluster/cluster-state.js';
import { NodeRecords } from '../../src/cluster/node-records.js';
import {
  decodeNodeGroup,
  measureEncodedBytes,
  encodeNodeGroup,
  NODE_GROUPS_PREFIX,
} from '../../src/state/records.js';
import type { StateReplica } from '../../src/state/state-replica.js';
import type { Condition, Operation } from '../../src/state/store-client.js';
import type { CommitResult } from '../../src/state/transaction-batcher.js';

test('a group of nodes written under larger limits is split when it is written again', () => {
  const nodeCount = 50;
  const nodeAddresses = new Map(
    Array.from(
      { length: nodeCount },
      (_, i) => [`vm-${100_000 + i}`, `10.10.${i}.200:9000`] as [string, string],
    ),
  );
  const key = `${NODE_GROUPS_PREFIX}3-1`;
  const value = encodeNodeGroup({ type: 'm4-of-a-long-name', zone: 'east', spot: false, nodeAddresses });
  const storedValues = new Map([[key, { key, value, modRevision: 7 }]]);
  const writes: {
    conditions: Condition[];
    operations: Operation[];
    complete: (result: CommitResult) => void;
  }[] = [];
  const clusterState = new ClusterState({
    onExited: () => undefined,
    onReleased: () => undefined,
    onTaskSlotFreed: () => undefined,
  });
  const records = new NodeRecords({
    replica: {
      get: (requestedKey: string) => storedValues.get(requestedKey),
      listPrefix: () => storedValues.values(),
    } as unknown as StateReplica,
    termNumber: 4,
    maxValueBytes: 1024,
    maxOperations: 4,
    commit: (conditions, operations) =>
      new Promise((resolve) => writes.push({ conditions, operations, complete: resolve })),
    onWriteEnded: (result) => records.handleWriteResult(result),
  });
  const loadedNodes = [
    ...records.load(clusterState, () => ({ cpus: 4, accelerators: 0, memGb: 16 }), 0).keys(),
  ];
  assert.equal(loadedNodes.length, nodeCount);
  records.remove(loadedNodes[0]!);
  records.flush(1_000);
  const collectNodeNames = (operations: Operation[]): string[] =>
    operations.flatMap((operation) => [...decodeNodeGroup(operation.value)!.nodeAddresses.keys()]);
  const expectedNames = [...nodeAddresses.keys()].slice(1);
  // One transaction writes all groups, each node is in it once, and each value is small enough.
  assert.equal(writes.length, 1);
  assert.deepEqual(collectNodeNames(writes[0]!.operations), expectedNames);
  assert.equal(writes[0]!.operations.length, 4);
  for (const { value: part } of writes[0]!.operations)
    assert.ok(measureEncodedBytes(part) <= 1024, `${measureEncodedBytes(part)}`);
  assert.deepEqual(
    writes[0]!.conditions.map((condition) => condition.modRevision),
    [7, 0, 0, 0],
  );
});
