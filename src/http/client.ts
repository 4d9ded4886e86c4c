/** HTTP client with pooled connections over TCP sockets. */
import { Socket } from 'node:net';
import type { Clock } from '@pumicehinge/runtime';
import {
  MAX_RESPONSE_BYTES,
  POOL_IDLE_TIMEOUT_MS,
  MAX_POOL_QUEUE_CALLS,
  MAX_POOL_CONNECTIONS,
} from '../constants.js';
import {
  ResponseTooLargeError,
  HttpCallError,
  type HttpCallFailure,
  type HttpClient,
  type HttpResponse,
} from './message.js';
import { HttpParser, HttpSyntaxError } from './parser.js';
import { splitAddress } from './server.js';

/** A call that waits for a connection or for its response. */
interface PendingCall {
  requestText: string;
  resolve: (response: HttpResponse) => void;
  reject: (error: HttpCallError) => void;
  /** Whether the request was written to a socket. */
  isSent: boolean;
  /** Whether the call was resolved or rejected. */
  isSettled: boolean;
  cancelTimer: () => void;
}

const determineFailure = (call: PendingCall): HttpCallFailure => (call.isSent ? 'unclear' : 'unsent');

/** A kept-alive connection that carries one call at a time. */
class ClientConnection {
  private readonly parser: HttpParser;
  private readonly socket = new Socket();
  private call: PendingCall | undefined;
  private isConnected = false;
  idleSinceMs = 0;

  constructor(
    address: string,
    maxResponseBytes: number,
    /** Called after each response, and at least once when the connection fails, is closed or is evicted. */
    private readonly onReleased: (connection: ClientConnection, isReusable: boolean) => void,
  ) {
    this.parser = new HttpParser('response', maxResponseBytes);
    const { host, port } = splitAddress(address);
    this.socket.setNoDelay(true);
    this.socket.on('connect', () => {
      this.isConnected = true;
      if (this.call) this.write(this.call);
    });
    this.socket.on('data', (data: Buffer) => this.onData(data));
    this.socket.on('error', (error) => this.fail(error.message));
    this.socket.on('close', () => this.fail('connection closed'));
    this.socket.connect({ host, port });
  }

  send(call: PendingCall): void {
    this.call = call;
    if (this.isConnected) this.write(call);
  }

  close(): void {
    this.socket.destroy();
  }

  /**
   * Closes the connection to make room for another one. Its pool removes it at once instead of waiting for the socket's `close`
   * event.
   */
  evict(): void {
    this.onReleased(this, false);
    this.socket.destroy();
  }

  private write(call: PendingCall): void {
    call.isSent = true;
    this.socket.write(call.requestText);
  }

  private onData(data: Buffer): void {
    let messages;
    try {
      messages = this.parser.feed(data);
    } catch (error) {
      const isTooLarge = error instanceof HttpSyntaxError && error.status === 413;
      this.fail(String(error), isTooLarge);
      return;
    }
    const message = messages[0];
    if (!message) return;
    const call = this.call;
    this.call = undefined;
    if (!call || messages.length > 1) {
      this.fail('received more responses than requests');
      return;
    }
    call.resolve({ status: Number(message.startLine.slice(9, 12)), body: message.body.toString('utf8') });
    if (!message.keepAlive) this.socket.destroy();
    this.onReleased(this, message.keepAlive);
  }

  private fail(reason: string, isTooLarge = false): void {
    const call = this.call;
    this.call = undefined;
    this.socket.destroy();
    call?.reject(
      isTooLarge ? new ResponseTooLargeError(reason) : new HttpCallError(determineFailure(call), reason),
    );
    this.onReleased(this, false);
  }
}

/** Limits the number of open connections in all pools together to `maxOpen`. */
class ConnectionBudget {
  /** Ordered by idle time, longest first. */
  private readonly idleConnections = new Set<ClientConnection>();
  private openCount = 0;

  constructor(private readonly maxOpen: number) {}

  /**
   * Reserves a place for one more connection. At the limit, the connection that has been idle longest is closed for it.
   * Returns false if all connections are in use.
   */
  tryReserve(): boolean {
    if (this.openCount >= this.maxOpen) {
      const [oldest] = this.idleConnections;
      if (!oldest) return false;
      oldest.evict();
    }
    this.openCount++;
    return true;
  }

  markIdle(connection: ClientConnection): void {
    this.idleConnections.add(connection);
  }

  markInUse(connection: ClientConnection): void {
    this.idleConnections.delete(connection);
  }

  release(connection: ClientConnection): void {
    this.idleConnections.delete(connection);
    this.openCount--;
  }
}

/** The connections to one address and the calls that wait for one of them. */
class ConnectionPool {
  private readonly idleConnections: ClientConnection[] = [];
  private readonly connections = new Set<ClientConnection>();
  private readonly queuedCalls: PendingCall[] = [];

  constructor(
    private readonly address: string,
    private readonly clock: Clock,
    private readonly maxConnections: number,
    private readonly budget: ConnectionBudget,
    private readonly maxResponseBytes: number,
  ) {}

  submit(call: PendingCall): void {
    if (this.queuedCalls.length >= MAX_POOL_QUEUE_CALLS) {
      call.reject(new HttpCallError('unsent', 'too many queued calls'));
      return;
    }
    this.queuedCalls.push(call);
    this.dispatch();
  }

  get isUnused(): boolean {
    return this.connections.size === 0 && this.queuedCalls.length === 0;
  }

  close(): void {
    for (const connection of this.connections) connection.close();
  }

  /** Closes the connections that have been idle for longer than `POOL_IDLE_TIMEOUT_MS`. */
  closeIdleConnections(nowMs: number): void {
    // Each connection is removed from the list here because the `close` event of its socket comes only after this loop.
    while (
      this.idleConnections.length > 0 &&
      nowMs - this.idleConnections[0]!.idleSinceMs > POOL_IDLE_TIMEOUT_MS
    )
      this.idleConnections.shift()!.close();
  }

  private dispatch(): void {
    while (this.queuedCalls.length > 0) {
      if (this.queuedCalls[0]!.isSettled) {
        this.queuedCalls.shift();
        continue;
      }
      const connection = this.idleConnections.pop() ?? this.openConnection();
      if (!connection) {
        // Without a connection in this pool, no event would dispatch these calls later, so they are rejected now.
        if (this.connections.size === 0) this.rejectQueuedCalls();
        return;
      }
      this.budget.markInUse(connection);
      const call = this.queuedCalls.shift()!;
      const rejectCall = call.reject;
      // A call that timed out leaves its connection in an unknown state, so the connection is closed when its call is rejected.
      call.reject = (error) => {
        rejectCall(error);
        connection.close();
      };
      connection.send(call);
    }
  }

  private rejectQueuedCalls(): void {
    for (const call of this.queuedCalls.splice(0))
      call.reject(new HttpCallError('unsent', 'connection limit reached'));
  }

  private openConnection(): ClientConnection | undefined {
    if (this.connections.size >= this.maxConnections || !this.budget.tryReserve()) return undefined;
    const connection = new ClientConnection(
      this.address,
      this.maxResponseBytes,
      (releasedConnection, isReusable) => {
        if (isReusable) {
          releasedConnection.idleSinceMs = this.clock.steadyMs();
          this.idleConnections.push(releasedConnection);
          this.budget.markIdle(releasedConnection);
        } else {
          if (this.connections.delete(releasedConnection)) this.budget.release(releasedConnection);
          const index = this.idleConnections.indexOf(releasedConnection);
          if (index >= 0) this.idleConnections.splice(index, 1);
        }
        this.dispatch();
      },
    );
    this.connections.add(connection);
    return connection;
  }
}

/** HTTP client with a bounded pool of connections per address and a timeout per call. */
export class SocketHttpClient implements HttpClient {
  private readonly pools = new Map<string, ConnectionPool>();
  private cancelIdleSweep = (): void => undefined;
  private readonly budget: ConnectionBudget;

  constructor(
    private readonly clock: Clock,
    /** Limit of the open connections to one address. */
    private readonly maxConnectionsPerAddress: number = MAX_POOL_CONNECTIONS,
    /** Limit of the open connections to all addresses together. */
    maxConnections = Infinity,
    /** Size limit of one response body, in bytes. */
    private readonly maxResponseBytes: number = MAX_RESPONSE_BYTES,
  ) {
    this.budget = new ConnectionBudget(maxConnections);
    this.scheduleIdleSweep();
  }

  /**
   * Sends a request and resolves with its response. Rejects with an `HttpCallError` if the connection fails, the response is
   * malformed or too large, the timeout expires, too many calls wait for a connection, or no connection may be opened for them.
   */
  call(
    address: string,
    method: string,
    target: string,
    body: string | undefined,
    timeoutMs: number,
  ): Promise<HttpResponse> {
    return new Promise((resolve, reject) => {
      const head = `${method} ${target} HTTP/1.1\r\nHost: ${address}\r\n`;
      const requestText =
        body === undefined
          ? `${head}\r\n`
          : `${head}Content-Type: application/json\r\nContent-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;
      const call: PendingCall = {
        requestText,
        isSent: false,
        isSettled: false,
        cancelTimer: () => undefined,
        resolve: (response) => {
          if (call.isSettled) return;
          call.isSettled = true;
          call.cancelTimer();
          resolve(response);
        },
        reject: (error) => {
          if (call.isSettled) return;
          call.isSettled = true;
          call.cancelTimer();
          reject(error);
        },
      };
      call.cancelTimer = this.clock.setTimer(timeoutMs, () =>
        call.reject(new HttpCallError(determineFailure(call), 'timed out')),
      );
      let pool = this.pools.get(address);
      if (!pool)
        this.pools.set(
          address,
          (pool = new ConnectionPool(
            address,
            this.clock,
            this.maxConnectionsPerAddress,
            this.budget,
            this.maxResponseBytes,
          )),
        );
      pool.submit(call);
    });
  }

  /** Closes every connection. Calls that wait for a response fail. */
  close(): void {
    this.cancelIdleSweep();
    for (const pool of this.pools.values()) pool.close();
  }

  /** Closes idle connections and removes unused pools at regular intervals. */
  private scheduleIdleSweep(): void {
    this.cancelIdleSweep = this.clock.setTimer(POOL_IDLE_TIMEOUT_MS / 2, () => {
      const nowMs = this.clock.steadyMs();
      for (const [address, pool] of this.pools) {
        pool.closeIdleConnections(nowMs);
        if (pool.isUnused) this.pools.delete(address);
      }
      this.scheduleIdleSweep();
    });
  }
}
