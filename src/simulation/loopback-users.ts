/**
 * Simulates the users of a `LoopbackCluster`, which put load on its controllers. The responses of the controllers are
 * not checked against the rules of the service.
 */
import { SocketHttpClient } from '../http/client.js';
import { backgroundClock } from './loopback-network.js';
import type { SimulatedJob, RuleChecker } from './rule-checker.js';

const POLL_INTERVAL_MS = 5_000;
const RETRY_DELAY_MS = 1_000;
const CALL_TIMEOUT_MS = 5_000;

/** Users that submit jobs to controllers on loopback and poll the state of each. */
export class LoopbackUsers {
  private readonly httpClient = new SocketHttpClient(backgroundClock, 8, 8);
  private jobCount = 0;

  constructor(
    private readonly rules: RuleChecker,
    private readonly addresses: readonly string[],
    private readonly random: () => number,
  ) {}

  /** Submits a job, retries until it is accepted, and polls it from then on. Returns its uid. */
  submit(kind: SimulatedJob['kind'], tasks: number, runS: number): string {
    const uid = `job-${String(this.jobCount++).padStart(6, '0')}`;
    this.rules.trackJob({
      ...{
        uid,
        team: 'blue',
        kind,
        tasks,
        cpus: 2,
        memGb: 4,
        spot: true,
        zoneSpread: false,
        singleZone: false,
      },
      ...{ zone: null, runS, deadlineS: null, dependencies: [] },
    });
    const isService = kind === 'service';
    const body = {
      ...{ uid, cohort: 'batch', crew: 'blue', shape: isService ? 'standing' : 'sweep', rank: 'standard' },
      ...{ pieces: tasks, cpus: 2, accelerators: 0, memGb: 4, cast: 'image-1', sizeGb: 1, builds: null },
      ...{ yard: null, oneZone: false, scatter: false, loaner: true, guessS: isService ? 0 : runS },
      ...{ pinS: 0, pinningS: 0, dueS: isService ? null : runS * 2 + 15 },
    };
    this.sendSubmission(uid, JSON.stringify(body));
    return uid;
  }

  /** Closes all connections. */
  close(): void {
    this.httpClient.close();
  }

  private sendSubmission(uid: string, body: string): void {
    this.sendRequest('POST', '/submissions', body).then(
      (status) => (status < 300 ? this.poll(uid) : this.retrySubmission(uid, body)),
      () => this.retrySubmission(uid, body),
    );
  }

  private retrySubmission(uid: string, body: string): void {
    backgroundClock.setTimer(RETRY_DELAY_MS, () => this.sendSubmission(uid, body));
  }

  private poll(uid: string): void {
    backgroundClock.setTimer(POLL_INTERVAL_MS, () => {
      this.sendRequest('GET', `/submissions/${uid}`).then(
        () => this.poll(uid),
        () => this.poll(uid),
      );
    });
  }

  private async sendRequest(method: string, path: string, body?: string): Promise<number> {
    const address = this.addresses[Math.floor(this.random() * this.addresses.length)]!;
    return (await this.httpClient.call(address, method, path, body, CALL_TIMEOUT_MS)).status;
  }
}
