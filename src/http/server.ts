/** HTTP server with a limited number of connections. */
import { createServer, type Server, type Socket } from 'node:net';
import type { Logger } from 'pino';
import type { Clock } from '@pumicehinge/runtime';
import {
  SCARCE_SOCKETS_SHARE,
  IDLE_CONNECTION_TIMEOUT_MS,
  ABANDONED_CONNECTION_TIMEOUT_MS,
  MAX_BODY_BYTES,
  REQUEST_READ_TIMEOUT_MS,
} from '../constants.js';
import type { RequestHandler, HttpRequest, HttpResponse } from './message.js';
import { HttpParser, HttpSyntaxError, type BodyLimit, type RawMessage } from './parser.js';
import { RejectionLog } from './rejection-log.js';

/** Reason phrases by status code. */
const REASON_PHRASES: Record<number, string> = {
  200: 'OK',
  201: 'Created',
  400: 'Bad Request',
  404: 'Not Found',
  405: 'Method Not Allowed',
  409: 'Conflict',
  413: 'Content Too Large',
  421: 'Misdirected Request',
  422: 'Unprocessable Content',
  429: 'Too Many Requests',
  431: 'Request Header Fields Too Large',
  503: 'Service Unavailable',
};

/** Formats a response as HTTP/1.1 text. `keepAlive` is false if the connection is closed after it. */
export function formatResponse(response: HttpResponse, keepAlive: boolean): string {
  const retryAfterHeader =
    response.retryAfterS === undefined ? '' : `Retry-After: ${response.retryAfterS}\r\n`;
  const { contentType } = response;
  const contentTypeHeader =
    contentType === undefined ? 'Content-Type: application/json' : `Content-Type: ${contentType}`;
  return (
    `HTTP/1.1 ${response.status} ${REASON_PHRASES[response.status] ?? 'Status'}\r\n` +
    `${contentTypeHeader}\r\nContent-Length: ${Buffer.byteLength(response.body)}\r\n` +
    `${retryAfterHeader}${keepAlive ? '' : 'Connection: close\r\n'}\r\n${response.body}`
  );
}

function parseRequest(message: RawMessage): HttpRequest {
  const [method, target] = message.startLine.split(' ') as [string, string];
  const questionMarkIndex = target.indexOf('?');
  return {
    method,
    path: questionMarkIndex < 0 ? target : target.slice(0, questionMarkIndex),
    query: questionMarkIndex < 0 ? '' : target.slice(questionMarkIndex + 1),
    body: message.body.toString('utf8'),
  };
}

/**
 * An accepted connection. It handles one request at a time. Requests that have already been parsed wait in `pendingRequests`,
 * and later bytes wait in the socket.
 */
class ServerConnection {
  private readonly parser: HttpParser;
  private readonly pendingRequests: RawMessage[] = [];
  private isHandlingRequest = false;
  /** Whether the client has ended its side of the connection. */
  private isHalfClosed = false;
  /** When the client connected, the last request began to arrive or the last response was sent, on the steady clock. */
  private lastActivityMs: number;

  constructor(
    private readonly socket: Socket,
    private readonly handler: RequestHandler,
    private readonly clock: Clock,
    private readonly log: Logger,
    /** Called before each response is sent, so that the server keeps the connections in the order of their last use. */
    private readonly onResponse: () => void,
    /** Whether connections are scarce. If so, each one is closed after its response so that another client can connect. */
    private readonly areConnectionsScarce: () => boolean,
    getMaxBodyBytes: BodyLimit,
    private readonly rejectionLog: RejectionLog,
  ) {
    this.parser = new HttpParser('request', getMaxBodyBytes);
    this.lastActivityMs = clock.steadyMs();
    socket.setNoDelay(true);
    socket.on('data', (data: Buffer) => this.onData(data));
    socket.on('end', () => {
      // The request in progress is still answered. The socket is then closed, as it would otherwise stay open forever.
      this.isHalfClosed = true;
      if (!this.isHandlingRequest) socket.destroy();
    });
    socket.on('error', () => socket.destroy());
  }

  /** Whether the connection has been inactive for so long that the client most likely disappeared without closing it. */
  isAbandoned(nowMs: number): boolean {
    return !this.isHandlingRequest && nowMs - this.lastActivityMs > ABANDONED_CONNECTION_TIMEOUT_MS;
  }

  get isBusy(): boolean {
    return this.isHandlingRequest;
  }

  close(): void {
    this.socket.destroy();
  }

  /** Closes the connection if it is idle for too long or if a request does not arrive completely in time. */
  closeIfTimedOut(nowMs: number): void {
    if (this.isHandlingRequest) return;
    const timeoutMs = this.parser.isIdle ? IDLE_CONNECTION_TIMEOUT_MS : REQUEST_READ_TIMEOUT_MS;
    if (nowMs - this.lastActivityMs > timeoutMs) this.socket.destroy();
  }

  private onData(data: Buffer): void {
    // The later bytes of a request do not restart the timeout, so that a slow sender cannot hold a connection forever.
    if (this.parser.isIdle) this.lastActivityMs = this.clock.steadyMs();
    try {
      this.pendingRequests.push(...this.parser.feed(data));
    } catch (error) {
      const status = error instanceof HttpSyntaxError ? error.status : 400;
      this.rejectionLog.record(status, this.socket.remoteAddress, error);
      this.socket.end(formatResponse({ status, body: '{"error":"malformed"}' }, false));
      this.socket.removeAllListeners('data');
      this.socket.destroySoon();
      return;
    }
    // A client that sends more data while its request is handled could flood the server, so reading pauses until the response
    // is sent.
    if (this.isHandlingRequest) this.socket.pause();
    this.handleNextRequest();
  }

  private handleNextRequest(): void {
    if (this.isHandlingRequest) return;
    const message = this.pendingRequests.shift();
    if (!message) return;
    this.isHandlingRequest = true;
    let hasResponded = false;
    const respond = (response: HttpResponse): void => {
      if (hasResponded) return;
      hasResponded = true;
      this.isHandlingRequest = false;
      this.lastActivityMs = this.clock.steadyMs();
      if (this.socket.destroyed) return;
      this.onResponse();
      const keepAlive =
        message.keepAlive && response.closesConnection !== true && !this.areConnectionsScarce();
      this.socket.write(formatResponse(response, keepAlive));
      if (!keepAlive || this.isHalfClosed) {
        this.socket.end();
        return;
      }
      if (this.socket.isPaused()) this.socket.resume();
      this.handleNextRequest();
    };
    try {
      this.handler(parseRequest(message), respond);
    } catch (error) {
      this.log.error({ err: error }, 'request handler failed');
      respond({ status: 503, body: '{"error":"internal"}', retryAfterS: 1 });
    }
  }
}

/** Optional settings of an HTTP server. */
export interface HttpServerOptions {
  /** The largest body of each request. Defaults to the limit of the protocol. */
  readonly getMaxBodyBytes?: BodyLimit;
  /** Called with the status of each request that is rejected before the handler gets it. */
  readonly onRejected?: (status: number) => void;
}

/**
 * Listens on `address` ("ip:port") and passes each request to `handler`. Resolves when the server is listening. Connections
 * beyond `maxConnections` are closed at once unless an abandoned one can be closed instead.
 */
export function startHttpServer(
  address: string,
  maxConnections: number,
  handler: RequestHandler,
  clock: Clock,
  log: Logger,
  options: HttpServerOptions = {},
): Promise<Server> {
  const { getMaxBodyBytes = () => MAX_BODY_BYTES, onRejected = () => undefined } = options;
  const rejectionLog = new RejectionLog(clock, log, onRejected);
  const { host, port } = splitAddress(address);
  // Ordered by last use, longest unused first.
  const connections = new Map<Socket, ServerConnection>();
  // At the limit, an abandoned connection is closed for a new one. Hundreds of machines that were cut off from the network
  // leave their old connections half open, and these must lock out neither the machines nor the users.
  const evictAbandonedConnection = (): boolean => {
    for (const [socket, connection] of connections) {
      if (connection.isBusy) continue;
      if (!connection.isAbandoned(clock.steadyMs())) return false;
      connections.delete(socket);
      connection.close();
      return true;
    }
    return false;
  };
  // If there are more clients than allowed connections, no client may keep its connection while others are refused.
  const scarcityThreshold = Math.ceil(maxConnections * SCARCE_SOCKETS_SHARE);
  let hasWarned = false;
  const areConnectionsScarce = (): boolean => {
    const isScarce = connections.size > scarcityThreshold;
    if (isScarce && !hasWarned)
      log.warn(
        { open: connections.size, limit: maxConnections },
        'client connections are scarce; closing each one after its response',
      );
    // The warning is repeated only after the number of connections has fallen below half of the threshold.
    if (isScarce || connections.size < scarcityThreshold / 2) hasWarned = isScarce;
    return isScarce;
  };
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    if (connections.size >= maxConnections && !evictAbandonedConnection()) {
      socket.destroy();
      return;
    }
    const markUsed = (): void => {
      connections.delete(socket);
      connections.set(socket, connection);
    };
    const connection = new ServerConnection(
      socket,
      handler,
      clock,
      log,
      markUsed,
      areConnectionsScarce,
      getMaxBodyBytes,
      rejectionLog,
    );
    connections.set(socket, connection);
    socket.on('close', () => connections.delete(socket));
  });
  const timeoutSweep = setInterval(() => {
    const nowMs = clock.steadyMs();
    for (const connection of connections.values()) connection.closeIfTimedOut(nowMs);
  }, REQUEST_READ_TIMEOUT_MS / 2);
  server.on('close', () => clearInterval(timeoutSweep));
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host, port, backlog: 511 }, () => {
      server.off('error', reject);
      server.on('error', (error) => log.error({ err: error }, 'server socket failed'));
      resolve(server);
    });
  });
}

/** Splits an address ("ip:port") into its host and its port. */
export function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
