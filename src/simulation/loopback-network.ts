/**
 * Provides HTTP servers and clients on real sockets, a real clock, and free loopback addresses and ports. With them,
 * the simulated services, workers and users of a `LoopbackCluster` communicate with real controller processes.
 */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import type { Logger } from 'pino';
import type { Clock } from '@pumicehinge/runtime';
import { SocketHttpClient } from '../http/client.js';
import type { HttpClient } from '../http/message.js';
import { startHttpServer } from '../http/server.js';
import type { ExecutedRequestCopies, SimulatedHandler } from './network.js';
import type { ObservedRequest } from './traffic-observer.js';

/** The clock of the simulated services, workers and users. Its pending timers do not keep a process from exiting. */
export const backgroundClock: Clock = {
  steadyMs: () => performance.now(),
  wallMs: () => Date.now(),
  setTimer(ms, run) {
    const timer = setTimeout(run, Math.max(0, ms)).unref();
    return () => clearTimeout(timer);
  },
};

/** Port at which workers accept commands. Each worker has its own loopback address. */
export const WORKER_PORT = 9000;

/**
 * High enough that a simulated service never refuses a connection, which would count as a failure of the controllers.
 */
const MAX_SERVICE_CONNECTIONS = 50_000;

/** Offers over real sockets the part of the simulated network's interface that the simulated services use. */
export class LoopbackNetwork {
  private readonly servers: Server[] = [];
  private readonly httpClients: SocketHttpClient[] = [];
  private readonly sockets = new Set<Socket>();
  private isClosed = false;
  private executedRequestCopies: ExecutedRequestCopies | undefined;

  constructor(private readonly log: Logger) {}

  /**
   * Serves HTTP at the address. The handler gets `caller` as the sender of every request. `caller` is empty if the
   * sender is unknown.
   */
  async attach(host: string, address: string, handler: SimulatedHandler, caller = ''): Promise<void> {
    const server = await startHttpServer(
      address,
      MAX_SERVICE_CONNECTIONS,
      (request, respond) => {
        const target = request.query === '' ? request.path : `${request.path}?${request.query}`;
        const body = request.body === '' ? undefined : request.body;
        void handler(caller, request.method, target, body).then((response) => {
          if (!response) return;
          respond(response);
          if (response.status !== 200) return;
          this.copyIfSelected({ from: caller, to: host, method: request.method, target, body }, handler);
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
    if (this.isClosed) server.close();
  }

  /**
   * From now on, copies of each selected request that a simulated service or worker executed and answered with status 200
   * arrive late. Held copies never arrive.
   */
  copyExecutedRequests(copies: ExecutedRequestCopies): void {
    this.executedRequestCopies = copies;
  }

  private copyIfSelected(request: ObservedRequest, handler: SimulatedHandler): void {
    if (!this.executedRequestCopies?.select(request)) return;
    const { from, method, target, body } = request;
    for (const delayMs of this.executedRequestCopies.drawDelaysMs()) {
      if (delayMs === Infinity) continue;
      backgroundClock.setTimer(delayMs, () => {
        if (!this.isClosed) void handler(from, method, target, body);
      });
    }
  }

  /** Creates a client of its own for one host. */
  createHttpClient(): HttpClient {
    const httpClient = new SocketHttpClient(backgroundClock, 1, 4);
    this.httpClients.push(httpClient);
    return httpClient;
  }

  /**
   * Reserves the loopback addresses 127.N.x.y for the workers of one cluster, and returns N. No other cluster uses the
   * same N.
   */
  async reserveAddressBlock(): Promise<number> {
    for (let block = 1; block < 255; block++) {
      const lock = createServer();
      const isFree = await new Promise<boolean>((resolve) => {
        lock.once('error', () => resolve(false));
        lock.listen(WORKER_PORT, `127.${block}.255.254`, () => resolve(true));
      });
      if (!isFree) continue;
      // The lock stays open until this network is closed, so that no other cluster takes the same block.
      this.servers.push(lock);
      return block;
    }
    throw new Error('no block of loopback addresses is free');
  }

  /** Closes all servers, connections and HTTP clients. */
  close(): void {
    this.isClosed = true;
    for (const server of this.servers) server.close();
    for (const socket of this.sockets) socket.destroy();
    for (const httpClient of this.httpClients) httpClient.close();
  }
}

/** Finds distinct ports of the loopback address that are free now. */
export async function findFreePorts(count: number): Promise<number[]> {
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
