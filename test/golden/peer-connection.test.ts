/** Golden form of the first frame of a connection between controllers, tested on real sockets. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { pino } from 'pino';
import type { Clock } from '@pumicehinge/runtime';
import { MAX_PEER_FRAME_BYTES } from '../../src/constants.js';
import type { PeerMessage } from '../../src/peers/peer-messages.js';
import { TcpPeerTransport } from '../../src/peers/peer-transport.js';
import { GoldenForms, readForms } from './golden-forms.js';

const forms = new GoldenForms('peer-connection');
const LOOPBACK_ADDRESS = '127.0.0.1';
const TEST_OPTIONS = { timeout: 20_000 };
const STATUS_MESSAGE: PeerMessage = { kind: 'status', isEligible: true, relayTarget: 'hearth-1' };

/** A clock whose timers never fire, so that heartbeats are not repeated and no timer keeps the process alive after a test. */
const STOPPED_CLOCK: Clock = { steadyMs: () => 0, wallMs: () => 0, setTimer: () => () => undefined };

const frameForms = readForms(new URL('./forms/peer-frames.json', import.meta.url));

/** Returns a frame in hex from the golden forms of frames. */
function getFrame(name: string): string {
  const hex = frameForms[name];
  assert.ok(hex !== undefined, `no frame is named "${name}"`);
  return hex;
}

async function listenOnFreePort(server: Server): Promise<number> {
  server.listen(0, LOOPBACK_ADDRESS);
  await once(server, 'listening');
  return (server.address() as AddressInfo).port;
}

async function findFreePort(): Promise<number> {
  const server = createServer();
  const port = await listenOnFreePort(server);
  server.close();
  await once(server, 'close');
  return port;
}

/** Waits until a condition is met, and fails after about 5 seconds. */
async function waitUntil(isMet: () => boolean): Promise<void> {
  for (let attempt = 0; attempt < 500; attempt++) {
    if (isMet()) return;
    await pause(10);
  }
  assert.fail('the condition was not met in time');
}

/**
 * Starts the transport of the controller hearth-0 on real sockets. The test plays its only peer, hearth-1. `observed` holds
 * the bytes that the peer received and the messages that the transport delivered.
 */
async function connectTransport(context: TestContext) {
  const sockets: Socket[] = [];
  const observed = { receivedHex: '', deliveredMessages: [] as [member: string, message: PeerMessage][] };
  const trackSocket = (socket: Socket): Socket => {
    sockets.push(socket);
    return socket.on('error', () => undefined);
  };
  const peerServer = createServer((socket) =>
    trackSocket(socket).on('data', (data: Buffer) => (observed.receivedHex += data.toString('hex'))),
  );
  const address = `${LOOPBACK_ADDRESS}:${await listenOnFreePort(peerServer)}`;
  const peers = [{ member: 'hearth-1', zone: 'a', address }];
  const transport = new TcpPeerTransport({
    member: 'hearth-0',
    peers,
    maxBufferedBytes: MAX_PEER_FRAME_BYTES,
    clock: STOPPED_CLOCK,
    log: pino({ level: 'silent' }),
  });
  transport.onMessage((member, message) => observed.deliveredMessages.push([member, message]));
  const port = await findFreePort();
  await transport.listen(`${LOOPBACK_ADDRESS}:${port}`);
  const socketToTransport = trackSocket(connect({ host: LOOPBACK_ADDRESS, port }));
  context.after(() => {
    transport.close();
    peerServer.close();
    for (const socket of sockets) socket.destroy();
  });
  return { transport, observed, socketToTransport };
}

test(
  'a connection starts with the name of the controller and a heartbeat, followed by other messages',
  TEST_OPTIONS,
  async (context) => {
    const { transport, observed } = await connectTransport(context);
    await waitUntil(() => transport.send('hearth-1', STATUS_MESSAGE));
    await waitUntil(() => observed.receivedHex.endsWith(getFrame('able, relays')));
    const [nameFrame, ...laterFrames] = observed.receivedHex.split(getFrame('beat'));
    forms.check('name of the controller', nameFrame!);
    assert.deepEqual(laterFrames, [getFrame('able, relays')]);
  },
);

const toHex = (text: string): string => Buffer.from(text).toString('hex');

test('messages of a peer are delivered after it has sent its name', TEST_OPTIONS, async (context) => {
  const { observed, socketToTransport } = await connectTransport(context);
  const nameFrame = forms.getText('name of the controller').replace(toHex('hearth-0'), toHex('hearth-1'));
  socketToTransport.write(
    Buffer.from(nameFrame + getFrame('foreign: unknown kind') + getFrame('able, relays'), 'hex'),
  );
  await waitUntil(() => observed.deliveredMessages.length > 0);
  assert.deepEqual(observed.deliveredMessages, [['hearth-1', STATUS_MESSAGE]]);
});

test(
  'a connection from a controller that is not a peer is closed, and its messages are dropped',
  TEST_OPTIONS,
  async (context) => {
    const { observed, socketToTransport } = await connectTransport(context);
    const closeEvent = once(socketToTransport, 'close');
    socketToTransport.resume();
    // The controller's own name is not the name of a peer.
    socketToTransport.write(Buffer.from(forms.getText('name of the controller') + getFrame('beat'), 'hex'));
    await closeEvent;
    assert.deepEqual(observed.deliveredMessages, []);
  },
);

forms.addCompletenessTest();
