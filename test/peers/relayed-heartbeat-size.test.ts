import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MAX_HEARTBEAT_BYTES, RELAY_ID_RANGE } from '../../src/constants.js';
import { encodePeerMessage } from '../../src/peers/peer-codec.js';
import { encodeFrame, FrameReader } from '../../src/peers/peer-frames.js';

// A frame beyond its limit would end the connection between two controllers, again and again.
test('the largest heartbeat that is accepted can be relayed', () => {
  const body = 'x'.repeat(MAX_HEARTBEAT_BYTES);
  const frame = encodeFrame(encodePeerMessage({ kind: 'relay', id: RELAY_ID_RANGE, body }));
  assert.equal(new FrameReader().feed(frame).length, 1);
});
