import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { SimulatedClock } from '@pumicehinge/runtime/simulated-clock';
import { ResponseTooLargeError, HttpCallError, type HttpResponse } from '../../src/http/message.js';
import { StateReplica } from '../../src/state/state-replica.js';
import { StoreClient } from '../../src/state/store-client.js';
import { CompactedRevisionError, ReplicaNotLoadedError, StoreError } from '../../src/state/store-error.js';

const PAGE = '{"rows":[{"key":"ph/j/a","v":1,"stamp":1}],"more":false,"epoch":1}';

/** Creates a replica of a state service whose watches can be made to fail. */
function setUp() {
  const clock = new SimulatedClock();
  const service = {
    listings: 0,
    watch: (): Promise<HttpResponse> => Promise.resolve({ status: 200, body: '{"epoch":1,"log":[]}' }),
  };
  const client = new StoreClient({
    httpClient: {
      call: (_address, _method, target) => {
        if (target.startsWith('/follow')) return service.watch();
        service.listings++;
        return Promise.resolve({ status: 200, body: PAGE });
      },
    },
    address: 'state:1',
    clock,
    limits: { requestsPerSecond: 100, writesPerSecond: 100, maxTransactionOperations: 12 },
    controllerCount: 1,
  });
  const replica = new StateReplica(client, 'ph/', clock, pino({ level: 'silent' }));
  return { clock, service, replica };
}

test('state replica: is loaded again if its revision is compacted or the changes do not fit into memory', async () => {
  const respondWithStatus = (status: number) => () => Promise.resolve({ status, body: '{}' });
  const cases: [name: string, watch: () => Promise<HttpResponse>, reloads: boolean][] = [
    ['compacted', respondWithStatus(410), true],
    ['too large', () => Promise.reject(new ResponseTooLargeError('too large')), true],
    ['not served', respondWithStatus(503), false],
    ['malformed', () => Promise.resolve({ status: 200, body: '{}' }), false],
    ['lost', () => Promise.reject(new HttpCallError('unclear', 'lost')), false],
  ];
  for (const [name, watch, shouldReload] of cases) {
    const { clock, service, replica } = setUp();
    void replica.run();
    await clock.runUntil(1_000);
    assert.equal(service.listings, 1, name);
    const { watch: working } = service;
    service.watch = () => {
      service.watch = working;
      return watch();
    };
    await clock.runUntil(3_000);
    assert.equal(service.listings, shouldReload ? 2 : 1, name);
    assert.equal(replica.isLoaded, true, name);
    assert.equal(replica.get('ph/j/a')?.value, 1, name);
  }
});

test('state replica: a linearizable read fails before the replica is loaded, and rejects with the error of the service', async () => {
  const { clock, service, replica } = setUp();
  const readOutcome = async (): Promise<unknown> => {
    const read = replica.linearizableRead().then(
      () => 'done',
      (error: unknown) => error,
    );
    await clock.runUntil(clock.steadyMs() + 1_000);
    return read;
  };
  assert.ok((await readOutcome()) instanceof ReplicaNotLoadedError);
  void replica.run();
  await clock.runUntil(clock.steadyMs() + 1_000);
  assert.equal(await readOutcome(), 'done');
  replica.stop();
  await clock.runUntil(clock.steadyMs() + 1_000);
  service.watch = () => Promise.resolve({ status: 410, body: '{}' });
  assert.ok((await readOutcome()) instanceof CompactedRevisionError);
  const notLoadedError = await readOutcome();
  assert.ok(notLoadedError instanceof StoreError);
  assert.equal(notLoadedError.status, 503);
  assert.equal(notLoadedError.name, 'ReplicaNotLoadedError');
});
