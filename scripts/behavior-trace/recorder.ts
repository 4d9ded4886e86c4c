/** Turns the messages of one simulated run into lines and a digest over them. */
import { createHash, type Hash } from 'node:crypto';
import type { Clock } from '@pumicehinge/runtime';
import { encodeFrame } from '../../src/peers/peer-frames.js';
import { encodePeerMessage } from '../../src/peers/peer-codec.js';
import type { PeerMessage } from '../../src/peers/peer-messages.js';
import type { ObservedRequest, TrafficObserver } from '../../src/simulation/traffic-observer.js';

/** Number of messages between two checkpoints. A comparison locates a difference to within this many messages. */
export const CHECKPOINT_MESSAGES = 256;

/** Hexadecimal digits kept of each checkpoint. They suffice to tell that something changed, and where. */
const CHECKPOINT_DIGITS = 8;

/** The digests of one run. */
export interface Recording {
  /** SHA-256 over all lines. */
  readonly digest: string;
  readonly messages: number;
  /** Shortened digests, one after every CHECKPOINT_MESSAGES messages. */
  readonly checkpoints: readonly string[];
}

/** Records every message of a simulated deployment with its time, in the order of events. */
export class TrafficRecorder implements TrafficObserver {
  private readonly hash: Hash = createHash('sha256');
  private readonly checkpoints: string[] = [];
  private messages = 0;

  constructor(
    private readonly clock: Clock,
    /** Receives every recorded line, without a line break. */
    private readonly onLine: (line: string) => void = () => undefined,
  ) {}

  requestSent(request: ObservedRequest): void {
    this.record(`sent ${describe(request)}`);
  }

  requestArrived(request: ObservedRequest): void {
    this.record(`arrived ${describe(request)}`);
  }

  responseArrived(request: ObservedRequest, status: number, body: string): void {
    this.record(`answered ${request.to} > ${request.from} ${request.target} ${status} ${body}`);
  }

  callFailed(request: ObservedRequest, reason: string): void {
    this.record(`failed ${describe(request)} ${reason}`);
  }

  peerMessageSent(from: string, to: string, message: PeerMessage): void {
    this.record(`peer ${from} > ${to} ${encodeFrame(encodePeerMessage(message)).toString('hex')}`);
  }

  /** Ends the recording and returns its digests. */
  finish(): Recording {
    return { digest: this.hash.digest('hex'), messages: this.messages, checkpoints: this.checkpoints };
  }

  private record(event: string): void {
    const line = `${this.clock.steadyMs()} ${event}`;
    this.hash.update(line);
    this.hash.update('\n');
    this.onLine(line);
    this.messages++;
    if (this.messages % CHECKPOINT_MESSAGES === 0)
      this.checkpoints.push(this.hash.copy().digest('hex').slice(0, CHECKPOINT_DIGITS));
  }
}

function describe({ from, to, method, target, body }: ObservedRequest): string {
  return `${from} > ${to} ${method} ${target} ${body ?? ''}`;
}
