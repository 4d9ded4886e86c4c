import assert from 'node:assert/strict';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { test } from 'node:test';
import { pino } from 'pino';
import { systemClock, type Clock } from '@pumicehinge/runtime';
import { LEFT_CONNECTION_MS, MAX_BODY_BYTES } from '../src/constants.js';
import { SocketCaller } from '../src/http/client.js';
import { CallError } from '../src/http/message.js';
import { HttpParser, HttpSyntaxError } from '../src/http/parser.js';
import { serveHttp } from '../src/http/server.js';

const HOST = 'Host: a\r\n';

const GOOD: [name: string, bytes: string, expected: [line: string, body: string, keepAlive: boolean][]][] = [
  ['no body', `GET /x HTTP/1.1\r\n${HOST}\r\n`, [['GET /x HTTP/1.1', '', true]]],
  ['length', `POST /x HTTP/1.1\r\n${HOST}Content-Length: 3\r\n\r\nabc`, [['POST /x HTTP/1.1', 'abc', true]]],
  [
    'chunks and trailer',
    `POST /x HTTP/1.1\r\n${HOST}Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\nT: 1\r\n\r\n`,
    [['POST /x HTTP/1.1', 'abc', true]],
  ],
  ['close', `GET /x HTTP/1.1\r\n${HOST}Connection: close\r\n\r\n`, [['GET /x HTTP/1.1', '', false]]],
  ['old version', 'GET /x HTTP/1.0\r\n\r\n', [['GET /x HTTP/1.0', '', false]]],
  [
    'two in a row',
    `GET /a HTTP/1.1\r\n${HOST}\r\nGET /b HTTP/1.1\r\n${HOST}\r\n`,
    [
      ['GET /a HTTP/1.1', '', true],
      ['GET /b HTTP/1.1', '', true],
    ],
  ],
  ['not complete', `POST /x HTTP/1.1\r\n${HOST}Content-Length: 3\r\n\r\nab`, []],
];

const BAD: [name: string, bytes: string, status: number][] = [
  ['no request line', '\r\n\r\n', 400],
  ['unknown version', `GET /x HTTP/2.0\r\n${HOST}\r\n`, 400],
  ['no host', 'GET /x HTTP/1.1\r\n\r\n', 400],
  ['header without colon', `GET /x HTTP/1.1\r\n${HOST}oops\r\n\r\n`, 400],
  ['space before colon', `GET /x HTTP/1.1\r\n${HOST}A : b\r\n\r\n`, 400],
  ['two lengths', `POST /x HTTP/1.1\r\n${HOST}Content-Length: 1\r\nContent-Length: 2\r\n\r\na`, 400],
  [
    'length and chunks',
    `POST /x HTTP/1.1\r\n${HOST}Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\na`,
    400,
  ],
  ['negative length', `POST /x HTTP/1.1\r\n${HOST}Content-Length: -1\r\n\r\n`, 400],
  ['chunk size', `POST /x HTTP/1.1\r\n${HOST}Transfer-Encoding: chunked\r\n\r\nzz\r\n`, 400],
  ['chunk end', `POST /x HTTP/1.1\r\n${HOST}Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n`, 400],
  ['body too large', `POST /x HTTP/1.1\r\n${HOST}Content-Length: ${MAX_BODY_BYTES + 1}\r\n\r\n`, 413],
  ['chunks too large', `POST /x HTTP/1.1\r\n${HOST}Transfer-Encoding: chunked\r\n\r\nfffff\r\n`, 413],
  ['endless head', `GET /x HTTP/1.1\r\n${HOST}A: ${'x'.repeat(9000)}`, 431],
  ['header flood', `GET /x HTTP/1.1\r\n${HOST}${'A: b\r\n'.repeat(100)}\r\n`, 431],
];

test('the parser takes what is well formed, however it is cut into pieces', () => {
  for (const [name, bytes, expected] of GOOD) {
    for (const size of [1, 7, bytes.length]) {
      const parser = new HttpParser('request', MAX_BODY_BYTES);
      const found = [];
      for (let at = 0; at < bytes.length; at += size)
        found.push(...parser.feed(Buffer.from(bytes.slice(at, at + size))));
      assert.deepEqual(
        found.map((m) => [m.startLine, m.body.toString(), m.keepAlive]),
        expected,
        `${name}, pieces of ${size}`,
      );
    }
  }
});

test('the parser refuses what is not', () => {
  for (const [name, bytes, status] of BAD) {
    const parser = new HttpParser('request', MAX_BODY_BYTES);
    assert.throws(
      () => parser.feed(Buffer.from(bytes)),
      (error: unknown) => error instanceof HttpSyntaxError && error.status === status,
      name,
    );
  }
});

function addressOf(server: Server): string {
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function echoServer(most = 10, clock: Clock = systemClock): Promise<Server> {
  return serveHttp(
    '127.0.0.1:0',
    most,
    (request, respond) => {
      if (request.path === '/throw') throw new Error('on purpose');
      respond({ status: 200, body: JSON.stringify(request) });
    },
    clock,
    pino({ level: 'silent' }),
  );
}

/** Sends raw bytes, half-closes, and returns all that came back until the other side closed. */
function raw(address: string, bytes: string): Promise<string> {
  const [host, port] = address.split(':') as [string, string];
  return new Promise((resolve, reject) => {
    const socket = connect({ host, port: Number(port) }, () => socket.end(bytes));
    let text = '';
    socket.on('data', (data) => (text += data.toString()));
    socket.on('close', () => resolve(text));
    socket.on('error', reject);
  });
}

test('server: answers, errors of a handler, malformed input and half-closed connections', async () => {
  const server = await echoServer();
  const address = addressOf(server);
  const cases: [bytes: string, answer: RegExp][] = [
    [`GET /a?b=1 HTTP/1.1\r\n${HOST}\r\n`, /^HTTP\/1.1 200 .*"path":"\/a","query":"b=1"/s],
    [`GET /throw HTTP/1.1\r\n${HOST}\r\n`, /^HTTP\/1.1 503 .*Retry-After: 1/s],
    ['nonsense\r\n\r\n', /^HTTP\/1.1 400 .*Connection: close/s],
    [`POST /a HTTP/1.1\r\n${HOST}Content-Length: 99999999\r\n\r\n`, /^HTTP\/1.1 413 /],
  ];
  for (const [bytes, answer] of cases) assert.match(await raw(address, bytes), answer);
  await new Promise((resolve) => server.close(resolve));
});

test('client: calls on kept connections, and tells unsent from unclear', async () => {
  const server = await echoServer();
  const caller = new SocketCaller(systemClock, 2);
  const address = addressOf(server);
  const bodies = await Promise.all(
    Array.from({ length: 20 }, (_, i) => caller.call(address, 'POST', `/${i}`, `"${i}"`, 5000)),
  );
  bodies.forEach((response, i) =>
    assert.equal((JSON.parse(response.body) as { path: string }).path, `/${i}`),
  );
  await assert.rejects(
    caller.call('127.0.0.1:1', 'GET', '/', undefined, 5000),
    (error: unknown) => error instanceof CallError && error.failure === 'unsent',
  );
  const silent = createServer((socket) => socket.on('data', () => socket.destroy()));
  await new Promise<void>((resolve) => silent.listen(0, '127.0.0.1', resolve));
  await assert.rejects(
    caller.call(addressOf(silent), 'GET', '/', undefined, 5000),
    (error: unknown) => error instanceof CallError && error.failure === 'unclear',
  );
  caller.close();
  silent.close();
  await new Promise((resolve) => server.close(resolve));
});

test('server: when all connections are taken, only one that was left gives way', async () => {
  let nowMs = 0;
  const server = await echoServer(2, { ...systemClock, steadyMs: () => nowMs });
  const address = addressOf(server);
  const [host, port] = address.split(':') as [string, string];
  const ask = (socket: Socket): Promise<boolean> =>
    new Promise((resolve) => {
      if (socket.destroyed) return resolve(false);
      socket.once('data', () => resolve(true));
      socket.once('close', () => resolve(false));
      socket.write(`GET / HTTP/1.1\r\n${HOST}\r\n`);
    });
  const open = (): Socket => connect({ host, port: Number(port) }).on('error', () => undefined);
  const [left, used] = [open(), open()];
  assert.ok((await ask(left)) && (await ask(used)));
  nowMs = LEFT_CONNECTION_MS - 1_000;
  assert.ok(await ask(used));
  assert.equal(await ask(open()), false, 'all are in use');
  nowMs = LEFT_CONNECTION_MS + 1_000;
  const late = open();
  assert.ok(await ask(late), 'the one that was left gives way');
  assert.ok(await ask(used), 'the one in use stays');
  assert.equal(await ask(left), false);
  for (const socket of [left, used, late]) socket.destroy();
  await new Promise((resolve) => server.close(resolve));
});

test('client: connections to all addresses together are bounded, an idle one goes for a new one', async () => {
  const servers = await Promise.all([echoServer(), echoServer(), echoServer()]);
  const caller = new SocketCaller(systemClock, 1, 2);
  const call = (server: Server) => caller.call(addressOf(server), 'GET', '/', undefined, 5000);
  for (const server of [...servers, ...servers]) assert.equal((await call(server)).status, 200);
  const counts = await Promise.all(
    servers.map((s) => new Promise<number>((resolve) => s.getConnections((_e, n) => resolve(n)))),
  );
  assert.ok(counts.reduce((a, b) => a + b) <= 3, `${counts.join(' ')} open`);
  // All in use: the third is told at once.
  const results = await Promise.allSettled(servers.map(call));
  assert.deepEqual(
    results.map((r) => (r.status === 'rejected' ? (r.reason as CallError).failure : r.value.status)),
    [200, 200, 'unsent'],
  );
  caller.close();
  await Promise.all(servers.map((s) => new Promise((resolve) => s.close(resolve))));
});

// With fewer sockets than workers, those that came first kept theirs and the others were refused for ever.
test('more clients than sockets: connections end after their answers, and everyone has a turn', async () => {
  const MOST = 10;
  const CLIENTS = 25;
  const server = await serveHttp(
    '127.0.0.1:0',
    MOST,
    (_request, respond) => setImmediate(() => respond({ status: 200, body: '{}' })),
    systemClock,
    pino({ level: 'silent' }),
  );
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const callers = Array.from({ length: CLIENTS }, () => new SocketCaller(systemClock, 1));
  const served = new Map<SocketCaller, number>();
  for (let round = 0; round < 4; round++)
    for (const caller of callers) {
      const response = await caller.call(address, 'GET', '/x', undefined, 2000).catch(() => undefined);
      if (response) served.set(caller, (served.get(caller) ?? 0) + 1);
    }
  for (const caller of callers) caller.close();
  server.close();
  assert.deepEqual(new Set(served.values()), new Set([4]));
  assert.equal(served.size, CLIENTS);
});
