import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import { setImmediate } from 'node:timers/promises';
import test from 'node:test';
import { pino } from 'pino';
import type { Clock } from '@pumicehinge/runtime';
import { MAX_PEER_FRAME_BYTES, PEER_RECONNECT_DELAY_MS } from '../../src/constants.js';
import { TcpPeerTransport } from '../../src/peers/peer-transport.js';

// Guards against redialing, without a pause, a host that closes each connection at once. Such redialing took half of a
// process's time.
test('a peer is dialed again at once after a stable connection, and after a pause otherwise', async () => {
  for (const [connectionMs, expectedDelayMs] of [
    [0, PEER_RECONNECT_DELAY_MS],
    [PEER_RECONNECT_DELAY_MS - 1, PEER_RECONNECT_DELAY_MS],
    [PEER_RECONNECT_DELAY_MS, 0],
  ] as const) {
    let nowMs = 0;
    const redialDelaysMs: number[] = [];
    const clock: Clock = {
      steadyMs: () => nowMs,
      wallMs: () => nowMs,
      setTimer: (ms, run) => {
        if (/dial/.test(run.toString())) redialDelaysMs.push(ms);
        return () => undefined;
      },
    };
    const server = createServer((socket) => {
      socket.on('data', () => {
        nowMs = connectionMs;
        socket.destroy();
      });
    }).listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    const peer = { member: 'b', zone: 'z', address: `127.0.0.1:${port}` };
    const transport = new TcpPeerTransport({
      member: 'a',
      peers: [peer],
      maxBufferedBytes: MAX_PEER_FRAME_BYTES,
      clock,
      log: pino({ level: 'silent' }),
    });
    await transport.listen('127.0.0.1:0');
    while (redialDelaysMs.length === 0) await setImmediate();
    assert.deepEqual(redialDelaysMs, [expectedDelayMs], `connection of ${connectionMs} ms`);
    transport.close();
    server.close();
  }
});
