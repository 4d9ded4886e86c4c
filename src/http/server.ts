import { createServer, type Server, type Socket } from 'node:net';
import type { Logger } from 'pino';
import type { Clock } from '@pumicehinge/runtime';
import {
  CROWDED_SHARE,
  IDLE_CONNECTION_MS,
  LEFT_CONNECTION_MS,
  MAX_BODY_BYTES,
  REQUEST_READ_MS,
} from '../constants.js';
import type { Handler, HttpRequest, HttpResponse } from './message.js';
import { HttpParser, HttpSyntaxError, type RawMessage } from './parser.js';

const REASONS: Record<number, string> = {
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

export function formatResponse(response: HttpResponse, keepAlive: boolean): string {
  const retry = response.retryAfterS === undefined ? '' : `Retry-After: ${response.retryAfterS}\r\n`;
  return (
    `HTTP/1.1 ${response.status} ${REASONS[response.status] ?? 'Status'}\r\n` +
    `Content-Type: application/json\r\nContent-Length: ${Buffer.byteLength(response.body)}\r\n` +
    `${retry}${keepAlive ? '' : 'Connection: close\r\n'}\r\n${response.body}`
  );
}

function toRequest(message: RawMessage): HttpRequest {
  const [method, target] = message.startLine.split(' ') as [string, string];
  const mark = target.indexOf('?');
  return {
    method,
    path: mark < 0 ? target : target.slice(0, mark),
    query: mark < 0 ? '' : target.slice(mark + 1),
    body: message.body.toString('utf8'),
  };
}

/** One accepted connection: one request at a time, later bytes wait in the socket. */
class Connection {
  private readonly parser = new HttpParser('request', MAX_BODY_BYTES);
  private readonly queue: RawMessage[] = [];
  private busy = false;
  private ended = false;
  private lastMs: number;

  constructor(
    private readonly socket: Socket,
    private readonly handler: Handler,
    private readonly clock: Clock,
    private readonly log: Logger,
    /** Called with each answer, so that the connections stand in the order of their last use. */
    private readonly onUsed: () => void,
    /** Whether connections are scarce: then each ends after its answer, and another client has its turn. */
    private readonly isCrowded: () => boolean,
  ) {
    this.lastMs = clock.steadyMs();
    socket.setNoDelay(true);
    socket.on('data', (data: Buffer) => this.onData(data));
    socket.on('end', () => {
      // Half closed: what was asked is still answered, then the socket must go, or it would be kept for ever.
      this.ended = true;
      if (!this.busy) socket.destroy();
    });
    socket.on('error', () => socket.destroy());
  }

  /** Whether nothing was asked on it for so long that its client has most likely left without a word. */
  isLeft(now: number): boolean {
    return !this.busy && now - this.lastMs > LEFT_CONNECTION_MS;
  }

  get isBusy(): boolean {
    return this.busy;
  }

  close(): void {
    this.socket.destroy();
  }

  /** Called now and then: closes idle connections and requests that never complete. */
  sweep(now: number): void {
    if (this.busy) return;
    const limit = this.parser.idle ? IDLE_CONNECTION_MS : REQUEST_READ_MS;
    if (now - this.lastMs > limit) this.socket.destroy();
  }

  private onData(data: Buffer): void {
    // Only the first byte of a request moves the clock, so a trickle does not hold a slot for ever.
    if (this.parser.idle) this.lastMs = this.clock.steadyMs();
    try {
      this.queue.push(...this.parser.feed(data));
    } catch (error) {
      const status = error instanceof HttpSyntaxError ? error.status : 400;
      this.socket.end(formatResponse({ status, body: '{"error":"malformed"}' }, false));
      this.socket.removeAllListeners('data');
      this.socket.destroySoon();
      return;
    }
    // Who sends on while a request is answered floods: nothing more is read of it until then.
    if (this.busy) this.socket.pause();
    this.next();
  }

  private next(): void {
    if (this.busy) return;
    const message = this.queue.shift();
    if (!message) return;
    this.busy = true;
    let answered = false;
    const respond = (response: HttpResponse): void => {
      if (answered) return;
      answered = true;
      this.busy = false;
      this.lastMs = this.clock.steadyMs();
      if (this.socket.destroyed) return;
      this.onUsed();
      const keepAlive = message.keepAlive && response.close !== true && !this.isCrowded();
      this.socket.write(formatResponse(response, keepAlive));
      if (!keepAlive || this.ended) {
        this.socket.end();
        return;
      }
      if (this.socket.isPaused()) this.socket.resume();
      this.next();
    };
    try {
      this.handler(toRequest(message), respond);
    } catch (error) {
      this.log.error({ err: error }, 'request handler failed');
      respond({ status: 503, body: '{"error":"internal"}', retryAfterS: 1 });
    }
  }
}

/** Listens at `address` ("ip:port"); resolves once it does. */
export function serveHttp(
  address: string,
  maxConnections: number,
  handler: Handler,
  clock: Clock,
  log: Logger,
): Promise<Server> {
  const { host, port } = splitAddress(address);
  // Longest unused first.
  const connections = new Map<Socket, Connection>();
  // When all are taken, one that was left goes: hundreds of machines that were cut off leave theirs half open, and
  // neither they nor users may be locked out by them.
  const makeRoom = (): boolean => {
    for (const [socket, connection] of connections) {
      if (connection.isBusy) continue;
      if (!connection.isLeft(clock.steadyMs())) return false;
      connections.delete(socket);
      connection.close();
      return true;
    }
    return false;
  };
  // With fewer sockets than clients, none may keep one while others are refused.
  const crowdedAt = Math.ceil(maxConnections * CROWDED_SHARE);
  let toldCrowded = false;
  const isCrowded = (): boolean => {
    const crowded = connections.size > crowdedAt;
    if (crowded && !toldCrowded)
      log.warn(
        { open: connections.size, limit: maxConnections },
        'sockets are scarce: connections end early',
      );
    // Told again only after a while without.
    if (crowded || connections.size < crowdedAt / 2) toldCrowded = crowded;
    return crowded;
  };
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    if (connections.size >= maxConnections && !makeRoom()) {
      socket.destroy();
      return;
    }
    const used = (): void => {
      connections.delete(socket);
      connections.set(socket, connection);
    };
    const connection = new Connection(socket, handler, clock, log, used, isCrowded);
    connections.set(socket, connection);
    socket.on('close', () => connections.delete(socket));
  });
  const sweep = setInterval(() => {
    const now = clock.steadyMs();
    for (const connection of connections.values()) connection.sweep(now);
  }, REQUEST_READ_MS / 2);
  server.on('close', () => clearInterval(sweep));
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host, port, backlog: 511 }, () => {
      server.off('error', reject);
      server.on('error', (error) => log.error({ err: error }, 'server socket failed'));
      resolve(server);
    });
  });
}

export function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
