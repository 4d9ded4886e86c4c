/** The transport of messages between controllers: its interface and the implementation over TCP. */
import { createServer, type Server, type Socket } from 'node:net';
import type { Logger } from 'pino';
import type { Clock } from '@pumicehinge/runtime';
import { PEER_IDLE_TIMEOUT_MS } from '../constants.js';
import { splitAddress } from '../http/server.js';
import { isJsonObject } from '../wire/json.js';
import { decodePeerMessage, encodePeerMessage } from './peer-codec.js';
import { PeerConnection } from './peer-connection.js';
import { UnknownPeerError } from './peer-errors.js';
import { FrameReader } from './peer-frames.js';
import type { PeerMessage } from './peer-messages.js';

/** Another controller, as configured in the settings. */
export interface Peer {
  /** Name of the controller. */
  readonly member: string;
  /** Zone of the controller. */
  readonly zone: string;
  /** Host and port on which the controller listens for peers. */
  readonly address: string;
}

/** Receives a message and the name of the controller that sent it. */
export type PeerMessageListener = (member: string, message: PeerMessage) => void;

/** The transport to the other controllers. The service uses TCP, and tests use a simulated transport. */
export interface PeerTransport {
  /** Sends a message. Returns false if it was dropped because the peer is not connected or reads too slowly. */
  send(member: string, message: PeerMessage): boolean;
  /** Returns whether the peer's host is reachable but refuses connections, so that there is no network partition. */
  refusesConnections(member: string): boolean;
  /** Adds a listener; listeners are called in the order in which they were added. */
  onMessage(listener: PeerMessageListener): void;
}

/** Settings and dependencies of `TcpPeerTransport`. */
export interface TcpPeerTransportOptions {
  /** Name of this controller. */
  readonly member: string;
  readonly peers: readonly Peer[];
  /** Number of unsent bytes per peer from which on further messages to the peer are dropped. */
  readonly maxBufferedBytes: number;
  readonly clock: Clock;
  readonly log: Logger;
}

/**
 * The transport over TCP. Each controller dials every other controller and sends on the connections that it dialed. A message
 * that cannot be sent or buffered is dropped, because every message is repeated.
 */
export class TcpPeerTransport implements PeerTransport {
  private readonly connections = new Map<string, PeerConnection>();
  private readonly listeners: PeerMessageListener[] = [];
  private server: Server | undefined;

  constructor(private readonly options: TcpPeerTransportOptions) {}

  /** Adds a listener; listeners are called in the order in which they were added. */
  onMessage(listener: PeerMessageListener): void {
    this.listeners.push(listener);
  }

  /** Returns whether the peer's host refused the most recent attempt to connect that did not time out. */
  refusesConnections(member: string): boolean {
    return this.connections.get(member)?.isRefused ?? false;
  }

  /** Sends a message. Returns false if it was dropped because the peer is not connected or reads too slowly. */
  send(member: string, message: PeerMessage): boolean {
    return this.connections.get(member)?.send(encodePeerMessage(message)) ?? false;
  }

  /** Listens on a host and port and starts to dial the peers. Rejects if the port cannot be opened. */
  listen(address: string): Promise<void> {
    const { host, port } = splitAddress(address);
    const server = (this.server = createServer((socket) => this.acceptConnection(socket)));
    for (const peer of this.options.peers) this.connectTo(peer);
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen({ host, port }, resolve);
    });
  }

  /** Stops accepting connections. Open connections stay open. */
  close(): void {
    this.server?.close();
  }

  private connectTo(peer: Peer): void {
    const { member, maxBufferedBytes, clock } = this.options;
    const connection = new PeerConnection({
      ownMember: member,
      peerAddress: peer.address,
      maxBufferedBytes,
      clock,
    });
    this.connections.set(peer.member, connection);
    connection.dial();
  }

  private acceptConnection(socket: Socket): void {
    const frameReader = new FrameReader();
    let peerName: string | undefined;
    socket.setNoDelay(true);
    socket.setTimeout(PEER_IDLE_TIMEOUT_MS, () => socket.destroy());
    socket.on('error', () => socket.destroy());
    socket.on('data', (data: Buffer) => {
      try {
        for (const wireMessage of frameReader.feed(data)) {
          if (peerName === undefined) peerName = this.readPeerName(wireMessage);
          else this.receiveMessage(peerName, wireMessage);
        }
      } catch (error) {
        this.options.log.error({ err: error }, 'invalid data received from a peer; connection closed');
        socket.destroy();
      }
    });
  }

  /** Reads the first message of a connection, which contains the name of the peer. */
  private readPeerName(wireMessage: unknown): string {
    const name = isJsonObject(wireMessage) ? wireMessage.member : undefined;
    const peer = this.options.peers.find(({ member }) => member === name);
    if (!peer) throw new UnknownPeerError(name);
    return peer.member;
  }

  private receiveMessage(member: string, wireMessage: unknown): void {
    const message = decodePeerMessage(wireMessage);
    if (message) for (const listener of this.listeners) listener(member, message);
    else this.options.log.debug({ member }, 'unknown message from a peer ignored');
  }
}
