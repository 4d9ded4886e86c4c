/** Tests the HTTP parser, and the HTTP server and client on real sockets, including their connection limits. */
import assert from 'node:assert/strict';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { test } from 'node:test';
import { pino } from 'pino';
import { systemClock, type Clock } from '@pumicehinge/runtime';
import { ABANDONED_CONNECTION_TIMEOUT_MS, MAX_BODY_BYTES } from '../src/constants.js';
import { SocketHttpClient } from '../src/http/client.js';
import { HttpCallError } from '../src/http/message.js';
import { HttpParser, HttpSyntaxError } from '../src/http/parser.js';
import { startHttpServer } from '../src/http/server.js';

const HOST_HEADER = 'Host: a\r\n';

const VALID_REQUESTS: [
  name: string,
  bytes: string,
  expected: [line: string, body: string, keepAlive: boolean][],
][] = [
  ['no body', `GET /x HTTP/1.1\r\n${HOST_HEADER}\r\n`, [['GET /x HTTP/1.1', '', true]]],
  [
    'fixed length',
    `POST /x HTTP/1.1\r\n${HOST_HEADER}Content-Length: 3\r\n\r\nabc`,
    [['POST /x HTTP/1.1', 'abc', true]],
  ],
  [
    'chunks and trailer',
    `POST /x HTTP/1.1\r\n${HOST_HEADER}Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\nT: 1\r\n\r\n`,
    [['POST /x HTTP/1.1', 'abc', true]],
  ],
  [
    'connection close',
    `GET /x HTTP/1.1\r\n${HOST_HEADER}Connection: close\r\n\r\n`,
    [['GET /x HTTP/1.1', '', false]],
  ],
  ['HTTP/1.0', 'GET /x HTTP/1.0\r\n\r\n', [['GET /x HTTP/1.0', '', false]]],
  [
    'two requests',
    `GET /a HTTP/1.1\r\n${HOST_HEADER}\r\nGET /b HTTP/1.1\r\n${HOST_HEADER}\r\n`,
    [
      ['GET /a HTTP/1.1', '', true],
      ['GET /b HTTP/1.1', '', true],
    ],
  ],
  ['incomplete body', `POST /x HTTP/1.1\r\n${HOST_HEADER}Content-Length: 3\r\n\r\nab`, []],
];

const INVALID_REQUESTS: [name: string, bytes: string, status: number][] = [
  ['no request line', '\r\n\r\n', 400],
  ['unknown version', `GET /x HTTP/2.0\r\n${HOST_HEADER}\r\n`, 400],
  ['no host', 'GET /x HTTP/1.1\r\n\r\n', 400],
  ['header without colon', `GET /x HTTP/1.1\r\n${HOST_HEADER}oops\r\n\r\n`, 400],
  ['space before colon', `GET /x HTTP/1.1\r\n${HOST_HEADER}A : b\r\n\r\n`, 400],
  ['two lengths', `POST /x HTTP/1.1\r\n${HOST_HEADER}Content-Length: 1\r\nContent-Length: 2\r\n\r\na`, 400],
  [
    'length and chunks',
    `POST /x HTTP/1.1\r\n${HOST_HEADER}Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\na`,
    400,
  ],
  ['negative length', `POST /x HTTP/1.1\r\n${HOST_HEADER}Content-Length: -1\r\n\r\n`, 400],
  ['invalid chunk size', `POST /x HTTP/1.1\r\n${HOST_HEADER}Transfer-Encoding: chunked\r\n\r\nzz\r\n`, 400],
  [
    'chunk without CRLF',
    `POST /x HTTP/1.1\r\n${HOST_HEADER}Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n`,
    400,
  ],
  ['body too large', `POST /x HTTP/1.1\r\n${HOST_HEADER}Content-Length: ${MAX_BODY_BYTES + 1}\r\n\r\n`, 413],
  ['chunks too large', `POST /x HTTP/1.1\r\n${HOST_HEADER}Transfer-Encoding: chunked\r\n\r\nfffff\r\n`, 413],
  ['head too large', `GET /x HTTP/1.1\r\n${HOST_HEADER}A: ${'x'.repeat(9000)}`, 431],
  ['too many headers', `GET /x HTTP/1.1\r\n${HOST_HEADER}${'A: b\r\n'.repeat(100)}\r\n`, 431],
];

test('the parser accepts valid requests, however they are split', () => {
  for (const [name, bytes, expected] of VALID_REQUESTS) {
    for (const sliceBytes of [1, 7, bytes.length]) {
      const parser = new HttpParser('request', MAX_BODY_BYTES);
      const messages = [];
      for (let offset = 0; offset < bytes.length; offset += sliceBytes)
        messages.push(...parser.feed(Buffer.from(bytes.slice(offset, offset + sliceBytes))));
      assert.deepEqual(
        messages.map((message) => [message.startLine, message.body.toString(), message.keepAlive]),
        expected,
        `${name}, slices of ${sliceBytes} bytes`,
      );
    }
  }
});

test('the parser applies the size limit of each start line, and joins the parts of a large body', () => {
  const LARGE_BODY = 'x'.repeat(3 * MAX_BODY_BYTES) + 'y';
  const getLimit = (startLine: string): number =>
    startLine.startsWith('POST /large ') ? LARGE_BODY.length : MAX_BODY_BYTES;
  const encode = (path: string, body: string): Buffer =>
    Buffer.from(`POST ${path} HTTP/1.1\r\n${HOST_HEADER}Content-Length: ${body.length}\r\n\r\n${body}`);
  const parser = new HttpParser('request', getLimit);
  const bytes = Buffer.concat([encode('/large', LARGE_BODY), encode('/small', 'z')]);
  const bodies: string[] = [];
  for (let offset = 0; offset < bytes.length; offset += 1_400)
    bodies.push(...parser.feed(bytes.subarray(offset, offset + 1_400)).map(({ body }) => body.toString()));
  assert.deepEqual(bodies, [LARGE_BODY, 'z']);
  for (const [path, body] of [
    ['/small', LARGE_BODY],
    ['/large', `${LARGE_BODY}z`],
  ] as const)
    assert.throws(
      () => new HttpParser('request', getLimit).feed(encode(path, body)),
      (error: unknown) => error instanceof HttpSyntaxError && error.status === 413,
      path,
    );
});

test('the parser rejects invalid requests', () => {
  for (const [name, bytes, status] of INVALID_REQUESTS) {
    const parser = new HttpParser('request', MAX_BODY_BYTES);
    assert.throws(
      () => parser.feed(Buffer.from(bytes)),
      (error: unknown) => error instanceof HttpSyntaxError && error.status === status,
      name,
    );
  }
});

function getAddress(server: Server): string {
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function startEchoServer(maxConnections = 10, clock: Clock = systemClock): Promise<Server> {
  return startHttpServer(
    '127.0.0.1:0',
    maxConnections,
    (request, respond) => {
      if (request.path === '/throw') throw new Error('thrown by the test');
      respond({ status: 200, body: JSON.stringify(request) });
    },
    clock,
    pino({ level: 'silent' }),
  );
}

/** Sends raw bytes, half-closes the connection, and returns everything that is received until the server closes it. */
function sendRaw(address: string, bytes: string): Promise<string> {
  const [host, port] = address.split(':') as [string, string];
  return new Promise((resolve, reject) => {
    const socket = connect({ host, port: Number(port) }, () => socket.end(bytes));
    let received = '';
    socket.on('data', (data) => (received += data.toString()));
    socket.on('close', () => resolve(received));
    socket.on('error', reject);
  });
}

test('server: responses, handler errors, malformed requests and half-closed connections', async () => {
  const server = await startEchoServer();
  const address = getAddress(server);
  const requestCases: [bytes: string, expectedResponse: RegExp][] = [
    [`GET /a?b=1 HTTP/1.1\r\n${HOST_HEADER}\r\n`, /^HTTP\/1.1 200 .*"path":"\/a","query":"b=1"/s],
    [`GET /throw HTTP/1.1\r\n${HOST_HEADER}\r\n`, /^HTTP\/1.1 503 .*Retry-After: 1/s],
    ['nonsense\r\n\r\n', /^HTTP\/1.1 400 .*Connection: close/s],
    [`POST /a HTTP/1.1\r\n${HOST_HEADER}Content-Length: 99999999\r\n\r\n`, /^HTTP\/1.1 413 /],
  ];
  for (const [bytes, expectedResponse] of requestCases)
    assert.match(await sendRaw(address, bytes), expectedResponse);
  await new Promise((resolve) => server.close(resolve));
});

test('client: reuses connections, and distinguishes unsent requests from those that may have been executed', async () => {
  const server = await startEchoServer();
  const client = new SocketHttpClient(systemClock, 2);
  const address = getAddress(server);
  const responses = await Promise.all(
    Array.from({ length: 20 }, (_, i) => client.call(address, 'POST', `/${i}`, `"${i}"`, 5000)),
  );
  responses.forEach((response, i) =>
    assert.equal((JSON.parse(response.body) as { path: string }).path, `/${i}`),
  );
  await assert.rejects(
    client.call('127.0.0.1:1', 'GET', '/', undefined, 5000),
    (error: unknown) => error instanceof HttpCallError && error.failure === 'unsent',
  );
  const droppingServer = createServer((socket) => socket.on('data', () => socket.destroy()));
  await new Promise<void>((resolve) => droppingServer.listen(0, '127.0.0.1', resolve));
  await assert.rejects(
    client.call(getAddress(droppingServer), 'GET', '/', undefined, 5000),
    (error: unknown) => error instanceof HttpCallError && error.failure === 'unclear',
  );
  client.close();
  droppingServer.close();
  await new Promise((resolve) => server.close(resolve));
});

test('server: at the connection limit, only an abandoned connection is closed for a new one', async () => {
  let nowMs = 0;
  const server = await startEchoServer(2, { ...systemClock, steadyMs: () => nowMs });
  const address = getAddress(server);
  const [host, port] = address.split(':') as [string, string];
  const receivesResponse = (socket: Socket): Promise<boolean> =>
    new Promise((resolve) => {
      if (socket.destroyed) return resolve(false);
      socket.once('data', () => resolve(true));
      socket.once('close', () => resolve(false));
      socket.write(`GET / HTTP/1.1\r\n${HOST_HEADER}\r\n`);
    });
  const openSocket = (): Socket => connect({ host, port: Number(port) }).on('error', () => undefined);
  const [abandoned, active] = [openSocket(), openSocket()];
  assert.ok((await receivesResponse(abandoned)) && (await receivesResponse(active)));
  nowMs = ABANDONED_CONNECTION_TIMEOUT_MS - 1_000;
  assert.ok(await receivesResponse(active));
  assert.equal(await receivesResponse(openSocket()), false, 'all connections are in use');
  nowMs = ABANDONED_CONNECTION_TIMEOUT_MS + 1_000;
  const replacement = openSocket();
  assert.ok(await receivesResponse(replacement), 'the abandoned connection is closed for the new one');
  assert.ok(await receivesResponse(active), 'the active connection stays open');
  assert.equal(await receivesResponse(abandoned), false);
  for (const socket of [abandoned, active, replacement]) socket.destroy();
  await new Promise((resolve) => server.close(resolve));
});

test('client: the connections to all addresses are limited, and an idle one is closed for a new one', async () => {
  const servers = await Promise.all([startEchoServer(), startEchoServer(), startEchoServer()]);
  const client = new SocketHttpClient(systemClock, 1, 2);
  const call = (server: Server) => client.call(getAddress(server), 'GET', '/', undefined, 5000);
  for (const server of [...servers, ...servers]) assert.equal((await call(server)).status, 200);
  const connectionCounts = await Promise.all(
    servers.map(
      (s) =>
        new Promise<number>((resolve) =>
          s.getConnections((_error, connectionCount) => resolve(connectionCount)),
        ),
    ),
  );
  assert.ok(connectionCounts.reduce((a, b) => a + b) <= 3, `${connectionCounts.join(' ')} open`);
  // Both allowed connections are in use, so the third call is rejected at once.
  const results = await Promise.allSettled(servers.map(call));
  assert.deepEqual(
    results.map((r) => (r.status === 'rejected' ? (r.reason as HttpCallError).failure : r.value.status)),
    [200, 200, 'unsent'],
  );
  client.close();
  await Promise.all(servers.map((s) => new Promise((resolve) => s.close(resolve))));
});

// Guards against starvation: with fewer sockets than workers, the workers that connected first kept their connections, and
// all others were refused forever.
test('server: with more clients than sockets, connections close after their responses and all clients are served', async () => {
  const MAX_CONNECTIONS = 10;
  const CLIENT_COUNT = 25;
  const server = await startHttpServer(
    '127.0.0.1:0',
    MAX_CONNECTIONS,
    (_request, respond) => setImmediate(() => respond({ status: 200, body: '{}' })),
    systemClock,
    pino({ level: 'silent' }),
  );
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const clients = Array.from({ length: CLIENT_COUNT }, () => new SocketHttpClient(systemClock, 1));
  const responseCounts = new Map<SocketHttpClient, number>();
  for (let round = 0; round < 4; round++)
    for (const client of clients) {
      const response = await client.call(address, 'GET', '/x', undefined, 2000).catch(() => undefined);
      if (response) responseCounts.set(client, (responseCounts.get(client) ?? 0) + 1);
    }
  for (const client of clients) client.close();
  server.close();
  assert.deepEqual(new Set(responseCounts.values()), new Set([4]));
  assert.equal(responseCounts.size, CLIENT_COUNT);
});
