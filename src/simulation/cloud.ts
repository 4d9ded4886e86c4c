/**
 * A simulated cloud provider, which lists, rents out and takes back machines. Simulated deployments, clusters on
 * loopback and tests of the leased roles use it in place of the real cloud.
 */
import type { Clock } from '@pumicehinge/runtime';
import type { HttpResponse } from '../http/message.js';
import type { SimulatedWorker, WorkerMachine } from './simulated-worker.js';

/** A machine that the cloud has rented out. */
interface RentedMachine extends WorkerMachine {
  createdMs: number;
  /** Undefined while the machine boots. */
  worker: SimulatedWorker | undefined;
}

const jsonResponse = (status: number, body: unknown): HttpResponse => ({
  status,
  body: JSON.stringify(body),
});

/** Simulated cloud provider, written from the protocol of the real one. */
export class SimulatedCloud {
  /** The machines that exist now, by name. */
  readonly machines = new Map<string, RentedMachine>();
  private readonly namesByRequest = new Map<string, string[]>();
  private createdCount = 0;
  /** If true, every request gets a 503. */
  isDown = false;
  /** Number of times that a request returned a machine that was already gone. */
  repeatedReturns = 0;

  constructor(
    private readonly clock: Clock,
    private readonly instanceTypes: {
      sku: string;
      cpus: number;
      memGb: number;
      bootS: number;
      price: number;
    }[],
    private readonly zones: string[],
    /** The most machines that can be rented at the same time. */
    public capacity: number,
    private readonly startWorker: (machine: WorkerMachine) => SimulatedWorker,
  ) {}

  /** Number of machines rented so far, including those that are gone. */
  get rentedCount(): number {
    return this.createdCount;
  }

  /** Terminates a machine and everything that runs on it. */
  terminate(name: string): void {
    this.machines.get(name)?.worker?.kill();
    this.machines.delete(name);
  }

  /** Answers one HTTP request of a controller. */
  async handle(_from: string, _method: string, target: string, body: string | undefined) {
    if (this.isDown) return jsonResponse(503, { error: 'trouble' });
    const path = target.split('?')[0];
    if (path === '/catalog') return this.getCatalog();
    if (path === '/hosts/return') {
      for (const name of (JSON.parse(body ?? '') as { hearths: string[] }).hearths) {
        if (!this.machines.has(name)) this.repeatedReturns++;
        this.terminate(name);
      }
      return jsonResponse(200, {});
    }
    if (body === undefined) return this.listMachines(target.split('?')[1] ?? '');
    return this.rent(JSON.parse(body));
  }

  private getCatalog(): HttpResponse {
    return jsonResponse(200, {
      builds: this.instanceTypes.map((instanceType) => ({
        ...instanceType,
        accelerators: 0,
        cacheGb: 40,
        pullGbPerS: 1,
        spotPrice: instanceType.price / 3,
        yards: this.zones,
      })),
    });
  }

  /** Returns one page of the list of machines, which is ordered by name. */
  private listMachines(query: string): HttpResponse {
    const parameters = new URLSearchParams(query);
    const since = parameters.get('since') ?? '';
    const pageSize = Number(parameters.get('page') ?? this.machines.size);
    const remainingHosts = [...this.machines.values()].filter(({ name }) => name > since);
    const hearths = remainingHosts.slice(0, pageSize).map((host) => ({
      uid: host.name,
      address: `${host.name}:1`,
      build: host.instanceType,
      yard: host.zone,
      loaner: host.spot,
      phase: host.worker ? 'running' : 'booting',
      ageS: (this.clock.steadyMs() - host.createdMs) / 1000,
    }));
    return jsonResponse(200, { hearths, more: remainingHosts.length > pageSize });
  }

  private rent(request: {
    ask: string;
    build: string;
    yard: string;
    loaner: boolean;
    howMany: number;
  }): HttpResponse {
    const knownNames = this.namesByRequest.get(request.ask);
    if (knownNames) return jsonResponse(200, { hearths: knownNames });
    const names: string[] = [];
    while (names.length < request.howMany && this.machines.size < this.capacity) {
      const name = `vm-${String(this.createdCount++).padStart(6, '0')}`;
      const host: RentedMachine = {
        name,
        instanceType: request.build,
        zone: request.yard,
        spot: request.loaner,
        createdMs: this.clock.steadyMs(),
        worker: undefined,
      };
      this.machines.set(name, host);
      const bootS = this.instanceTypes.find((instanceType) => instanceType.sku === request.build)!.bootS;
      this.clock.setTimer(bootS * 1000, () => {
        if (this.machines.get(name) === host) host.worker = this.startWorker(host);
      });
      names.push(name);
    }
    if (names.length === 0) return jsonResponse(503, { error: 'no capacity' });
    this.namesByRequest.set(request.ask, names);
    return jsonResponse(200, { hearths: names });
  }
}
