/**
 * Repeatedly pauses, kills or isolates holders of leased roles. The controllers are real processes on loopback under
 * a stream of jobs, with simulated services. Reports what was accepted from replaced holders, and how long a role had
 * no holder.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Command } from 'commander';
import { build, type Histogram } from 'hdr-histogram-js';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { decodeIntent, ROLES, roleHolderKey, type Role } from '@pumicehinge/duties';
import { systemClock } from '@pumicehinge/runtime';
import { RoleActionLog, removeFencingConditions } from '../../src/simulation/role-action-log.js';
import { LoopbackCluster } from '../../src/simulation/loopback-cluster.js';
import type { SimulatedHandler } from '../../src/simulation/network.js';

const TIMING = { reportS: 1, leaseS: 10, cancelS: 30, bootS: 1 };
const MACHINES = 20;
const SETTLE_MS = 6_000;
const TRIGGER_TIMEOUT_MS = 5_000;
/** Longer than the lease of the roles. */
const PAUSE_MS = 5_000;
const MAX_EXTRA_PAUSE_MS = 2_000;
const TAKEOVER_TIMEOUT_MS = 30_000;
const RECOVERY_MS = 1_500;
const HANG_INTERVAL_MS = 10_000;
/**
 * Shorter than the lease of a worker, because a simulated worker does not end its tasks while it hangs, even when its
 * lease has expired.
 */
const HANG_MS = 8_000;
const COMPLETION_TIMEOUT_S = 90;

/** The ways in which a holder fails. */
const FAILURES = [
  'paused when its intent arrives',
  'paused when its call arrives',
  'paused while its call is delayed',
  'paused at a random time',
  'killed and restarted',
  'isolated from the state service',
] as const;
type Failure = (typeof FAILURES)[number];

/** Options of the command line. */
interface Options {
  clusters: string;
  controllers: string;
  rounds: string;
  withoutFences: boolean;
  out?: string;
}

const sleep = (ms: number): Promise<void> => new Promise((resolve) => systemClock.setTimer(ms, resolve));

/** One cluster, in which one holder after another fails. */
class ClusterTrial {
  readonly actionLog: RoleActionLog;
  readonly takeoverTimes = new Map<Failure, Histogram>();
  /** Failures after which no member took the role over. */
  readonly missedTakeovers: string[] = [];
  readonly jobs: string[] = [];
  private readonly cluster: LoopbackCluster;
  private readonly random: () => number;
  private pendingFailure: { failure: Failure; role: Role; fail: (member: string) => void } | undefined;

  constructor(
    index: number,
    controllers: number,
    folder: string,
    private readonly skipsFencing: boolean,
  ) {
    const generator = xoroshiro128plus(1000 + index);
    this.random = () => uniformFloat64(generator);
    this.cluster = new LoopbackCluster({
      ...{ controllers, machineCapacity: MACHINES, timing: TIMING, folder, random: this.random },
      operatorSettings: { idleKeepS: 1, duties: { enabled: true } },
    });
    this.actionLog = new RoleActionLog(this.cluster.state, this.cluster.cloud, () => systemClock.steadyMs());
  }

  async run(rounds: number): Promise<void> {
    await this.cluster.start((service, handler) =>
      this.intercept(service, this.actionLog.wrap(service, handler)),
    );
    await sleep(SETTLE_MS);
    const submitTimer = setInterval(() => this.submit(), 3_000);
    const hangTimer = setInterval(() => this.hangRandomWorker(), HANG_INTERVAL_MS);
    for (let round = 0; round < rounds; round++)
      await this.injectFailure(
        FAILURES[round % FAILURES.length]!,
        ROLES[Math.floor(this.random() * ROLES.length)]!,
      );
    clearInterval(submitTimer);
    clearInterval(hangTimer);
    await this.waitForJobs();
    await this.cluster.stop();
  }

  get violations(): readonly string[] {
    return this.cluster.rules.violations;
  }

  get restartCount(): number {
    return this.cluster.rules.restartCount;
  }

  listUnfinishedJobs(): string[] {
    return this.jobs.filter((uid) => {
      const tracked = this.cluster.rules.jobs.get(uid);
      return tracked?.completedTasks.size !== tracked?.job.tasks;
    });
  }

  private submit(): void {
    this.jobs.push(this.cluster.users.submit('array', 1 + Math.floor(this.random() * 12), 2));
  }

  private hangRandomWorker(): void {
    const workingHosts = [...this.cluster.cloud.machines.values()].filter(
      ({ worker }) => worker && !worker.isHanging,
    );
    const chosen = workingHosts[Math.floor(this.random() * workingHosts.length)];
    const worker = chosen?.worker;
    if (!worker) return;
    worker.isHanging = true;
    // The controllers return most hanging machines before HANG_MS have passed. The others run on, so that they do not
    // take up cloud capacity for ever.
    systemClock.setTimer(HANG_MS, () => (worker.isHanging = false));
  }

  private async waitForJobs(): Promise<void> {
    for (let i = 0; i < COMPLETION_TIMEOUT_S && this.listUnfinishedJobs().length > 0; i++) await sleep(1_000);
  }

  private intercept(service: 'state' | 'cloud', handler: SimulatedHandler): SimulatedHandler {
    return async (from, method, target, body) => {
      const forwardedBody = this.skipsFencing && target === '/multi' ? removeFencingConditions(body!) : body;
      if (this.pendingFailure && this.isTriggerRequest(service, from, method, target, body)) {
        const { failure, fail } = this.pendingFailure;
        this.pendingFailure = undefined;
        fail(from);
        if (failure === 'paused while its call is delayed') await sleep(PAUSE_MS);
      }
      return handler(from, method, target, forwardedBody);
    };
  }

  /** Whether this request is the one at which the pending failure is to occur. */
  private isTriggerRequest(
    service: 'state' | 'cloud',
    from: string,
    method: string,
    target: string,
    body: string | undefined,
  ): boolean {
    const { failure, role } = this.pendingFailure!;
    if (body === undefined || method !== 'POST' || this.actionLog.getHolder(role) !== from) return false;
    if (service === 'state')
      return failure === 'paused when its intent arrives' && target === '/multi' && commitsIntent(body, role);
    const isCall = role === 'rent' ? target === '/hosts' : target === '/hosts/return';
    return failure !== 'paused when its intent arrives' && isCall;
  }

  private async injectFailure(failure: Failure, role: Role): Promise<void> {
    const holder = await this.waitForHolder(role);
    if (holder === undefined) return void this.missedTakeovers.push(`${role}: no holder before "${failure}"`);
    const failureTime = new Promise<number>((resolve) => {
      const fail = (member: string): void => {
        this.applyFailure(failure, member);
        resolve(systemClock.steadyMs());
      };
      this.pendingFailure = { failure, role, fail };
      const needsNoTrigger =
        role === 'cleanup' || !failure.startsWith('paused') || failure === 'paused at a random time';
      // Without a trigger, or if no matching request arrives in time, the holder fails after this delay.
      systemClock.setTimer(needsNoTrigger ? this.random() * 500 : TRIGGER_TIMEOUT_MS, () => {
        if (this.pendingFailure?.fail !== fail) return;
        this.pendingFailure = undefined;
        fail(holder);
      });
    });
    const token = this.actionLog.getFencingToken(role) ?? Infinity;
    const failureMs = await failureTime;
    const takeoverMs = await this.waitForTakeover(role, token);
    if (takeoverMs === undefined) this.missedTakeovers.push(`${role} after "${failure}"`);
    else this.getHistogram(failure).recordValue(Math.round(takeoverMs - failureMs));
    await sleep(
      Math.max(0, PAUSE_MS + MAX_EXTRA_PAUSE_MS + RECOVERY_MS - (systemClock.steadyMs() - failureMs)),
    );
  }

  private applyFailure(failure: Failure, member: string): void {
    const { cluster } = this;
    const durationMs = PAUSE_MS + this.random() * MAX_EXTRA_PAUSE_MS;
    switch (failure) {
      case 'killed and restarted':
        cluster.kill(member);
        return void systemClock.setTimer(durationMs, () => cluster.startController(member));
      case 'isolated from the state service':
        cluster.isolatedFromState.add(member);
        return void systemClock.setTimer(durationMs, () => cluster.isolatedFromState.delete(member));
      default:
        cluster.pause(member);
        return void systemClock.setTimer(durationMs, () => cluster.resume(member));
    }
  }

  private async waitForHolder(role: Role): Promise<string | undefined> {
    for (let waitedMs = 0; waitedMs < TAKEOVER_TIMEOUT_MS; waitedMs += 50) {
      const holder = this.actionLog.getHolder(role);
      if (holder !== undefined) return holder;
      await sleep(50);
    }
    return undefined;
  }

  /**
   * Waits until the role is held under a higher fencing token, and returns the steady time in milliseconds. Undefined
   * if the role is not taken over in time. An isolated member may acquire the role again itself.
   */
  private async waitForTakeover(role: Role, formerToken: number): Promise<number | undefined> {
    const deadlineMs = systemClock.steadyMs() + TAKEOVER_TIMEOUT_MS;
    while (systemClock.steadyMs() < deadlineMs) {
      if ((this.actionLog.getFencingToken(role) ?? -Infinity) > formerToken) return systemClock.steadyMs();
      await sleep(10);
    }
    return undefined;
  }

  private getHistogram(failure: Failure): Histogram {
    let histogram = this.takeoverTimes.get(failure);
    if (!histogram) this.takeoverTimes.set(failure, (histogram = build()));
    return histogram;
  }
}

/** Whether a transaction stores a committed intent of the role. */
function commitsIntent(body: string, role: Role): boolean {
  const { apply = [] } = JSON.parse(body) as { apply?: { put?: string; v?: unknown }[] };
  return apply.some(({ put, v }) => {
    const intent = put === undefined || put === roleHolderKey(role) ? undefined : decodeIntent(put, v);
    return intent?.role === role && intent.state === 'committed';
  });
}

function formatRow(name: string, histogram: Histogram): string {
  const percentile = (percent: number): number => histogram.getValueAtPercentile(percent);
  return `| ${name} | ${histogram.totalCount} | ${percentile(50)} | ${percentile(99)} | ${histogram.maxValue} |`;
}

function formatReport(trials: readonly ClusterTrial[]): string {
  const staleSummaries = trials.map(({ actionLog }) => actionLog.summarizeStaleActions());
  const sum = (count: (trial: (typeof staleSummaries)[number]) => number): number =>
    staleSummaries.reduce((total, each) => total + count(each), 0);
  const rows = FAILURES.map((failure) => {
    const combined = build();
    for (const { takeoverTimes } of trials) {
      const histogram = takeoverTimes.get(failure);
      if (histogram) combined.add(histogram);
    }
    return formatRow(failure, combined);
  });
  return [
    '| failure of the holder | count | median ms | p99 ms | max ms until the role is held under a higher token |',
    '| --- | --- | --- | --- | --- |',
    ...rows,
    '',
    `actions received: ${trials.reduce((total, { actionLog }) => total + actionLog.actions.length, 0)}`,
    `accepted from a replaced holder: ${sum(({ acceptedActions }) => acceptedActions.length)}`,
    `stale calls without effect: ${sum(({ ineffectiveCallCount }) => ineffectiveCallCount)}`,
    `stale calls that were the first to carry out a committed intent: ${sum(({ committedEffectCount }) => committedEffectCount)}`,
    `failures without a takeover: ${trials.flatMap(({ missedTakeovers }) => missedTakeovers).join('; ') || 0}`,
    `jobs: ${trials.reduce((total, { jobs }) => total + jobs.length, 0)}, not done: ${trials.flatMap((trial) => trial.listUnfinishedJobs()).length}`,
    `rule violations: ${trials.flatMap(({ violations }) => violations).join('; ') || 0}`,
    '',
  ].join('\n');
}

async function run(options: Options): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), 'duties-'));
  const trials = Array.from(
    { length: Number(options.clusters) },
    (_, i) =>
      new ClusterTrial(i, Number(options.controllers), join(folder, String(i)), options.withoutFences),
  );
  await Promise.all(trials.map((trial) => trial.run(Number(options.rounds))));
  const reportText = formatReport(trials);
  process.stdout.write(reportText);
  if (options.out !== undefined) writeFileSync(options.out, reportText);
  rmSync(folder, { recursive: true });
  process.exit(0);
}

await new Command('role-holder-failures')
  .option('--clusters <n>', 'number of clusters that run side by side', '6')
  .option('--controllers <n>', 'number of controllers of each cluster', '3')
  .option('--rounds <n>', 'number of failures in each cluster', '40')
  .option(
    '--without-fences',
    'remove the fencing conditions of the roles from all transactions, so that the check must report violations',
    false,
  )
  .option('--out <file>', 'also write the report to this file')
  .action(run)
  .parseAsync();
