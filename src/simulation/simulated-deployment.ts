/** A deployment of controllers, simulated services, workers and users in one process on simulated time. */
import { pino } from 'pino';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { getMaxRequestBytes } from '../api/codec.js';
import { Controller } from '../controller.js';
import type { HttpResponse } from '../http/message.js';
import { ProcessClock, SimulatedClock } from '@pumicehinge/runtime/simulated-clock';
import { SimulatedCloud } from './cloud.js';
import {
  CANCEL_S,
  COMMAND_TRANSIT_S,
  createSettings,
  DEFAULT_FETCH_S,
  LEASE_S,
  listMembers,
  MACHINE_TYPE,
  REPORT_S,
  SMALL_DEPLOYMENT,
  ZONES,
  type DeploymentOptions,
  type MachineType,
} from './deployment-options.js';
import { SimulatedNetwork, SimulatedPeerNetwork } from './network.js';
import { RuleChecker, type SimulatedJob } from './rule-checker.js';
import { SimulatedStateService } from './state-service.js';
import { createTaskFaults, SimulatedWorker } from './simulated-worker.js';

export { SMALL_DEPLOYMENT, type DeploymentOptions } from './deployment-options.js';

const DEFAULT_JOB: Omit<SimulatedJob, 'uid'> = {
  team: 'blue',
  kind: 'array',
  tasks: 4,
  cpus: 2,
  memGb: 4,
  spot: false,
  zoneSpread: false,
  singleZone: false,
  zone: null,
  runS: 20,
  deadlineS: null,
  dependencies: [],
};

/**
 * A whole deployment in one process on simulated time: real controllers, and simulated services, workers and users.
 */
export class SimulatedDeployment {
  readonly clock = new SimulatedClock();
  readonly rules: RuleChecker;
  readonly state: SimulatedStateService;
  readonly cloud: SimulatedCloud;
  readonly network: SimulatedNetwork;
  readonly random: () => number;
  readonly peers: SimulatedPeerNetwork;
  /** How tasks fail on all machines. No task fails until a scenario raises a share. */
  readonly taskFaults = createTaskFaults();
  private readonly processClocks = new Map<string, ProcessClock>();
  private readonly finishedTasks = new Set<string>();
  private readonly userHttpClient;
  private jobCount = 0;
  private readonly machineType: MachineType;

  /** Time after which no fault is active. Jobs must not be left waiting after it. */
  faultsEndMs = Infinity;

  readonly members: string[];

  constructor(
    seed: number,
    private readonly options: DeploymentOptions = SMALL_DEPLOYMENT,
  ) {
    this.members = listMembers(options);
    this.machineType = options.machineType ?? MACHINE_TYPE;
    const generator = xoroshiro128plus(seed);
    this.random = () => uniformFloat64(generator);
    this.network = new SimulatedNetwork(this.clock, this.random, options.createObserver?.(this.clock));
    this.peers = new SimulatedPeerNetwork(this.network);
    const teamCpuLimits = new Map(
      createSettings('c0', options).teams.map((team) => [team.name, team.cpuLimit]),
    );
    this.rules = new RuleChecker(() => this.clock.steadyMs(), teamCpuLimits, CANCEL_S, COMMAND_TRANSIT_S);
    this.state = new SimulatedStateService(this.clock, this.random);
    const controllers = this.members.map((member) => ({ member, address: `${member}:80` }));
    const timing = {
      reportS: this.options.reportS ?? REPORT_S,
      leaseS: LEASE_S,
      fetchS: options.fetchS ?? DEFAULT_FETCH_S,
      minReportIntervalS: options.minReportIntervalS,
    };
    this.members.forEach((member) => this.network.setZone(member, createSettings(member, options).zone));
    this.cloud = new SimulatedCloud(
      this.clock,
      [{ ...this.machineType, bootS: options.bootS ?? this.machineType.bootS }],
      options.machineZones ?? ZONES,
      options.machineCapacity,
      (machine) => {
        this.network.setZone(machine.name, machine.zone);
        return new SimulatedWorker(
          machine,
          controllers,
          timing,
          this.clock,
          this.network,
          this.rules,
          this.random,
          this.finishedTasks,
          this.taskFaults,
        );
      },
    );
    this.network.attach('state', 'state:1', (...request) => this.state.handle(...request));
    this.network.attach('cloud', 'cloud:1', (...request) => this.cloud.handle(...request));
    this.userHttpClient = this.network.createHttpClient('users', () => true);
    for (const member of this.members) this.startController(member);
    const check = (): void => {
      this.rules.checkCancelledTasks();
      this.rules.checkWaitingJobs(this.faultsEndMs, this.listRunningMachines());
      this.clock.setTimer(500, check);
    };
    check();
  }

  /** Starts the process of a controller. */
  startController(member: string): void {
    const clock = new ProcessClock(this.clock, (run) => this.network.runOnHost(member, run));
    this.processClocks.set(member, clock);
    const isAlive = (): boolean => clock.isAlive;
    const httpClient = this.network.createHttpClient(member, isAlive);
    const controller = new Controller({
      settings: createSettings(member, this.options),
      clock,
      random: this.random,
      processStartMs: this.clock.steadyMs(),
      measureUsedBytes: () => 0,
      httpClient,
      workerHttpClient: httpClient,
      peerTransport: this.peers.createTransport(member, isAlive),
      log: pino({ level: 'silent' }),
    });
    this.network.attach(member, `${member}:80`, (_from, method, target, body) => {
      // The HTTP server of a controller rejects larger requests.
      if (Buffer.byteLength(body ?? '') > getMaxRequestBytes(`${method} ${target} HTTP/1.1`)) {
        controller.recordRejectedRequest(413);
        return Promise.resolve({ status: 413, body: '{}' });
      }
      const queryIndex = target.indexOf('?');
      const request = {
        method,
        path: queryIndex < 0 ? target : target.slice(0, queryIndex),
        query: '',
        body: body ?? '',
      };
      return new Promise<HttpResponse>((resolve) =>
        controller.handleRequest(request, (response) => {
          if (isAlive()) resolve(response);
        }),
      );
    });
    controller.start();
  }

  private listRunningMachines(): { name: string; zone: string; spot: boolean; cpus: number }[] {
    return [...this.cloud.machines.values()]
      .filter((host) => host.worker)
      .map(({ name, zone, spot }) => ({ name, zone, spot, cpus: this.machineType.cpus }));
  }

  /** Kills a controller and starts it again after a delay. */
  crashController(member: string, restartDelayMs: number): void {
    this.processClocks.get(member)!.kill();
    this.network.detach(member);
    this.clock.setTimer(restartDelayMs, () => this.startController(member));
  }

  /**
   * Pauses a controller for a while. Its clocks run on. Messages that it sends in the last 40 ms before the pause
   * leave only after the pause, because a pause may fall between a check and the action that relies on it.
   */
  pauseController(member: string, durationMs: number): void {
    this.network.holdOutbound(member);
    this.clock.setTimer(40, () => this.network.pauseHost(member));
    this.clock.setTimer(durationMs, () => this.network.resumeHost(member));
  }

  /** Schedules an action at a second of simulated time. */
  at(second: number, run: () => void): void {
    this.clock.setTimer(second * 1000 - this.clock.steadyMs(), run);
  }

  /**
   * Submits a job and polls it from then on. If `cancelAfterS` is given, cancels the job that many seconds after it was
   * accepted.
   */
  submit(fields: Partial<SimulatedJob>, cancelAfterS?: number): SimulatedJob {
    const job = this.registerJob(fields);
    void this.simulateUser(job, cancelAfterS);
    return job;
  }

  /** Registers a job with the rule checker without submitting it. The test submits it. */
  registerJob(fields: Partial<SimulatedJob>): SimulatedJob {
    const uid = `job-${String(++this.jobCount).padStart(6, '0')}`;
    const job: SimulatedJob = { uid, ...DEFAULT_JOB, ...fields };
    this.rules.trackJob(job);
    return job;
  }

  /** Cancels a job, and repeats the request until it gets an answer. */
  async cancel(uid: string): Promise<void> {
    this.rules.recordCancelRequest(uid);
    for (;;) {
      if (this.recordStatus(uid, await this.sendToRandomMember('POST', `/submissions/${uid}/abort`))) return;
      await this.sleep(1000);
    }
  }

  /** Asks once for the phase of a job. */
  async poll(uid: string): Promise<void> {
    this.recordStatus(uid, await this.sendToRandomMember('GET', `/submissions/${uid}`));
  }

  /** Submits a job once more. */
  async resubmit(job: SimulatedJob): Promise<void> {
    const response = await this.sendToRandomMember('POST', '/submissions', this.encodeSubmission(job));
    if (response) this.rules.recordSubmissionResponse(job.uid, response.status);
    this.recordStatus(job.uid, response);
  }

  /** Records the answer about a job, and returns its phase. Undefined if the response holds none. */
  private recordStatus(uid: string, response: HttpResponse | undefined): string | undefined {
    const phase =
      response?.status === 200 ? (JSON.parse(response.body) as { phase: string }).phase : undefined;
    if (response) this.rules.recordStatusResponse(uid, response.status, phase);
    return phase;
  }

  /** The leader according to the state service. Undefined if there is none. */
  get leader(): string | undefined {
    return (this.state.getValue('ph/leader') as { member: string } | undefined)?.member;
  }

  /** Whether the user was told that the job is done or cancelled. */
  isFinished(job: SimulatedJob): boolean {
    return this.rules.jobs.get(job.uid)!.reportedPhase !== 'open';
  }

  /**
   * Sends one request to a controller, as a user, a worker or the load balancer would. Undefined if it gets no
   * answer.
   */
  async sendRequest(
    member: string,
    method: string,
    path: string,
    body?: unknown,
  ): Promise<HttpResponse | undefined> {
    const text = body === undefined ? undefined : JSON.stringify(body);
    try {
      return await this.userHttpClient.call(`${member}:80`, method, path, text, 5000);
    } catch {
      return undefined;
    }
  }

  private async sendToRandomMember(
    method: string,
    path: string,
    body?: unknown,
  ): Promise<HttpResponse | undefined> {
    const member = this.members[Math.floor(this.random() * this.members.length)]!;
    return this.sendRequest(member, method, path, body);
  }

  private sleep(ms: number): Promise<void> {
    return new Promise((resolve) => this.clock.setTimer(ms, resolve));
  }

  private async simulateUser(job: SimulatedJob, cancelAfterS: number | undefined): Promise<void> {
    const submission = this.encodeSubmission(job);
    for (;;) {
      const response = await this.sendToRandomMember('POST', '/submissions', submission);
      if (response) this.rules.recordSubmissionResponse(job.uid, response.status);
      if (response && response.status < 300) break;
      await this.sleep(1000);
    }
    const cancelAtMs = cancelAfterS === undefined ? Infinity : this.clock.steadyMs() + cancelAfterS * 1000;
    for (;;) {
      const isCancelling = this.clock.steadyMs() >= cancelAtMs;
      if (isCancelling) this.rules.recordCancelRequest(job.uid);
      const path = `/submissions/${job.uid}`;
      const response = isCancelling
        ? await this.sendToRandomMember('POST', `${path}/abort`)
        : await this.sendToRandomMember('GET', path);
      const phase = this.recordStatus(job.uid, response);
      await this.sleep(isCancelling && !phase ? 1000 : 3000);
    }
  }

  /** Encodes a job as the body of a submission. */
  encodeSubmission(fields: Partial<SimulatedJob>): Record<string, unknown> {
    const job = { ...DEFAULT_JOB, uid: '', ...fields };
    return {
      uid: job.uid,
      cohort: 'batch',
      crew: job.team,
      shape: job.kind === 'array' ? 'sweep' : 'standing',
      rank: job.kind === 'array' ? 'standard' : 'prod',
      pieces: job.tasks,
      cpus: job.cpus,
      accelerators: 0,
      memGb: job.memGb,
      builds: null,
      yard: job.zone,
      oneZone: job.singleZone,
      scatter: job.zoneSpread,
      loaner: job.spot,
      cast: 'img-1',
      sizeGb: 1,
      guessS: job.runS,
      pinS: 0,
      pinningS: 0,
      dueS: job.deadlineS,
      ...(job.dependencies.length > 0 ? { awaits: job.dependencies } : {}),
    };
  }
}
