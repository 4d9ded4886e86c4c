import type { Clock } from '@pumicehinge/runtime';
import type { HttpResponse } from '../http/message.js';
import type { SimWorker, WorkerPlace } from './workers.js';

interface Host extends WorkerPlace {
  bornMs: number;
  worker: SimWorker | undefined;
}

const json = (status: number, body: unknown): HttpResponse => ({ status, body: JSON.stringify(body) });

/** Stand-in of the cloud, written from its protocol. */
export class SimCloud {
  readonly hosts = new Map<string, Host>();
  private readonly answered = new Map<string, string[]>();
  private count = 0;
  down = false;
  /** Deletions of machines that were gone already. */
  returnedAgain = 0;

  constructor(
    private readonly clock: Clock,
    private readonly types: { sku: string; cpus: number; memGb: number; bootS: number; price: number }[],
    private readonly zones: string[],
    /** Machines that it has. */
    public capacity: number,
    private readonly boot: (place: WorkerPlace) => SimWorker,
  ) {}

  /** Machines rented so far. */
  get rented(): number {
    return this.count;
  }

  /** Takes a machine away, with all that is on it. */
  take(name: string): void {
    this.hosts.get(name)?.worker?.kill();
    this.hosts.delete(name);
  }

  async handle(_from: string, _method: string, target: string, body: string | undefined) {
    if (this.down) return json(503, { error: 'trouble' });
    const path = target.split('?')[0];
    if (path === '/catalog') return this.catalog();
    if (path === '/hosts/return') {
      for (const name of (JSON.parse(body ?? '') as { hearths: string[] }).hearths) {
        if (!this.hosts.has(name)) this.returnedAgain++;
        this.take(name);
      }
      return json(200, {});
    }
    if (body === undefined) return this.list(target.split('?')[1] ?? '');
    return this.rent(JSON.parse(body));
  }

  private catalog(): HttpResponse {
    return json(200, {
      builds: this.types.map((t) => ({
        ...t,
        accelerators: 0,
        cacheGb: 40,
        pullGbPerS: 1,
        spotPrice: t.price / 3,
        yards: this.zones,
      })),
    });
  }

  /** One page of the machine list, which is ordered by name. */
  private list(query: string): HttpResponse {
    const parameters = new URLSearchParams(query);
    const since = parameters.get('since') ?? '';
    const page = Number(parameters.get('page') ?? this.hosts.size);
    const later = [...this.hosts.values()].filter(({ name }) => name > since);
    const hearths = later.slice(0, page).map((h) => ({
      uid: h.name,
      address: `${h.name}:1`,
      build: h.type,
      yard: h.zone,
      loaner: h.spot,
      phase: h.worker ? 'running' : 'booting',
      ageS: (this.clock.steadyMs() - h.bornMs) / 1000,
    }));
    return json(200, { hearths, more: later.length > page });
  }

  private rent(ask: {
    ask: string;
    build: string;
    yard: string;
    loaner: boolean;
    howMany: number;
  }): HttpResponse {
    const known = this.answered.get(ask.ask);
    if (known) return json(200, { hearths: known });
    const names: string[] = [];
    while (names.length < ask.howMany && this.hosts.size < this.capacity) {
      const name = `vm-${String(this.count++).padStart(6, '0')}`;
      const host: Host = {
        name,
        type: ask.build,
        zone: ask.yard,
        spot: ask.loaner,
        bornMs: this.clock.steadyMs(),
        worker: undefined,
      };
      this.hosts.set(name, host);
      const bootS = this.types.find((t) => t.sku === ask.build)!.bootS;
      this.clock.after(bootS * 1000, () => {
        if (this.hosts.get(name) === host) host.worker = this.boot(host);
      });
      names.push(name);
    }
    if (names.length === 0) return json(503, { error: 'no capacity' });
    this.answered.set(ask.ask, names);
    return json(200, { hearths: names });
  }
}
