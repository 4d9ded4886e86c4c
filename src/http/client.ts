import { Socket } from 'node:net';
import type { Clock } from '@pumicehinge/runtime';
import { MAX_ANSWER_BYTES, POOL_IDLE_MS, POOL_QUEUE, POOL_SIZE } from '../constants.js';
import {
  AnswerTooLargeError,
  CallError,
  type CallFailure,
  type HttpCaller,
  type HttpResponse,
} from './message.js';
import { HttpParser, HttpSyntaxError } from './parser.js';
import { splitAddress } from './server.js';

interface Call {
  text: string;
  resolve: (response: HttpResponse) => void;
  reject: (error: CallError) => void;
  sent: boolean;
  settled: boolean;
  cancelTimer: () => void;
}

const failureOf = (call: Call): CallFailure => (call.sent ? 'unclear' : 'unsent');

/** One kept-alive connection; carries one call at a time. */
class ClientConnection {
  private readonly parser: HttpParser;
  private readonly socket = new Socket();
  private call: Call | undefined;
  private connected = false;
  idleSinceMs = 0;

  constructor(
    address: string,
    answerBytes: number,
    private readonly onFree: (connection: ClientConnection, alive: boolean) => void,
  ) {
    this.parser = new HttpParser('response', answerBytes);
    const { host, port } = splitAddress(address);
    this.socket.setNoDelay(true);
    this.socket.on('connect', () => {
      this.connected = true;
      if (this.call) this.write(this.call);
    });
    this.socket.on('data', (data: Buffer) => this.onData(data));
    this.socket.on('error', (error) => this.fail(error.message));
    this.socket.on('close', () => this.fail('connection closed'));
    this.socket.connect({ host, port });
  }

  run(call: Call): void {
    this.call = call;
    if (this.connected) this.write(call);
  }

  close(): void {
    this.socket.destroy();
  }

  /** Makes room for another: its pool forgets it at once, not only when the socket tells of its end. */
  evict(): void {
    this.onFree(this, false);
    this.socket.destroy();
  }

  private write(call: Call): void {
    call.sent = true;
    this.socket.write(call.text);
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
      this.fail('unasked answer');
      return;
    }
    call.resolve({ status: Number(message.startLine.slice(9, 12)), body: message.body.toString('utf8') });
    if (!message.keepAlive) this.socket.destroy();
    this.onFree(this, message.keepAlive);
  }

  private fail(reason: string, isTooLarge = false): void {
    const call = this.call;
    this.call = undefined;
    this.socket.destroy();
    call?.reject(isTooLarge ? new AnswerTooLargeError(reason) : new CallError(failureOf(call), reason));
    this.onFree(this, false);
  }
}

/** The connections of all pools together, of which there are at most `most`. */
class Sockets {
  /** Longest idle first. */
  private readonly idle = new Set<ClientConnection>();
  private open = 0;

  constructor(private readonly most: number) {}

  /** Whether one more may be opened; the one that is idle longest goes for it. */
  take(): boolean {
    if (this.open >= this.most) {
      const [oldest] = this.idle;
      if (!oldest) return false;
      oldest.evict();
    }
    this.open++;
    return true;
  }

  idled(connection: ClientConnection): void {
    this.idle.add(connection);
  }

  used(connection: ClientConnection): void {
    this.idle.delete(connection);
  }

  gone(connection: ClientConnection): void {
    this.idle.delete(connection);
    this.open--;
  }
}

class Pool {
  private readonly idle: ClientConnection[] = [];
  private readonly all = new Set<ClientConnection>();
  private readonly waiting: Call[] = [];

  constructor(
    private readonly address: string,
    private readonly clock: Clock,
    private readonly size: number,
    private readonly sockets: Sockets,
    private readonly answerBytes: number,
  ) {}

  submit(call: Call): void {
    if (this.waiting.length >= POOL_QUEUE) {
      call.reject(new CallError('unsent', 'too many calls waiting'));
      return;
    }
    this.waiting.push(call);
    this.dispatch();
  }

  get unused(): boolean {
    return this.all.size === 0 && this.waiting.length === 0;
  }

  close(): void {
    for (const connection of this.all) connection.close();
  }

  sweep(now: number): void {
    // Taken out of the list here: a socket tells of its end only later, and this loop must not wait for it.
    while (this.idle.length > 0 && now - this.idle[0]!.idleSinceMs > POOL_IDLE_MS) this.idle.shift()!.close();
  }

  private dispatch(): void {
    while (this.waiting.length > 0) {
      if (this.waiting[0]!.settled) {
        this.waiting.shift();
        continue;
      }
      const connection = this.idle.pop() ?? this.open();
      if (!connection) {
        // Nobody would tell of a free socket: the caller is told now.
        if (this.all.size === 0) this.refuseAll();
        return;
      }
      this.sockets.used(connection);
      const call = this.waiting.shift()!;
      const settle = call.reject;
      // A call that timed out leaves its connection in an unknown state; it is closed with it.
      call.reject = (error) => {
        settle(error);
        connection.close();
      };
      connection.run(call);
    }
  }

  private refuseAll(): void {
    for (const call of this.waiting.splice(0)) call.reject(new CallError('unsent', 'no socket free'));
  }

  private open(): ClientConnection | undefined {
    if (this.all.size >= this.size || !this.sockets.take()) return undefined;
    const connection = new ClientConnection(this.address, this.answerBytes, (freed, alive) => {
      if (alive) {
        freed.idleSinceMs = this.clock.steadyMs();
        this.idle.push(freed);
        this.sockets.idled(freed);
      } else {
        if (this.all.delete(freed)) this.sockets.gone(freed);
        const at = this.idle.indexOf(freed);
        if (at >= 0) this.idle.splice(at, 1);
      }
      this.dispatch();
    });
    this.all.add(connection);
    return connection;
  }
}

/** HTTP client with a bounded pool of connections per address and a time limit per call. */
export class SocketCaller implements HttpCaller {
  private readonly pools = new Map<string, Pool>();
  private cancelSweep = (): void => undefined;
  private readonly sockets: Sockets;

  constructor(
    private readonly clock: Clock,
    private readonly poolSize: number = POOL_SIZE,
    /** Connections to all addresses together. */
    most = Infinity,
    /** Bytes of one answer's body. */
    private readonly answerBytes: number = MAX_ANSWER_BYTES,
  ) {
    this.sockets = new Sockets(most);
    this.sweepLater();
  }

  call(
    address: string,
    method: string,
    target: string,
    body: string | undefined,
    timeoutMs: number,
  ): Promise<HttpResponse> {
    return new Promise((resolve, reject) => {
      const head = `${method} ${target} HTTP/1.1\r\nHost: ${address}\r\n`;
      const text =
        body === undefined
          ? `${head}\r\n`
          : `${head}Content-Type: application/json\r\nContent-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;
      const call: Call = {
        text,
        sent: false,
        settled: false,
        cancelTimer: () => undefined,
        resolve: (response) => {
          if (call.settled) return;
          call.settled = true;
          call.cancelTimer();
          resolve(response);
        },
        reject: (error) => {
          if (call.settled) return;
          call.settled = true;
          call.cancelTimer();
          reject(error);
        },
      };
      call.cancelTimer = this.clock.after(timeoutMs, () =>
        call.reject(new CallError(failureOf(call), 'timed out')),
      );
      let pool = this.pools.get(address);
      if (!pool)
        this.pools.set(
          address,
          (pool = new Pool(address, this.clock, this.poolSize, this.sockets, this.answerBytes)),
        );
      pool.submit(call);
    });
  }

  /** Drops every connection; calls still waiting fail. */
  close(): void {
    this.cancelSweep();
    for (const pool of this.pools.values()) pool.close();
  }

  private sweepLater(): void {
    this.cancelSweep = this.clock.after(POOL_IDLE_MS / 2, () => {
      const now = this.clock.steadyMs();
      for (const [address, pool] of this.pools) {
        pool.sweep(now);
        if (pool.unused) this.pools.delete(address);
      }
      this.sweepLater();
    });
  }
}
