import { SocketCaller } from '../http/client.js';
import { backgroundClock } from './loopback-network.js';
import type { SimJob, SimRules } from './rules.js';

const POLL_EVERY_MS = 5_000;
const RETRY_MS = 1_000;
const CALL_MS = 5_000;

/** Submits jobs to controllers on loopback, and asks about each. */
export class LoopbackUsers {
  private readonly caller = new SocketCaller(backgroundClock, 8, 8);
  private count = 0;

  constructor(
    private readonly rules: SimRules,
    private readonly addresses: readonly string[],
    private readonly random: () => number,
  ) {}

  submit(kind: SimJob['kind'], tasks: number, runS: number): string {
    const uid = `job-${String(this.count++).padStart(6, '0')}`;
    this.rules.add({
      ...{ uid, team: 'blue', kind, tasks, cpus: 2, spot: true, scatter: false, oneZone: false },
      ...{ zone: null, runS, dueS: null, dependencies: [] },
    });
    const isService = kind === 'service';
    const body = {
      ...{ uid, cohort: 'batch', crew: 'blue', shape: isService ? 'standing' : 'sweep', rank: 'standard' },
      ...{ pieces: tasks, cpus: 2, accelerators: 0, memGb: 4, cast: 'image-1', sizeGb: 1, builds: null },
      ...{ yard: null, oneZone: false, scatter: false, loaner: true, guessS: isService ? 0 : runS },
      ...{ pinS: 0, pinningS: 0, dueS: isService ? null : runS * 2 + 15 },
    };
    this.send(uid, JSON.stringify(body));
    return uid;
  }

  close(): void {
    this.caller.close();
  }

  private send(uid: string, body: string): void {
    this.ask('POST', '/submissions', body).then(
      (status) => (status < 300 ? this.poll(uid) : this.sendLater(uid, body)),
      () => this.sendLater(uid, body),
    );
  }

  private sendLater(uid: string, body: string): void {
    backgroundClock.after(RETRY_MS, () => this.send(uid, body));
  }

  private poll(uid: string): void {
    backgroundClock.after(POLL_EVERY_MS, () => {
      this.ask('GET', `/submissions/${uid}`).then(
        () => this.poll(uid),
        () => this.poll(uid),
      );
    });
  }

  private async ask(method: string, path: string, body?: string): Promise<number> {
    const address = this.addresses[Math.floor(this.random() * this.addresses.length)]!;
    return (await this.caller.call(address, method, path, body, CALL_MS)).status;
  }
}
