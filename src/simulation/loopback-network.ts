import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import type { Logger } from 'pino';
import type { Clock } from '@pumicehinge/runtime';
import { SocketCaller } from '../http/client.js';
import type { HttpCaller } from '../http/message.js';
import { serveHttp } from '../http/server.js';
import type { SimHandler } from './network.js';

/** The clock of the stand-ins: what they have still to do does not keep a process from ending. */
export const backgroundClock: Clock = {
  steadyMs: () => performance.now(),
  wallMs: () => Date.now(),
  after(ms, run) {
    const timer = setTimeout(run, Math.max(0, ms)).unref();
    return () => clearTimeout(timer);
  },
};

/** Port at which the workers of a cluster take commands, each on an address of its own. */
export const WORKER_PORT = 9000;

/** A stand-in that refuses connections would be measured as our failure. */
const MAX_STAND_IN_CONNECTIONS = 50_000;

/** The part of the simulated network that the stand-ins use, over real sockets. */
export class LoopbackNetwork {
  private readonly servers: Server[] = [];
  private readonly callers: SocketCaller[] = [];
  private readonly sockets = new Set<Socket>();
  private closed = false;

  constructor(private readonly log: Logger) {}

  /** `from` names who is known to call this address; '': anybody. */
  async attach(_host: string, address: string, handler: SimHandler, from = ''): Promise<void> {
    const server = await serveHttp(
      address,
      MAX_STAND_IN_CONNECTIONS,
      (request, respond) => {
        const target = request.query === '' ? request.path : `${request.path}?${request.query}`;
        const body = request.body === '' ? undefined : request.body;
        void handler(from, request.method, target, body).then((response) => {
          if (response) respond(response);
        });
      },
      backgroundClock,
      this.log,
    );
    this.servers.push(server);
    server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
    if (this.closed) server.close();
  }

  caller(): HttpCaller {
    const caller = new SocketCaller(backgroundClock, 1, 4);
    this.callers.push(caller);
    return caller;
  }

  /** A part of the loopback addresses, for the workers of one cluster: 127.N.x.y, with N that no other cluster has. */
  async ownPart(): Promise<number> {
    for (let part = 1; part < 255; part++) {
      const lock = createServer();
      const isFree = await new Promise<boolean>((resolve) => {
        lock.once('error', () => resolve(false));
        lock.listen(WORKER_PORT, `127.${part}.255.254`, () => resolve(true));
      });
      if (!isFree) continue;
      // Held until the end: it keeps others off.
      this.servers.push(lock);
      return part;
    }
    throw new Error('no part of the loopback addresses is free');
  }

  close(): void {
    this.closed = true;
    for (const server of this.servers) server.close();
    for (const socket of this.sockets) socket.destroy();
    for (const caller of this.callers) caller.close();
  }
}

/** Ports of the loopback address that are free now, each another one. */
export async function freePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise<ReturnType<typeof createServer>>((resolve) => {
          const server = createServer().listen(0, '127.0.0.1', () => resolve(server));
        }),
    ),
  );
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}
