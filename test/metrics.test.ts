/** Tests the metrics that operators scrape, and the log of rejected requests. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Logger } from 'pino';
import { getMaxRequestBytes } from '../src/api/codec.js';
import { MAX_BODY_BYTES, MAX_HEARTBEAT_BYTES, REJECTION_LOG_INTERVAL_MS } from '../src/constants.js';
import { RejectionLog } from '../src/http/rejection-log.js';
import { ControllerMetrics, formatMetrics } from '../src/metrics.js';
import { SimulatedDeployment } from '../src/simulation/simulated-deployment.js';

/** Returns the values of the metrics in their text form, by name. */
function parseMetrics(text: string): ReadonlyMap<string, number> {
  const lines = text.split('\n').filter((line) => line !== '' && !line.startsWith('#'));
  return new Map(lines.map((line): [string, number] => [line.split(' ')[0]!, Number(line.split(' ')[1])]));
}

test('the text form explains each metric and gives its value', () => {
  const text = formatMetrics([{ name: 'a_total', type: 'counter', help: 'Counts a.', value: 3 }]);
  assert.equal(text, '# HELP a_total Counts a.\n# TYPE a_total counter\na_total 3\n');
});

test('rejected requests are counted by whether they were too large, and the largest heartbeat is kept', () => {
  const metrics = new ControllerMetrics();
  for (const status of [413, 400, 431, 413]) metrics.recordRejectedRequest(status);
  for (const bytes of [10, 500, 20]) metrics.recordHeartbeat(bytes);
  assert.deepEqual(
    metrics.collect(undefined).map(({ value }) => value),
    [2, 2, 500],
  );
});

test('every controller serves its own metrics, and the leader those of the nodes', async () => {
  const deployment = new SimulatedDeployment(1);
  deployment.submit({ tasks: 4, runS: 60 });
  await deployment.clock.runUntil(40_000);
  const valuesByMember = new Map<string, ReadonlyMap<string, number>>();
  for (const member of deployment.members)
    void deployment.sendRequest(member, 'GET', '/metrics').then((response) => {
      if (response?.status === 200) valuesByMember.set(member, parseMetrics(response.body));
    });
  await deployment.clock.runUntil(41_000);
  assert.deepEqual([...valuesByMember.keys()].sort(), deployment.members);
  for (const [member, values] of valuesByMember) {
    assert.equal(values.get('pumicehinge_requests_too_large_total'), 0);
    assert.equal(values.has('pumicehinge_node_tasks_max'), member === deployment.leader);
    assert.equal(values.has('pumicehinge_leader_term'), member === deployment.leader);
  }
  const ofLeader = valuesByMember.get(deployment.leader!)!;
  assert.ok(ofLeader.get('pumicehinge_node_tasks_max')! >= 1);
  assert.equal(ofLeader.get('pumicehinge_nodes_over_task_limit'), 0);
  const { term } = deployment.state.getValue('ph/leader') as { term: number };
  assert.equal(ofLeader.get('pumicehinge_leader_term'), term);
  assert.equal(ofLeader.get('pumicehinge_task_starts_sent_total'), 4);
  assert.equal(ofLeader.get('pumicehinge_direct_calls_total'), 0);
  assert.equal(ofLeader.get('pumicehinge_direct_calls_refused_total'), 0);
});

test('only a heartbeat may be larger than other requests', () => {
  const cases: [startLine: string, maxBytes: number][] = [
    ['POST /v1/report HTTP/1.1', MAX_HEARTBEAT_BYTES],
    ['GET /v1/report HTTP/1.1', MAX_BODY_BYTES],
    ['POST /v1/reports HTTP/1.1', MAX_BODY_BYTES],
    ['POST /submissions HTTP/1.1', MAX_BODY_BYTES],
  ];
  for (const [startLine, maxBytes] of cases) assert.equal(getMaxRequestBytes(startLine), maxBytes, startLine);
});

test('one of the requests that are rejected in an interval is logged, with the number of the others', () => {
  let nowMs = 0;
  const clock = { steadyMs: () => nowMs };
  const lines: unknown[] = [];
  const statuses: number[] = [];
  const log = { warn: (fields: unknown) => lines.push(fields) } as unknown as Logger;
  const rejectionLog = new RejectionLog(clock, log, (status) => statuses.push(status));
  for (const atMs of [0, 1, 2, REJECTION_LOG_INTERVAL_MS]) {
    nowMs = atMs;
    rejectionLog.record(413, '10.0.0.1', new Error(`at ${atMs}`));
  }
  assert.deepEqual(statuses, [413, 413, 413, 413]);
  assert.deepEqual(lines, [
    { status: 413, client: '10.0.0.1', reason: 'at 0', notLogged: 0 },
    { status: 413, client: '10.0.0.1', reason: `at ${REJECTION_LOG_INTERVAL_MS}`, notLogged: 2 },
  ]);
});
