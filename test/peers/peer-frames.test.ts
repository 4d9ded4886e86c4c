import assert from 'node:assert/strict';
import { PassThrough, Writable } from 'node:stream';
import { setImmediate } from 'node:timers/promises';
import test from 'node:test';
import { MAX_PEER_FRAME_BYTES } from '../../src/constants.js';
import { MalformedPeerFrameError, PeerFrameTooLargeError } from '../../src/peers/peer-errors.js';
import { encodeFrame, FrameReader, FrameSender } from '../../src/peers/peer-frames.js';

// Guards against a system call and a packet for each of hundreds of relayed heartbeats per second. The test counts writes and
// does not depend on time.
test('messages sent in one turn of the event loop are sent in a single write, complete and in order', async () => {
  const socket = new PassThrough();
  const writtenChunks: Buffer[] = [];
  socket.on('data', (chunk: Buffer) => writtenChunks.push(chunk));
  const sender = new FrameSender(socket, MAX_PEER_FRAME_BYTES);
  const sentMessages = Array.from({ length: 300 }, (_, id) => ({
    kind: 'relay',
    id,
    body: `heartbeat ${id}`,
  }));
  for (const message of sentMessages) sender.send(message);
  await setImmediate();
  await setImmediate();
  assert.equal(writtenChunks.length, 1);
  assert.deepEqual(new FrameReader().feed(writtenChunks[0]!), sentMessages);
});

test('frames are read in whatever chunks their bytes arrive, and invalid frames are rejected', () => {
  const messages = [{ kind: 'beat' }, { kind: 'relayed', id: 7, status: 200, body: 'x'.repeat(500) }, 5];
  const bytes = Buffer.concat(messages.map(encodeFrame));
  for (const chunkSize of [1, 3, 4, 5, 64, bytes.length]) {
    const reader = new FrameReader();
    const readMessages: unknown[] = [];
    for (let start = 0; start < bytes.length; start += chunkSize)
      readMessages.push(...reader.feed(bytes.subarray(start, start + chunkSize)));
    assert.deepEqual(readMessages, messages, `chunks of ${chunkSize} bytes`);
  }
  const tooLarge = Buffer.alloc(4);
  tooLarge.writeUInt32BE(MAX_PEER_FRAME_BYTES + 1);
  assert.throws(() => new FrameReader().feed(tooLarge), /too large/);
  assert.throws(() => new FrameReader().feed(tooLarge), PeerFrameTooLargeError);
  // The body announces a list of two elements but contains only one.
  assert.throws(() => new FrameReader().feed(Buffer.from([0, 0, 0, 2, 0x92, 1])), MalformedPeerFrameError);
});

// Guards against a peer that does not read and thereby fills the memory of the sender.
test('the number of bytes buffered for a peer that does not read is bounded', async () => {
  const socket = new Writable({ write: () => undefined });
  const sender = new FrameSender(socket, MAX_PEER_FRAME_BYTES);
  const message = { body: 'x'.repeat(100_000) };
  const messagesPerRound = Math.ceil(MAX_PEER_FRAME_BYTES / 100_000) + 1;
  for (let round = 0; round < 3; round++) {
    for (let i = 0; i < messagesPerRound; i++) sender.send(message);
    await setImmediate();
  }
  assert.equal(sender.send(message), false, 'the caller learns that the message was dropped');
  const bufferedBytes = socket.writableLength;
  assert.ok(
    bufferedBytes > MAX_PEER_FRAME_BYTES / 2 && bufferedBytes < MAX_PEER_FRAME_BYTES + 2 * 100_100 + 200,
    String(bufferedBytes),
  );
});
