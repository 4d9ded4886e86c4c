/**
 * Tests the division of sockets and memory, the warnings about settings that are too low, and the detection of memory
 * pressure. Also tests that large responses are read in pages, and that large fleets fit the rate limits.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import {
  SCARCE_SOCKETS_SHARE,
  MIN_NODE_GROUP_WRITE_INTERVAL_MS,
  MAX_DELEGATED_LEASES_PER_KEY,
  INSTANCE_LIST_PAGE_SIZE,
  MAX_INSTANCES_PER_LAUNCH,
} from '../src/constants.js';
import { findSettingsWarnings } from '../src/settings-warnings.js';
import type { Settings } from '../src/settings.js';
import { CloudClient, computeLeaderCloudRates, type CloudEvent } from '../src/autoscaler/cloud-client.js';
import type { HttpClient } from '../src/http/message.js';
import { ResponseTooLargeError } from '../src/http/message.js';
import { MemoryGuard } from '../src/memory-guard.js';
import { SimulatedClock } from '@pumicehinge/runtime/simulated-clock';
import { divideMemory, divideSockets } from '../src/sizing.js';
import { StateReplica } from '../src/state/state-replica.js';
import { StoreClient } from '../src/state/store-client.js';

const BYTES_PER_MIB = 2 ** 20;
const silentLog = pino({ level: 'silent' });

test('the sockets and the memory of a controller are divided by fixed shares, with minimum and maximum sizes', () => {
  const socketCases: [sockets: number, maxClientConnections: number, maxCommandConnections: number][] = [
    [128, 76, 20],
    [900, 701, 135],
    [1743, 1417, 262],
    [6500, 5461, 975],
  ];
  for (const [sockets, maxClientConnections, maxCommandConnections] of socketCases)
    assert.deepEqual(
      divideSockets(sockets),
      { maxClientConnections, maxCommandConnections },
      `${sockets} sockets`,
    );
  const memoryCases: [
    memoryMib: number,
    peerCount: number,
    rejectUsersAboveMib: number,
    maxResponseMib: number,
    maxPeerBufferMib: number,
    maxWaitingHeartbeatMib: number,
  ][] = [
    [108, 2, 49, 6, 2, 15],
    [127, 6, 65, 8, 1, 19],
    [250, 2, 170, 16, 6, 50],
    [1000, 6, 808, 16, 10, 238],
    [40, 2, 9, 1, 1, 3],
  ];
  for (const [memoryMib, peerCount, ...expected] of memoryCases) {
    const limits = divideMemory(memoryMib * BYTES_PER_MIB, peerCount);
    const { rejectUsersAboveBytes, maxResponseBytes, maxPeerBufferBytes, maxWaitingHeartbeatBytes } = limits;
    assert.deepEqual(
      [rejectUsersAboveBytes, maxResponseBytes, maxPeerBufferBytes, maxWaitingHeartbeatBytes].map((bytes) =>
        Math.round(bytes / BYTES_PER_MIB),
      ),
      expected,
      `${memoryMib} MiB`,
    );
  }
});

// For a whole fleet, writing the records and reading the list must take less time than about the lease of a worker. Renting
// all machines may take longer, up to 45 s.
test('the writes and requests for a fleet of any size fit the rate limits', () => {
  const WRITES_PER_S = 50;
  const CLOUD_REQUESTS_PER_S = 5;
  for (const machineCount of [500, 1500, 4000, 6000]) {
    const nodeGroupCount = Math.ceil(machineCount / MAX_INSTANCES_PER_LAUNCH);
    assert.ok(nodeGroupCount / WRITES_PER_S < 15, `${machineCount}: writing the records of all node groups`);
    const leaseWriteCount = Math.ceil(machineCount / MAX_DELEGATED_LEASES_PER_KEY);
    assert.ok(leaseWriteCount / WRITES_PER_S < 5, `${machineCount}: registering the delegated leases`);
    const pageCount = Math.ceil(machineCount / INSTANCE_LIST_PAGE_SIZE);
    assert.ok(pageCount / CLOUD_REQUESTS_PER_S < 5, `${machineCount}: reading the instance list`);
    const launchCount = Math.ceil(machineCount / MAX_INSTANCES_PER_LAUNCH);
    assert.ok(launchCount / CLOUD_REQUESTS_PER_S < 45, `${machineCount}: renting all machines`);
    // A node group that changes constantly is written at this interval. The writes of all node groups together must leave
    // room for the writes of jobs.
    assert.ok(
      MIN_NODE_GROUP_WRITE_INTERVAL_MS >= 200,
      `${machineCount}: spacing of the writes of a node group`,
    );
    assert.ok(
      divideSockets(machineCount).maxClientConnections * SCARCE_SOCKETS_SHARE > machineCount / 2,
      `${machineCount}: sockets for clients`,
    );
  }
});

test('each setting that is too low for the guarantees of the service causes one warning', () => {
  const sufficient = {
    controllerCount: 3,
    leaseDurationS: 14,
    heartbeatIntervalS: 1.5,
    maxCancellationS: 39,
    stateLimits: {
      requestsPerSecond: 200,
      writesPerSecond: 80,
      valueBytes: 8192,
      maxTransactionOperations: 12,
    },
    cloudLimits: { rps: 6, maxListLagS: 5 },
    socketLimits: divideSockets(900),
    memoryBytes: 108 * BYTES_PER_MIB,
  } as Settings;
  const warningCases: [changes: Partial<Settings>, warnings: RegExp[]][] = [
    [{}, []],
    [
      { stateLimits: { ...sufficient.stateLimits, requestsPerSecond: 10 } },
      [/^state.rps is 10, but at least 22.23 is needed: /],
    ],
    [{ controllerCount: 50 }, [/^state.rps is 200, but at least 370.38 is needed: /]],
    [{ stateLimits: { ...sufficient.stateLimits, writesPerSecond: 4 } }, [/^state.write_rps is 4, /]],
    [
      { stateLimits: { ...sufficient.stateLimits, valueBytes: 512, maxTransactionOperations: 2 } },
      [/^state.value_kb is 0.5/, /^state.txn_ops is 2/],
    ],
    [{ cloudLimits: { rps: 0.5, maxListLagS: 5 } }, [/^cloud.rps is 0.5/]],
    [
      { socketLimits: divideSockets(128) },
      [/max_connections \(for clients\) is 76, but at least 100 is needed/],
    ],
    [{ memoryBytes: 64 * BYTES_PER_MIB }, [/^quota.mem_mb is 64, but at least 100 is needed/]],
    [{ leaseDurationS: 5 }, [/^workers.lease_s is 5, but at least 6 is needed/]],
    [{ maxCancellationS: 15 }, [/^workers.cancel_s is 15, but at least 20.5 is needed/]],
  ];
  for (const [changes, patterns] of warningCases) {
    const warnings = findSettingsWarnings({ ...sufficient, ...changes });
    assert.equal(warnings.length, patterns.length, warnings.join('\n'));
    patterns.forEach((pattern, i) => assert.match(warnings[i]!, pattern));
  }
});

test('memory pressure starts above the limit and ends only once usage is well below the limit', async () => {
  const clock = new SimulatedClock();
  let usedBytes = 10;
  const guard = new MemoryGuard(clock, () => usedBytes, 100, silentLog);
  guard.start();
  const checks: [usedBytes: number, isUnderPressure: boolean][] = [
    [99, false],
    [101, true],
    [95, true],
    [89, false],
    [99, false],
  ];
  for (const [i, [bytes, isUnderPressure]] of checks.entries()) {
    usedBytes = bytes;
    await clock.runUntil((i + 1) * 1000 + 1);
    assert.equal(guard.isUnderPressure, isUnderPressure, `check ${i}`);
  }
});

// Guards against an endless loop: thousands of changes of several KB each came in one response, which was rejected as too
// large and requested again forever.
test('changes that are too large for one response are read in pages', async () => {
  const clock = new SimulatedClock();
  const requestedTargets: string[] = [];
  let isResponseTooLarge = false;
  const httpClient: HttpClient = {
    call: (_address, _method, target) => {
      requestedTargets.push(target);
      if (target.startsWith('/follow')) {
        if (isResponseTooLarge) return Promise.reject(new ResponseTooLargeError('too large'));
        return Promise.resolve({ status: 200, body: '{"epoch":1,"log":[]}' });
      }
      const value = isResponseTooLarge ? 'new' : 'old';
      const body = JSON.stringify({ rows: [{ key: 'ph/j/a', v: value, stamp: 1 }], more: false, epoch: 1 });
      isResponseTooLarge = false;
      return Promise.resolve({ status: 200, body });
    },
  };
  const client = new StoreClient({
    httpClient,
    address: 'state:1',
    clock,
    limits: { requestsPerSecond: 100, writesPerSecond: 50, maxTransactionOperations: 10 },
    controllerCount: 1,
  });
  const replica = new StateReplica(client, 'ph/', clock, silentLog);
  void replica.run();
  await clock.runUntil(1000);
  assert.equal(replica.isLoaded, true);
  isResponseTooLarge = true;
  const previousPageCount = requestedTargets.filter((target) => target.startsWith('/keys')).length;
  await clock.runUntil(3000);
  assert.equal(replica.isLoaded, true);
  assert.equal(requestedTargets.filter((target) => target.startsWith('/keys')).length, previousPageCount + 1);
});

// Guards against requesting all pages of a large list at once. That exceeded the rate limit, and a rejected page discarded
// all pages before it.
test('the instance list of a large fleet is read completely while instances are rented, within the request rate', async () => {
  const INSTANCE_COUNT = 6000;
  const REQUESTS_PER_SECOND = 7;
  const clock = new SimulatedClock();
  const requests: { atMs: number; target: string }[] = [];
  const listSizes: number[] = [];
  const formatInstanceName = (i: number): string => `vm-${String(i).padStart(6, '0')}`;
  const createInstanceRow = (i: number) => ({
    uid: formatInstanceName(i),
    address: 'x:1',
    build: 'm',
    yard: 'z',
    phase: 'running',
    ageS: 1,
  });
  const httpClient: HttpClient = {
    call: (_address, method, target) => {
      requests.push({ atMs: clock.steadyMs(), target: `${method} ${target}` });
      if (target === '/catalog') return Promise.resolve({ status: 200, body: '{"builds":[]}' });
      if (method === 'POST') return Promise.resolve({ status: 200, body: '{"hearths":[]}' });
      const sinceMatch = /since=vm-(\d+)/.exec(target);
      const firstIndex = sinceMatch ? Number(sinceMatch[1]) + 1 : 0;
      const rows = Array.from(
        { length: Math.min(INSTANCE_LIST_PAGE_SIZE, INSTANCE_COUNT - firstIndex) },
        (_, i) => createInstanceRow(firstIndex + i),
      );
      return Promise.resolve({
        status: 200,
        body: JSON.stringify({ hearths: rows, more: firstIndex + rows.length < INSTANCE_COUNT }),
      });
    },
  };
  const onEvent = (event: CloudEvent): void => {
    if (event.kind === 'listed') listSizes.push(event.instances.length);
  };
  const cloudClient = new CloudClient({
    httpClient,
    address: 'c:1',
    rates: computeLeaderCloudRates(REQUESTS_PER_SECOND, false),
    clock,
    onEvent,
    mayCall: () => true,
    log: silentLog,
    onFailure: () => undefined,
  });
  cloudClient.send({ kind: 'tick' });
  const DURATION_S = 60;
  for (let elapsedS = 0; elapsedS < DURATION_S; elapsedS += 2) {
    cloudClient.send({
      kind: 'launch',
      request: {
        requestName: `r-${elapsedS}`,
        offering: { type: 'm', zone: 'z', spot: false },
        nodeCount: 1,
      },
    });
    await clock.runUntil(elapsedS * 1000);
  }
  await clock.runUntil(DURATION_S * 1000);
  assert.ok(
    listSizes.length >= 5 && listSizes.every((count) => count === INSTANCE_COUNT),
    `list sizes: ${listSizes.join()}`,
  );
  assert.equal(requests.filter(({ target }) => target === 'POST /hosts').length, DURATION_S / 2);
  for (let windowStartS = 0; windowStartS < DURATION_S; windowStartS += 5) {
    const requestCount = requests.filter(
      ({ atMs }) => atMs >= windowStartS * 1000 && atMs < (windowStartS + 5) * 1000,
    ).length;
    assert.ok(
      requestCount <= REQUESTS_PER_SECOND * 6,
      `${requestCount} calls in the 5 s after ${windowStartS} s`,
    );
  }
});
