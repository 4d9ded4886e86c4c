/**
 * Framing of the messages between controllers. A frame consists of the length of its body, as a big-endian integer of four
 * bytes, and the body, which is the message packed by msgpackr.
 */
import type { Writable } from 'node:stream';
import { pack, unpack } from 'msgpackr';
import { MAX_PEER_FRAME_BYTES } from '../constants.js';
import { MalformedPeerFrameError, PeerFrameTooLargeError } from './peer-errors.js';

const LENGTH_PREFIX_BYTES = 4;

/** Packs a message, which is already encoded in the wire format, into a frame. */
export function encodeFrame(message: unknown): Buffer {
  const body = pack(message);
  const frame = Buffer.allocUnsafe(LENGTH_PREFIX_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  frame.set(body, LENGTH_PREFIX_BYTES);
  return frame;
}

/** Collects bytes as they arrive and splits them into messages. */
export class FrameReader {
  private buffer: Buffer = Buffer.alloc(0);

  /**
   * Returns the unpacked messages that `chunk` completes.
   *
   * @throws PeerFrameTooLargeError if the body of a frame exceeds the size limit
   * @throws MalformedPeerFrameError if the body of a frame cannot be unpacked
   */
  feed(chunk: Buffer): unknown[] {
    this.buffer = this.buffer.length === 0 ? chunk : Buffer.concat([this.buffer, chunk]);
    const messages: unknown[] = [];
    let offset = 0;
    while (this.buffer.length - offset >= LENGTH_PREFIX_BYTES) {
      const length = this.buffer.readUInt32BE(offset);
      if (length > MAX_PEER_FRAME_BYTES) throw new PeerFrameTooLargeError(length, MAX_PEER_FRAME_BYTES);
      const end = offset + LENGTH_PREFIX_BYTES + length;
      if (this.buffer.length < end) break;
      messages.push(unpackBody(this.buffer.subarray(offset + LENGTH_PREFIX_BYTES, end)));
      offset = end;
    }
    this.buffer = this.buffer.subarray(offset);
    return messages;
  }
}

function unpackBody(body: Buffer): unknown {
  try {
    return unpack(body);
  } catch (error) {
    throw new MalformedPeerFrameError(error);
  }
}

/**
 * Sends messages to one peer. All messages of one turn of the event loop are sent in a single write. Otherwise, each of
 * hundreds of relayed heartbeats per second would cost a system call and a packet in both directions.
 */
export class FrameSender {
  private pendingFrames: Buffer[] = [];
  private pendingBytes = 0;

  constructor(
    private readonly socket: Writable,
    /** Number of unsent bytes from which on further messages are dropped. */
    private readonly maxBufferedBytes: number,
  ) {}

  /**
   * Sends a message that is already encoded in the wire format. If the peer reads too slowly, the message is dropped and the
   * result is false, so that the buffer does not grow without bound. Every message is repeated anyway.
   */
  send(message: unknown): boolean {
    if (this.socket.writableLength + this.pendingBytes >= this.maxBufferedBytes) return false;
    const frame = encodeFrame(message);
    if (this.pendingFrames.length === 0) setImmediate(() => this.flush());
    this.pendingFrames.push(frame);
    this.pendingBytes += frame.length;
    return true;
  }

  private flush(): void {
    const frames = this.pendingFrames;
    this.pendingFrames = [];
    this.pendingBytes = 0;
    if (this.socket.destroyed) return;
    const [firstFrame] = frames;
    this.socket.write(frames.length === 1 && firstFrame ? firstFrame : Buffer.concat(frames));
  }
}
