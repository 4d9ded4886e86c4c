import assert from 'node:assert/strict';
import { test } from 'node:test';
import { formatJson, parseJson } from '../../src/wire/json.js';
import { decodeHeartbeat } from '../../src/workers/codec.js';

test('heartbeats keep every digit of integers below 2^64 and accept unknown task states but no malformed fields', () => {
  const body =
    '{"hearth":"vm-1","address":"10.1.0.1:9000","build":"g8","yard":"a","loaner":true,"tenure":1,' +
    '"tick":18446744073709551615,"baton":9007199254740993,"warningS":null,' +
    '"pieces":[{"piece":"job-000412/3","try":9223372036854775809,"phase":"running"}]}';
  const heartbeat = decodeHeartbeat(parseJson(body))!;
  assert.equal(heartbeat.sequence, 18446744073709551615n);
  assert.equal(heartbeat.fencingToken, 9007199254740993n);
  assert.equal(heartbeat.tasks[0]!.attemptNumber, 9223372036854775809n);
  assert.equal(formatJson({ try: heartbeat.tasks[0]!.attemptNumber }), '{"try":9223372036854775809}');
  assert.equal(decodeHeartbeat(parseJson(body.replace('running', 'odd')))!.tasks[0]!.state, 'fetching');
  const malformed: [from: string, to: string][] = [
    ['"tick":18446744073709551615', '"tick":-1'],
    ['"tick":18446744073709551615', '"tick":1.5'],
    ['"tick":18446744073709551615', '"tick":18446744073709551616'],
    ['"hearth":"vm-1"', '"hearth":1'],
    ['"phase":"running"', '"phase":7'],
    ['job-000412/3', 'job-000412'],
    ['"pieces":[', '"other":['],
  ];
  for (const [from, to] of malformed)
    assert.equal(decodeHeartbeat(parseJson(body.replace(from, to))), undefined, to);
});
