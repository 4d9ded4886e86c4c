/**
 * Runs real controller processes on loopback against a simulated state service, cloud, workers and users. A test and
 * a script use it to make holders of leased roles fail, and another script uses it to profile controllers under load.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { mkdirSync, openSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { pino } from 'pino';
import { parse } from 'smol-toml';
import { SimulatedCloud } from './cloud.js';
import { backgroundClock, findFreePorts, LoopbackNetwork, WORKER_PORT } from './loopback-network.js';
import { LoopbackUsers } from './loopback-users.js';
import type { SimulatedHandler } from './network.js';
import { RuleChecker } from './rule-checker.js';
import { SimulatedStateService } from './state-service.js';
import { createTaskFaults, SimulatedWorker } from './simulated-worker.js';

const ZONES = ['east', 'west'];
const MACHINE_CPUS = 4;
/**
 * Seconds after a confirmed cancellation during which an earlier start command may be in transit, or the image of its
 * task may be fetched.
 */
const COMMAND_TRANSIT_S = 8;

/** Options of a cluster on loopback. */
export interface LoopbackClusterOptions {
  controllers: number;
  /** The most machines that the cloud rents out at the same time. */
  machineCapacity: number;
  timing: { reportS: number; leaseS: number; cancelS: number; bootS: number };
  /** Folder for the settings and logs of the processes. */
  folder: string;
  /** Operator settings of every controller. Without it, controllers start without an operator file. */
  operatorSettings?: unknown;
  /** Returns the node flags of a controller, in addition to those of the deploy file. */
  nodeFlags?: (member: string) => string[];
  /** Returns additional environment variables of a controller. */
  environment?: (member: string) => Record<string, string>;
  random: () => number;
}

/**
 * The addresses of one controller. The state service and the cloud have separate addresses for each controller, by
 * which they know the sender of a request.
 */
interface ControllerAddresses {
  user: string;
  peer: string;
  state: string;
  cloud: string;
}

/** Real controller processes on loopback, with a simulated state service, cloud and workers. */
export class LoopbackCluster {
  readonly state: SimulatedStateService;
  readonly cloud: SimulatedCloud;
  readonly rules: RuleChecker;
  readonly members: readonly string[];
  /** Members whose requests the state service leaves unanswered. */
  readonly isolatedFromState = new Set<string>();
  /** Members whose requests the cloud leaves unanswered. */
  readonly isolatedFromCloud = new Set<string>();
  private readonly log = pino({ level: 'warn' });
  /** The network of the simulated services, workers and users. */
  readonly network = new LoopbackNetwork(this.log);
  private readonly addresses = new Map<string, ControllerAddresses>();
  private readonly processes = new Map<string, ChildProcess>();
  private readonly finishedTasks = new Set<string>();
  /** How tasks fail on all machines. No task fails until a scenario raises a share. */
  readonly taskFaults = createTaskFaults();
  private startedUsers!: LoopbackUsers;
  private workerCount = 0;
  /** Second byte of the workers' loopback addresses. */
  private addressBlock = 0;

  constructor(private readonly options: LoopbackClusterOptions) {
    const { controllers, machineCapacity, timing, random } = options;
    this.members = Array.from({ length: controllers }, (_, i) => `controller-${i}`);
    this.state = new SimulatedStateService(backgroundClock, random);
    const teamCpuLimits = new Map([['blue', machineCapacity * MACHINE_CPUS]]);
    this.rules = new RuleChecker(
      () => backgroundClock.steadyMs(),
      teamCpuLimits,
      timing.cancelS,
      COMMAND_TRANSIT_S,
    );
    const instanceType = { sku: 'm4', cpus: MACHINE_CPUS, memGb: 16, bootS: timing.bootS, price: 0.2 };
    this.cloud = new SimulatedCloud(backgroundClock, [instanceType], ZONES, machineCapacity, (machine) =>
      this.startWorker(machine),
    );
  }

  /**
   * Starts the simulated services and then the controllers. `wrap` may replace the handlers of the services, for
   * example to log or delay requests.
   */
  async start(
    wrap: (service: 'state' | 'cloud', handler: SimulatedHandler) => SimulatedHandler = (_, serviceHandler) =>
      serviceHandler,
  ): Promise<void> {
    mkdirSync(this.options.folder, { recursive: true });
    const state = wrap('state', (...request) => this.state.handle(...request));
    const cloud = wrap('cloud', (...request) => this.cloud.handle(...request));
    this.addressBlock = await this.network.reserveAddressBlock();
    const ports = await findFreePorts(4 * this.members.length);
    const nextAddress = (): string => `127.0.0.1:${ports.pop()}`;
    for (const member of this.members)
      this.addresses.set(member, {
        user: nextAddress(),
        peer: nextAddress(),
        state: nextAddress(),
        cloud: nextAddress(),
      });
    for (const [member, controllerAddresses] of this.addresses) {
      await this.network.attach(
        'state',
        controllerAddresses.state,
        ignoreCallers(this.isolatedFromState, state),
        member,
      );
      await this.network.attach(
        'cloud',
        controllerAddresses.cloud,
        ignoreCallers(this.isolatedFromCloud, cloud),
        member,
      );
    }
    const addresses = [...this.addresses.values()].map(({ user }) => user);
    this.startedUsers = new LoopbackUsers(this.rules, addresses, this.options.random);
    for (const member of this.members) this.startController(member);
  }

  /** The users that submit jobs. Available after `start`. */
  get users(): LoopbackUsers {
    return this.startedUsers;
  }

  /** Suspends the process of a controller. The process does not notice, and the clocks run on. */
  pause(member: string): void {
    this.processes.get(member)?.kill('SIGSTOP');
  }

  /** Lets a suspended process run again. */
  resume(member: string): void {
    this.processes.get(member)?.kill('SIGCONT');
  }

  /** Kills the process of a controller. */
  kill(member: string): void {
    this.processes.get(member)?.kill('SIGKILL');
  }

  /** Writes the settings of a controller and starts its process. */
  startController(member: string): void {
    const { folder, operatorSettings, nodeFlags, environment } = this.options;
    const file = join(folder, `${member}.toml`);
    writeFileSync(file, this.formatSettings(member));
    // Each controller has a file of its own. Another one may read its file at this moment.
    const operatorFile = join(folder, `${member}-operator.json`);
    if (operatorSettings !== undefined) writeFileSync(operatorFile, JSON.stringify(operatorSettings));
    const flags = [...readDeployFlags(), ...(nodeFlags?.(member) ?? [])];
    const operatorArgs = operatorSettings === undefined ? [] : ['--operator', operatorFile];
    const child = spawn(process.execPath, [...flags, 'target/main.cjs', '--config', file, ...operatorArgs], {
      stdio: ['ignore', 'ignore', openSync(join(folder, `${member}.log`), 'a')],
      env: { ...process.env, LOG_LEVEL: 'info', ...environment?.(member) },
    });
    this.processes.set(member, child);
  }

  /** Ends all processes. The default signal also ends suspended ones, which cannot handle any other. */
  async stop(signal: NodeJS.Signals = 'SIGKILL'): Promise<void> {
    const exits = [...this.processes.values()].map(
      (child) =>
        new Promise<void>((resolve) => {
          if (child.exitCode !== null || child.signalCode !== null) return resolve();
          child.on('exit', () => resolve());
          child.kill(signal);
        }),
    );
    await Promise.all(exits);
    this.startedUsers.close();
    this.network.close();
  }

  private startWorker(machine: ConstructorParameters<typeof SimulatedWorker>[0]): SimulatedWorker {
    this.workerCount++;
    const { reportS, leaseS } = this.options.timing;
    const controllers = [...this.addresses].map(([member, { user }]) => ({ member, address: user }));
    const address = `127.${this.addressBlock}.${this.workerCount >> 8}.${this.workerCount & 255}:${WORKER_PORT}`;
    const timing = { reportS, leaseS, fetchS: 1 };
    const { network, rules, finishedTasks } = this;
    const { random } = this.options;
    const workerNetwork = {
      attach: (host: string, address: string, handler: SimulatedHandler) =>
        void network.attach(host, address, handler),
      createHttpClient: () => network.createHttpClient(),
      // Nothing is held back on loopback.
      dropHeldRequests: () => undefined,
    };
    return new SimulatedWorker(
      { ...machine, address },
      controllers,
      timing,
      backgroundClock,
      workerNetwork,
      rules,
      random,
      finishedTasks,
      this.taskFaults,
    );
  }

  private formatSettings(member: string): string {
    const addresses = this.addresses.get(member)!;
    const { controllers, machineCapacity, timing } = this.options;
    const getZone = (name: string): string => ZONES[this.members.indexOf(name) % 2]!;
    const seeds = this.members
      .filter((other) => other !== member)
      .map(
        (other) =>
          `[[seeds]]\nmember = "${other}"\ndomain = "${getZone(other)}"\naddress = "${this.addresses.get(other)!.peer}"\n`,
      );
    return `member = "${member}"
domain = "${getZone(member)}"
public_addr = "${addresses.user}"
cluster_listen = "${addresses.peer}"
${seeds.join('')}
[endpoints]
cloud = "${addresses.cloud}"
state = "${addresses.state}"
[deployment]
count = ${controllers}
zones = ["east", "west"]
clock_error_ms = 100.0
[[deployment.teams]]
name = "blue"
cpus = ${(machineCapacity * MACHINE_CPUS) / 2}.0
cpus_max = ${machineCapacity * MACHINE_CPUS}.0
gpus = 0.0
gpus_max = 0.0
[deployment.workers]
report_s = ${timing.reportS}
lease_s = ${timing.leaseS}.0
cancel_s = ${timing.cancelS}.0
[deployment.state]
rps = 400.0
write_rps = 150.0
value_kb = 8.0
txn_ops = 12
[deployment.cloud]
rps = 8.0
list_lag_s = 5.0
[deployment.quota]
core_share = 0.2
mem_mb = 250.0
max_connections = ${Math.max(900, Math.ceil(machineCapacity * 1.6))}
`;
  }
}

/** Returns a handler that never answers the callers in `ignored`. */
const ignoreCallers =
  (ignored: ReadonlySet<string>, handler: SimulatedHandler): SimulatedHandler =>
  (from, ...request) =>
    ignored.has(from) ? Promise.resolve(undefined) : handler(from, ...request);

/** Reads the node flags with which the deploy file starts a controller. */
function readDeployFlags(): string[] {
  const commandWords = String(parse(readFileSync('deploy/service.toml', 'utf8')).run).split(' ');
  return commandWords.slice(1, commandWords.indexOf('target/main.cjs'));
}
