/** Golden forms of the requests to the cloud, and the decoding of its responses. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import type { InstanceOffering, LaunchRequest, LaunchResult } from '@pumicehinge/duties';
import { SimulatedClock } from '@pumicehinge/runtime/simulated-clock';
import { CloudClient, computeLeaderCloudRates, type CloudEvent } from '../../src/autoscaler/cloud-client.js';
import {
  decodeCatalog,
  decodeInstancePage,
  decodeLaunchedNames,
  encodeLaunch,
  encodeTermination,
  formatOfferingKey,
  type CloudInstance,
  type InstanceType,
} from '../../src/autoscaler/cloud-codec.js';
import { HttpCloudProvider } from '../../src/duties/http-cloud-provider.js';
import type { HttpResponse } from '../../src/http/message.js';
import { formatJson } from '../../src/wire/json.js';
import { GoldenForms } from './golden-forms.js';
import { RecordingCaller } from './recording-caller.js';

const forms = new GoldenForms('cloud-calls');

const SPOT_OFFERING: InstanceOffering = { type: 'kufel-node', zone: 'warszawa-a', spot: true };
const ON_DEMAND_OFFERING: InstanceOffering = { ...SPOT_OFFERING, spot: false };
const INSTANCE_NAMES = ['vm-000039', 'vm-000040'];

test('launch and termination requests and offering keys are encoded', () => {
  forms.check(
    'rent: spot',
    formatJson(encodeLaunch({ requestName: 'r-12-1', offering: SPOT_OFFERING, nodeCount: 2 })),
  );
  forms.check(
    'rent: ordinary',
    formatJson(encodeLaunch({ requestName: 'r-12-2', offering: ON_DEMAND_OFFERING, nodeCount: 1 })),
  );
  forms.check('return: two', formatJson(encodeTermination(INSTANCE_NAMES)));
  forms.check('return: none', formatJson(encodeTermination([])));
  forms.check('offer: spot', formatOfferingKey(SPOT_OFFERING));
  forms.check('offer: ordinary', formatOfferingKey(ON_DEMAND_OFFERING));
});

const CATALOG_BODY =
  '{"builds":[{"sku":"kufel-node","cpus":8,"accelerators":1,"memGb":32,"cacheGb":40,"pullGbPerS":0.5,"price":0.4,' +
  '"spotPrice":0.13,"bootS":22.5,"yards":["warszawa-a","warszawa-b"],"later":1},' +
  '{"sku":"bare","cpus":2,"memGb":4,"cacheGb":8,"pullGbPerS":1,"price":0.1,"spotPrice":0.05,"bootS":9},7]}';

const INSTANCE_TYPES: InstanceType[] = [
  {
    name: 'kufel-node',
    cpus: 8,
    accelerators: 1,
    memGb: 32,
    cacheGb: 40,
    pullGbPerS: 0.5,
    price: 0.4,
    spotPrice: 0.13,
    bootS: 22.5,
    zones: ['warszawa-a', 'warszawa-b'],
  },
  {
    name: 'bare',
    cpus: 2,
    accelerators: 0,
    memGb: 4,
    cacheGb: 8,
    pullGbPerS: 1,
    price: 0.1,
    spotPrice: 0.05,
    bootS: 9,
    zones: [],
  },
];

const INSTANCE_LIST_BODY =
  '{"hearths":[{"uid":"vm-1","address":"10.1.0.1:9000","build":"kufel-node","yard":"warszawa-a","loaner":true,' +
  '"phase":"running","ageS":12.5,"later":1},{"uid":"vm-2","build":"bare","yard":"warszawa-b","loaner":false,' +
  '"phase":"booting"},{"uid":"vm-3","address":"10.1.0.3:9000","build":"bare","yard":"warszawa-b","phase":"failed",' +
  '"ageS":99},{"uid":"vm-4","build":"bare","yard":"warszawa-b","phase":"odd"}],"more":true}';

const LISTED_INSTANCES: CloudInstance[] = [
  {
    name: 'vm-1',
    address: '10.1.0.1:9000',
    type: 'kufel-node',
    zone: 'warszawa-a',
    spot: true,
    phase: 'running',
    ageS: 12.5,
  },
  { name: 'vm-2', address: '', type: 'bare', zone: 'warszawa-b', spot: false, phase: 'booting', ageS: 0 },
  {
    name: 'vm-3',
    address: '10.1.0.3:9000',
    type: 'bare',
    zone: 'warszawa-b',
    spot: false,
    phase: 'failed',
    ageS: 99,
  },
  { name: 'vm-4', address: '', type: 'bare', zone: 'warszawa-b', spot: false, phase: 'running', ageS: 0 },
];

test('response bodies of the cloud are decoded', () => {
  assert.deepEqual(decodeCatalog(CATALOG_BODY), INSTANCE_TYPES);
  assert.deepEqual(decodeInstancePage(INSTANCE_LIST_BODY), { instances: LISTED_INSTANCES, hasMore: true });
  assert.deepEqual(decodeInstancePage('{}'), { instances: [], hasMore: false });
  assert.deepEqual(decodeLaunchedNames('{"hearths":["vm-1","vm-2"],"later":1}'), ['vm-1', 'vm-2']);
  assert.deepEqual(decodeLaunchedNames('{}'), []);
  for (const text of ['', '[]', '7', '{'])
    for (const decode of [decodeCatalog, decodeInstancePage, decodeLaunchedNames])
      assert.throws(() => decode(text), Error, text);
  assert.throws(() => decodeCatalog('{}'));
});

/** Responses of the cloud to a leader that calls it directly, by method and request target. */
const RESPONSES: Record<string, HttpResponse> = {
  'GET /catalog': { status: 200, body: CATALOG_BODY },
  'GET /hosts?page=500': { status: 200, body: INSTANCE_LIST_BODY },
  'GET /hosts?since=vm-4&page=500': { status: 200, body: '{"hearths":[],"more":false}' },
  'POST /hosts': { status: 200, body: '{"hearths":["vm-000039","vm-000040"]}' },
  'POST /hosts/return': { status: 200, body: '{}' },
};

test('a leader that calls the cloud directly: its requests, and the events that its client emits', async () => {
  const clock = new SimulatedClock();
  const caller = new RecordingCaller(({ method, target }) => RESPONSES[`${method} ${target}`]);
  const events: CloudEvent[] = [];
  const cloud = new CloudClient({
    httpClient: caller,
    address: 'cloud:1',
    rates: computeLeaderCloudRates(6, false),
    clock,
    onEvent: (event) => events.push(event),
    mayCall: () => true,
    log: pino({ level: 'silent' }),
    onFailure: (error) => assert.fail(String(error)),
  });
  const spotRequest = { requestName: 'r-12-1', offering: SPOT_OFFERING, nodeCount: 2 };
  cloud.send({ kind: 'launch', request: spotRequest });
  cloud.send({ kind: 'terminate', names: INSTANCE_NAMES });
  await clock.runUntil(3_000);
  RESPONSES['POST /hosts'] = { status: 503, body: '{"error":"no capacity"}' };
  const onDemandRequest = { requestName: 'r-12-2', offering: ON_DEMAND_OFFERING, nodeCount: 1 };
  cloud.send({ kind: 'launch', request: onDemandRequest });
  await clock.runUntil(3_500);
  cloud.stop();
  const distinctCalls = [...new Set(caller.calls)];
  distinctCalls.forEach((call, index) => forms.check(`call of a leader ${index + 1}`, call));
  const findEvent = (kind: CloudEvent['kind']): CloudEvent | undefined =>
    events.find((event) => event.kind === kind);
  assert.deepEqual(findEvent('catalog'), { kind: 'catalog', instanceTypes: INSTANCE_TYPES });
  const listedEvent = events.find((event) => event.kind === 'listed');
  assert.deepEqual(listedEvent?.instances, LISTED_INSTANCES);
  assert.deepEqual(findEvent('launched'), { kind: 'launched', request: spotRequest, names: INSTANCE_NAMES });
  assert.deepEqual(findEvent('terminated'), { kind: 'terminated', names: INSTANCE_NAMES });
  assert.deepEqual(findEvent('launchFailed'), {
    kind: 'launchFailed',
    request: onDemandRequest,
    reason: 'no capacity',
  });
});

const LAUNCH_REQUEST: LaunchRequest = { requestName: 'r-12-1', offering: SPOT_OFFERING, nodeCount: 2 };

/** Responses to a launch request, and the result that the holder of the launch role derives from each. */
const LAUNCH_CASES: [name: string, response: HttpResponse | undefined, result: LaunchResult][] = [
  [
    'all requested instances',
    { status: 200, body: '{"hearths":["a","b"]}' },
    { kind: 'launched', names: ['a', 'b'] },
  ],
  [
    'fewer instances than requested',
    { status: 200, body: '{"hearths":["a"]}' },
    { kind: 'launched', names: ['a'] },
  ],
  [
    'more instances than requested',
    { status: 200, body: '{"hearths":["a","b","c"]}' },
    { kind: 'refused', reason: 'trouble' },
  ],
  [
    'duplicate instance',
    { status: 200, body: '{"hearths":["a","a"]}' },
    { kind: 'refused', reason: 'trouble' },
  ],
  ['empty instance name', { status: 200, body: '{"hearths":[""]}' }, { kind: 'refused', reason: 'trouble' }],
  ['body is not JSON', { status: 200, body: '{' }, { kind: 'refused', reason: 'trouble' }],
  [
    'no capacity',
    { status: 503, body: '{"error":"no capacity"}' },
    { kind: 'refused', reason: 'no capacity' },
  ],
  [
    'invalid request',
    { status: 400, body: '{"error":"no such build"}' },
    { kind: 'refused', reason: 'trouble' },
  ],
  ['rate limit exceeded', { status: 429, body: '{}' }, { kind: 'unknown', isAnswered: true }],
  ['no response', undefined, { kind: 'unknown', isAnswered: false }],
];

test('the holder of a cloud role: its requests, and the result that it derives from each response', async () => {
  for (const [name, response, result] of LAUNCH_CASES) {
    const caller = new RecordingCaller(() => response);
    assert.deepEqual(await new HttpCloudProvider(caller, 'cloud:1').launch(LAUNCH_REQUEST), result, name);
    assert.equal(caller.calls.length, 1);
    if (name === 'all requested instances') forms.check('call of a holder: rent', caller.calls[0]!);
  }
  for (const [status, result] of [
    [200, { kind: 'terminated' }],
    [503, { kind: 'unknown', isAnswered: true }],
    [undefined, { kind: 'unknown', isAnswered: false }],
  ] as const) {
    const caller = new RecordingCaller(() => (status === undefined ? undefined : { status, body: '{}' }));
    assert.deepEqual(await new HttpCloudProvider(caller, 'cloud:1').terminate(INSTANCE_NAMES), result);
    if (status === 200) forms.check('call of a holder: return', caller.calls[0]!);
  }
});

forms.addCompletenessTest();
