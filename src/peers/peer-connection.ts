/** The outgoing connection of this controller to one peer, which is dialed again whenever it is lost. */
import { Socket } from 'node:net';
import type { Clock } from '@pumicehinge/runtime';
import { PEER_HEARTBEAT_INTERVAL_MS, PEER_IDLE_TIMEOUT_MS, PEER_RECONNECT_DELAY_MS } from '../constants.js';
import { splitAddress } from '../http/server.js';
import { encodePeerMessage } from './peer-codec.js';
import { encodeFrame, FrameSender } from './peer-frames.js';

/** Settings and dependencies of `PeerConnection`. */
export interface PeerConnectionOptions {
  /** Name of this controller, which is sent at the start of each connection. */
  readonly ownMember: string;
  /** Host and port on which the peer listens. */
  readonly peerAddress: string;
  /** Number of unsent bytes from which on further messages are dropped. */
  readonly maxBufferedBytes: number;
  readonly clock: Clock;
}

/** The state of one socket from the time it is dialed until it is closed. */
interface SocketSession {
  readonly socket: Socket;
  readonly sender: FrameSender;
  /** Time on the steady clock, in milliseconds, at which the socket was connected. Undefined before that. */
  connectedAtMs: number | undefined;
  /** Cancels the timer of the next heartbeat. */
  stopHeartbeats: () => void;
}

/** Sends messages to one peer over a connection that is dialed again whenever it is lost. */
export class PeerConnection {
  private sender: FrameSender | undefined;
  private wasRefused = false;

  constructor(private readonly options: PeerConnectionOptions) {}

  /** Whether the peer's host refused the most recent attempt to connect that did not time out. */
  get isRefused(): boolean {
    return this.wasRefused;
  }

  /** Sends a message that is already encoded in the wire format. Returns false if the message was dropped. */
  send(message: unknown): boolean {
    return this.sender?.send(message) ?? false;
  }

  /** Opens the connection. Call this once; a lost connection is dialed again automatically. */
  dial(): void {
    const { peerAddress, maxBufferedBytes, clock } = this.options;
    const { host, port } = splitAddress(peerAddress);
    const socket = new Socket();
    const sender = new FrameSender(socket, maxBufferedBytes);
    const session: SocketSession = {
      socket,
      sender,
      connectedAtMs: undefined,
      stopHeartbeats: () => undefined,
    };
    const cancelTimeout = clock.setTimer(PEER_IDLE_TIMEOUT_MS, () => socket.destroy());
    socket.setNoDelay(true);
    socket.on('error', (error: NodeJS.ErrnoException) => {
      this.wasRefused = error.code === 'ECONNREFUSED';
      socket.destroy();
    });
    // The peer sends no data on this connection. It is read all the same, because the socket would otherwise not report that
    // the peer has closed it.
    socket.on('data', () => undefined);
    socket.on('connect', () => {
      cancelTimeout();
      this.onConnected(session);
    });
    socket.on('close', () => {
      cancelTimeout();
      this.onClosed(session);
    });
    socket.connect({ host, port });
  }

  private onConnected(session: SocketSession): void {
    session.connectedAtMs = this.options.clock.steadyMs();
    this.wasRefused = false;
    session.socket.write(encodeFrame({ member: this.options.ownMember }));
    this.sender = session.sender;
    this.sendHeartbeats(session);
  }

  private sendHeartbeats(session: SocketSession): void {
    this.send(encodePeerMessage({ kind: 'heartbeat' }));
    session.stopHeartbeats = this.options.clock.setTimer(PEER_HEARTBEAT_INTERVAL_MS, () =>
      this.sendHeartbeats(session),
    );
  }

  /**
   * Dials the peer again. After a stable connection this happens at once, because the outcome distinguishes a packet filter,
   * which refuses the connection, from a network partition. Otherwise there is a pause. Without the pause, a peer that closes
   * each connection immediately (another program, or a host without free sockets) would keep this controller busy.
   */
  private onClosed(session: SocketSession): void {
    const { clock } = this.options;
    session.stopHeartbeats();
    const wasConnected = this.sender === session.sender;
    if (wasConnected) this.sender = undefined;
    const wasStable =
      wasConnected &&
      session.connectedAtMs !== undefined &&
      clock.steadyMs() - session.connectedAtMs >= PEER_RECONNECT_DELAY_MS;
    clock.setTimer(wasStable ? 0 : PEER_RECONNECT_DELAY_MS, () => this.dial());
  }
}
