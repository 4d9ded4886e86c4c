/** Golden forms of the requests to the state store, and the decoding of its responses. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedClock } from '@pumicehinge/runtime/simulated-clock';
import type { HttpResponse } from '../../src/http/message.js';
import { StoreClient, StoreError, type Condition, type Operation } from '../../src/state/store-client.js';
import { GoldenForms } from './golden-forms.js';
import { RecordingCaller } from './recording-caller.js';

const forms = new GoldenForms('state-calls');

const LARGE_INTEGER = 2n ** 63n + 1n;
const STORE_LIMITS = { requestsPerSecond: 1_000, writesPerSecond: 1_000, maxTransactionOperations: 12 };

/** Simulated time in which the client's rate limiters accumulate tokens for all requests of a test. */
const TOKEN_REFILL_MS = 1_000;

/** Creates a client of a state store that gives the same response to each request. */
async function createClient(response: HttpResponse | undefined) {
  const caller = new RecordingCaller(() => response);
  const clock = new SimulatedClock();
  const client = new StoreClient({
    httpClient: caller,
    address: 'state:1',
    clock,
    limits: STORE_LIMITS,
    controllerCount: 3,
  });
  await clock.runUntil(TOKEN_REFILL_MS);
  return { caller, client };
}

const createOkResponse = (body: string): HttpResponse => ({ status: 200, body });

/** Each call of the client except transactions: the response of the state store, and the expected result. */
const CALL_CASES: [
  name: string,
  response: HttpResponse,
  invoke: (client: StoreClient) => Promise<unknown>,
  expected: unknown,
][] = [
  [
    'first page',
    createOkResponse('{"rows":[{"key":"ph/leader","v":{"a":1},"stamp":4,"hold":2}],"more":true,"epoch":9}'),
    (client) => client.listPage('ph/', undefined, 500),
    { keyValues: [{ key: 'ph/leader', value: { a: 1 }, modRevision: 4 }], hasMore: true, revision: 9 },
  ],
  [
    'next page',
    createOkResponse(`{"rows":[],"epoch":${LARGE_INTEGER}}`),
    (client) => client.listPage('ph/', 'ph/leader', 500),
    { keyValues: [], hasMore: false, revision: LARGE_INTEGER },
  ],
  [
    'watch',
    createOkResponse(
      `{"epoch":7,"log":[{"put":"a","v":[1],"stamp":6},{"drop":"b","stamp":7},{"put":"c","stamp":${LARGE_INTEGER}}]}`,
    ),
    (client) => client.watch('ph/', 5, 2_500),
    {
      revision: 7,
      changes: [
        { key: 'a', value: [1], modRevision: 6 },
        { key: 'b', value: undefined, modRevision: 7 },
        { key: 'c', value: undefined, modRevision: LARGE_INTEGER },
      ],
    },
  ],
  [
    'read',
    createOkResponse('{"epoch":7,"log":[]}'),
    (client) => client.watch('ph/', LARGE_INTEGER, 0),
    { revision: 7, changes: [] },
  ],
  ['grant of a lease', createOkResponse('{"hold":77}'), (client) => client.grantLease(3_000), 77],
  ['renewal of a lease', createOkResponse('{}'), (client) => client.keepAlive(77, 1_500), true],
  [
    'renewal of a lease that has ended',
    { status: 404, body: '{}' },
    (client) => client.keepAlive(LARGE_INTEGER, 1_500),
    false,
  ],
  ['end of a lease', createOkResponse('{}'), (client) => client.revokeLease(77), undefined],
];

for (const [name, response, invoke, expected] of CALL_CASES)
  test(`call: ${name}`, async () => {
    const { caller, client } = await createClient(response);
    assert.deepEqual(await invoke(client), expected);
    assert.equal(caller.calls.length, 1);
    forms.check(name, caller.calls[0]!);
  });

const TRANSACTION_CASES: [name: string, conditions: Condition[], operations: Operation[]][] = [
  ['nothing', [], []],
  ['a new key', [{ key: 'ph/term', modRevision: 0 }], [{ key: 'ph/term', value: { term: 1 } }]],
  [
    'a key on a lease, and a delete',
    [
      { key: 'ph/leader', modRevision: LARGE_INTEGER },
      { key: 'ph/k/c0/1-1', modRevision: 5 },
    ],
    [
      { key: 'ph/leader', value: { member: 'c0' }, leaseId: 77 },
      { key: 'ph/k/c0/1-1', value: undefined },
    ],
  ],
  ['a text, with a large lease', [], [{ key: 'ph/d/job-1/1', value: 'Bw==', leaseId: LARGE_INTEGER }]],
];

for (const [name, conditions, operations] of TRANSACTION_CASES)
  test(`transaction: ${name}`, async () => {
    const { caller, client } = await createClient(createOkResponse('{"epoch":9}'));
    assert.deepEqual(await client.compareAndSwap(conditions, operations), {
      outcome: 'applied',
      revision: 9,
    });
    forms.check(`transaction: ${name}`, caller.calls[0]!);
  });

test('each response to a transaction is mapped to its result', async () => {
  const cases: [response: HttpResponse | undefined, result: unknown][] = [
    [
      { status: 409, body: '{"failed":["ph/leader"],"epoch":9}' },
      { outcome: 'conflict', failedKeys: ['ph/leader'], revision: 9 },
    ],
    [
      { status: 409, body: '{"epoch":9}' },
      { outcome: 'conflict', failedKeys: [], revision: 9 },
    ],
    [
      { status: 400, body: '{}' },
      { outcome: 'refused', status: 400 },
    ],
    [
      { status: 429, body: '' },
      { outcome: 'refused', status: 429 },
    ],
    [
      { status: 503, body: '{' },
      { outcome: 'refused', status: 503 },
    ],
    [undefined, { outcome: 'unclear' }],
  ];
  for (const [response, result] of cases) {
    const { client } = await createClient(response);
    assert.deepEqual(await client.compareAndSwap([], []), result, JSON.stringify(response));
  }
});

test('a watch throws a StoreError with the status of a rejection, or status 0 after a malformed response', async () => {
  const cases: [response: HttpResponse, status: number][] = [
    [{ status: 410, body: '{}' }, 410],
    [{ status: 503, body: '{}' }, 503],
    [createOkResponse('{"log":[]}'), 0],
    [createOkResponse('{"epoch":-1}'), 0],
    [createOkResponse('nonsense'), 0],
  ];
  for (const [response, status] of cases) {
    const { client } = await createClient(response);
    await assert.rejects(
      client.watch('ph/', 1, 0),
      (error: unknown) => error instanceof StoreError && error.status === status,
      JSON.stringify(response),
    );
  }
});

forms.addCompletenessTest();
