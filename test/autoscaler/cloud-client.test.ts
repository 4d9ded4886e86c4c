import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { CloudClient, computeLeaderCloudRates } from '../../src/autoscaler/cloud-client.js';
import { SimulatedClock } from '@pumicehinge/runtime/simulated-clock';

// Guards against calls after a pause of the process in which the authority of the leader ended.
test('the cloud is not called while the leader has no authority', async () => {
  const clock = new SimulatedClock();
  let hasAuthority = true;
  const requestedTargets: string[] = [];
  const cloud = new CloudClient({
    httpClient: {
      call: (_address, method, target) => {
        requestedTargets.push(`${method} ${target}`);
        return Promise.resolve({ status: 503, body: '{}' });
      },
    },
    address: 'cloud:1',
    rates: computeLeaderCloudRates(2, false),
    clock,
    onEvent: () => undefined,
    mayCall: () => hasAuthority,
    log: pino({ level: 'silent' }),
    onFailure: () => undefined,
  });
  // These are more requests than the rate allows at once, so some of them wait.
  for (let i = 0; i < 5; i++)
    cloud.send({
      kind: 'launch',
      request: { requestName: `r-${i}`, offering: { type: 'm', zone: 'z', spot: false }, nodeCount: 1 },
    });
  await clock.runUntil(100);
  const callCountBefore = requestedTargets.length;
  assert.ok(callCountBefore > 0 && callCountBefore < 5, `${callCountBefore} calls`);
  hasAuthority = false;
  cloud.send({ kind: 'terminate', names: ['m-1'] });
  await clock.runUntil(20_000);
  assert.equal(requestedTargets.length, callCountBefore);
  hasAuthority = true;
  await clock.runUntil(40_000);
  assert.ok(requestedTargets.includes('POST /hosts/return'));
});
