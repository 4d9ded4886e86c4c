import { decodePeerMessage, encodePeerMessage } from '../../src/peers/peer-codec.js';
import type { PeerMessage } from '../../src/peers/peer-messages.js';
import { encodeFrame, FrameReader } from '../../src/peers/peer-frames.js';
import type { ControllerHarness } from './controller-harness.js';

/** Converts messages between controllers to frames in hex and back, for all golden tests. */

/** Encodes a message as a controller sends it. */
export function encodeFrameHex(message: PeerMessage): string {
  return encodeFrame(encodePeerMessage(message)).toString('hex');
}

/** Encodes a message that is given in the wire format, as another version may send it. */
export function encodeRawFrameHex(message: unknown): string {
  return encodeFrame(message).toString('hex');
}

/** Decodes one or more frames. The result contains undefined for each message that a controller ignores. */
export function decodeFramesHex(hex: string): (PeerMessage | undefined)[] {
  return new FrameReader().feed(Buffer.from(hex, 'hex')).map(decodePeerMessage);
}

/** Decodes the messages that a controller sent to one peer, starting with the frame of the given index. */
export function findMessagesTo(
  harness: ControllerHarness,
  member: string,
  firstFrameIndex = 0,
): PeerMessage[] {
  const addressedFrames = harness.sentFrames
    .slice(firstFrameIndex)
    .map((line) => line.split(' ') as [recipient: string, hex: string]);
  return addressedFrames
    .filter(([recipient]) => recipient === member)
    .flatMap(([, hex]) => decodeFramesHex(hex))
    .filter((message) => message !== undefined);
}
