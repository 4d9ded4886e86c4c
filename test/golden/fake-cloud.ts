import type { HttpResponse } from '../../src/http/message.js';
import type { RecordedCall } from './recording-caller.js';

/** Deterministic fakes of the cloud and its workers. They use the names of the wire format. */

/** A task as a heartbeat describes it. */
interface WireTask {
  piece: string;
  try: number;
  phase: string;
  cause?: string;
}

/** A command to a worker. */
interface WireCommand {
  verb: string;
  piece: string;
  try: number;
}

/** A worker whose tasks run until the test ends them or a command stops them. */
export class FakeWorker {
  readonly address: string;
  private readonly tasks = new Map<string, WireTask>();
  private fencingToken = 0;
  private sequence = 0;

  constructor(
    readonly name: string,
    private readonly zone: string,
    private readonly isSpot: boolean,
  ) {
    this.address = `${name}:9000`;
  }

  /** Creates the next heartbeat. */
  createHeartbeat(): string {
    return JSON.stringify({
      hearth: this.name,
      address: this.address,
      build: 'm4',
      yard: this.zone,
      loaner: this.isSpot,
      tenure: 1,
      tick: ++this.sequence,
      baton: this.fencingToken,
      warningS: null,
      pieces: [...this.tasks.values()],
    });
  }

  /** Executes the commands in the response to a heartbeat, or in a direct call. */
  executeCommands(body: string): void {
    const { baton, orders } = JSON.parse(body) as { baton: number; orders: WireCommand[] };
    this.fencingToken = baton;
    for (const { verb, piece, try: attemptNumber } of orders) {
      const attemptKey = `${piece}#${attemptNumber}`;
      if (verb === 'run' && !this.tasks.has(attemptKey))
        this.tasks.set(attemptKey, { piece, try: attemptNumber, phase: 'running' });
      if (verb === 'clear') this.tasks.delete(attemptKey);
      if (verb === 'stop') this.endTask(piece, 'stopped');
    }
  }

  /** Ends all attempts of a task that have not exited yet. */
  endTask(taskName: string, cause: string): void {
    for (const task of this.tasks.values())
      if (task.piece === taskName && task.phase !== 'exited') Object.assign(task, { phase: 'exited', cause });
  }

  /** The names of the tasks that have not exited, one for each attempt. */
  get runningTasks(): string[] {
    return [...this.tasks.values()].filter(({ phase }) => phase !== 'exited').map(({ piece }) => piece);
  }
}

const CATALOG_BODY =
  '{"builds":[{"sku":"m4","cpus":4,"accelerators":0,"memGb":16,"cacheGb":40,"pullGbPerS":1,"price":0.2,' +
  '"spotPrice":0.1,"bootS":1,"yards":["east","west"]}]}';

const createJsonResponse = (status: number, body: unknown): HttpResponse => ({
  status,
  body: JSON.stringify(body),
});

/** The cloud and the workers on its instances. Each instance runs as soon as it is launched. */
export class FakeCloud {
  readonly workers = new Map<string, FakeWorker>();
  /** Names of instances by the name of their launch request. A repeated request returns the same instances. */
  private readonly instancesByRequest = new Map<string, string[]>();
  private instanceCount = 0;

  /** Responds to a request of the controller to the cloud or to a worker. */
  respond({ address, method, target, body = '' }: RecordedCall): HttpResponse | undefined {
    if (address !== 'cloud:1') return this.respondAsWorker(address, body);
    switch (`${method} ${target.split('?')[0]!}`) {
      case 'GET /catalog':
        return { status: 200, body: CATALOG_BODY };
      case 'GET /hosts':
        return this.listInstances();
      case 'POST /hosts':
        return this.launchInstances(JSON.parse(body) as Parameters<FakeCloud['launchInstances']>[0]);
      case 'POST /hosts/return':
        for (const name of (JSON.parse(body) as { hearths: string[] }).hearths) this.workers.delete(name);
        return createJsonResponse(200, {});
    }
    return createJsonResponse(404, {});
  }

  private respondAsWorker(address: string, body: string): HttpResponse | undefined {
    const worker = [...this.workers.values()].find((candidate) => candidate.address === address);
    if (!worker) return undefined;
    worker.executeCommands(body);
    return { status: 200, body: worker.createHeartbeat() };
  }

  private listInstances(): HttpResponse {
    const instances = [...this.workers.values()].map(({ name, address }) => ({
      ...{ uid: name, address, build: 'm4', yard: 'east', loaner: false },
      ...{ phase: 'running', ageS: 3 },
    }));
    return createJsonResponse(200, { hearths: instances, more: false });
  }

  private launchInstances(launchRequest: {
    ask: string;
    yard: string;
    loaner: boolean;
    howMany: number;
  }): HttpResponse {
    let instanceNames = this.instancesByRequest.get(launchRequest.ask);
    if (!instanceNames) {
      instanceNames = Array.from({ length: launchRequest.howMany }, () => `vm-${++this.instanceCount}`);
      for (const name of instanceNames)
        this.workers.set(name, new FakeWorker(name, launchRequest.yard, launchRequest.loaner));
      this.instancesByRequest.set(launchRequest.ask, instanceNames);
    }
    return createJsonResponse(200, { hearths: instanceNames });
  }
}
