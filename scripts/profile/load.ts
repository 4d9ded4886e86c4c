/**
 * Runs real controllers on loopback under the load of a deployment, each with node's own CPU profiler, against the
 * stand-ins of the state service, the cloud and the workers. `report.ts` makes tables of what it leaves behind.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { Command } from 'commander';
import { pino } from 'pino';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { parse } from 'smol-toml';
import { systemClock } from '../../src/clock.js';
import { SocketCaller } from '../../src/http/client.js';
import type { HttpCaller } from '../../src/http/message.js';
import { serveHttp } from '../../src/http/server.js';
import { SimCloud } from '../../src/simulation/cloud.js';
import type { SimHandler } from '../../src/simulation/network.js';
import { SimRules, type SimJob } from '../../src/simulation/rules.js';
import { SimStateService } from '../../src/simulation/state-service.js';
import { SimWorker } from '../../src/simulation/workers.js';

const STATE_ADDRESS = '127.0.0.1:23790';
const CLOUD_ADDRESS = '127.0.0.1:23791';
const FIRST_PORT = 23800;
const ZONES = ['east', 'west'];
const REPORT_S = 2.5;
const LEASE_S = 15;
const CANCEL_S = 40;
const MACHINE_CPUS = 4;
/** No loaded machine answers slower than this; a stand-in that is late would be measured as our delay. */
const MAX_STAND_IN_CONNECTIONS = 50_000;
const POLL_EVERY_S = 5;

interface Options {
  controllers: string;
  machines: string;
  seconds: string;
  jobsPerSecond: string;
  out: string;
}

const log = pino({ level: 'warn' });
const generator = xoroshiro128plus(1);
const random = (): number => uniformFloat64(generator);

/** The part of the simulated network that the stand-ins use, over real sockets. */
const network = {
  attach(_host: string, address: string, handler: SimHandler): void {
    void serveHttp(
      address,
      MAX_STAND_IN_CONNECTIONS,
      (request, respond) => {
        const target = request.query === '' ? request.path : `${request.path}?${request.query}`;
        const body = request.body === '' ? undefined : request.body;
        void handler('', request.method, target, body).then((response) => {
          if (response) respond(response);
        });
      },
      systemClock,
      log,
    );
  },
  caller: (): HttpCaller => new SocketCaller(systemClock, 1, 4),
};

const memberName = (index: number): string => `controller-${index}`;
const userAddress = (index: number): string => `127.0.0.1:${FIRST_PORT + 2 * index}`;
const peerAddress = (index: number): string => `127.0.0.1:${FIRST_PORT + 2 * index + 1}`;

function settingsFile(index: number, controllers: number, machines: number): string {
  const seeds = Array.from({ length: controllers }, (_, other) => other).filter((other) => other !== index);
  const seedTables = seeds.map(
    (other) =>
      `[[seeds]]\nmember = "${memberName(other)}"\ndomain = "${ZONES[other % 2]}"\naddress = "${peerAddress(other)}"\n`,
  );
  return `member = "${memberName(index)}"
domain = "${ZONES[index % 2]}"
public_addr = "${userAddress(index)}"
cluster_listen = "${peerAddress(index)}"
${seedTables.join('')}
[endpoints]
cloud = "${CLOUD_ADDRESS}"
state = "${STATE_ADDRESS}"
[deployment]
count = ${controllers}
zones = ["east", "west"]
clock_error_ms = 100.0
[[deployment.teams]]
name = "blue"
cpus = ${(machines * MACHINE_CPUS) / 2}.0
cpus_max = ${machines * MACHINE_CPUS}.0
gpus = 0.0
gpus_max = 0.0
[deployment.workers]
report_s = ${REPORT_S}
lease_s = ${LEASE_S}.0
cancel_s = ${CANCEL_S}.0
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
max_connections = ${Math.max(900, Math.ceil(machines * 1.6))}
`;
}

/** The flags of node with which the deploy file starts a controller. */
function deployFlags(): string[] {
  const words = String(parse(readFileSync('deploy/service.toml', 'utf8')).run).split(' ');
  return words.slice(1, words.indexOf('target/main.cjs'));
}

function startController(index: number, controllers: number, machines: number, out: string): ChildProcess {
  const file = join(out, `${memberName(index)}.toml`);
  writeFileSync(file, settingsFile(index, controllers, machines));
  const hook = join(import.meta.dirname, 'hook.cjs');
  const profile = ['--cpu-prof', `--cpu-prof-dir=${out}`, `--cpu-prof-name=${memberName(index)}.cpuprofile`];
  return spawn(
    process.execPath,
    [
      ...deployFlags(),
      ...profile,
      '--cpu-prof-interval=250',
      '--require',
      hook,
      'target/main.cjs',
      '--config',
      file,
    ],
    {
      stdio: ['ignore', 'ignore', 'inherit'],
      env: {
        ...process.env,
        LOG_LEVEL: 'info',
        PROFILE_MEMORY_FILE: join(out, `${memberName(index)}.memory.json`),
      },
    },
  );
}

/** Submits arrays at the given rate, and asks about each until it is done. */
class Users {
  private readonly caller = new SocketCaller(systemClock, 8, 8);
  private count = 0;

  constructor(
    private readonly rules: SimRules,
    private readonly controllers: number,
  ) {}

  submit(kind: SimJob['kind'], tasks: number, runS: number): void {
    const uid = `job-${String(this.count++).padStart(6, '0')}`;
    this.rules.add({
      uid,
      team: 'blue',
      kind,
      tasks,
      cpus: 2,
      spot: true,
      scatter: false,
      oneZone: false,
      zone: null,
      runS,
      dueS: null,
      dependencies: [],
    });
    const body = {
      uid,
      cohort: 'batch',
      crew: 'blue',
      shape: kind === 'service' ? 'standing' : 'sweep',
      rank: 'standard',
      pieces: tasks,
      cpus: 2,
      accelerators: 0,
      memGb: 4,
      cast: 'image-1',
      sizeGb: 1,
      builds: null,
      yard: null,
      oneZone: false,
      scatter: false,
      loaner: true,
      guessS: kind === 'service' ? 0 : runS,
      pinS: 0,
      pinningS: 0,
      dueS: kind === 'service' ? null : runS * 2 + 15,
    };
    this.ask('POST', '/submissions', JSON.stringify(body)).then(
      (status) => (status >= 400 ? this.retry(body) : this.poll(uid)),
      () => this.retry(body),
    );
  }

  private retry(body: object): void {
    systemClock.after(1000, () => {
      this.ask('POST', '/submissions', JSON.stringify(body)).catch(() => this.retry(body));
    });
  }

  private poll(uid: string): void {
    systemClock.after(POLL_EVERY_S * 1000, () => {
      this.ask('GET', `/submissions/${uid}`).then(
        () => this.poll(uid),
        () => this.poll(uid),
      );
    });
  }

  private async ask(method: string, path: string, body?: string): Promise<number> {
    const address = userAddress(Math.floor(random() * this.controllers));
    return (await this.caller.call(address, method, path, body, 5000)).status;
  }
}

async function run(options: Options): Promise<void> {
  const controllers = Number(options.controllers);
  const machines = Number(options.machines);
  mkdirSync(options.out, { recursive: true });
  const state = new SimStateService(systemClock, random);
  const rules = new SimRules(
    () => systemClock.steadyMs(),
    new Map([['blue', machines * MACHINE_CPUS]]),
    CANCEL_S,
    8,
  );
  const targets = Array.from({ length: controllers }, (_, i) => ({
    member: memberName(i),
    address: userAddress(i),
  }));
  const finished = new Set<string>();
  let booted = 0;
  const cloud = new SimCloud(
    systemClock,
    [{ sku: 'm4', cpus: MACHINE_CPUS, memGb: 16, bootS: 5, price: 0.2 }],
    ZONES,
    machines,
    (place) => {
      booted++;
      const address = `127.1.${booted >> 8}.${booted & 255}:9000`;
      const timing = { reportS: REPORT_S, leaseS: LEASE_S, fetchS: 1 };
      return new SimWorker(
        { ...place, address },
        targets,
        timing,
        systemClock,
        network,
        rules,
        random,
        finished,
      );
    },
  );
  network.attach('state', STATE_ADDRESS, (...args) => state.handle(...args));
  network.attach('cloud', CLOUD_ADDRESS, (...args) => cloud.handle(...args));
  const processes = targets.map((_, index) => startController(index, controllers, machines, options.out));
  process.on('exit', () => processes.forEach((child) => child.kill('SIGKILL')));
  const users = new Users(rules, controllers);
  systemClock.after(4000, () => {
    for (let i = 0; i < 8; i++) users.submit('service', 8, 0);
    for (let i = 0; i < machines / 12; i++) users.submit('array', 20, 50);
    const next = (): void => {
      users.submit('array', 20, 50);
      systemClock.after((1000 / Number(options.jobsPerSecond)) * 2 * random(), next);
    };
    next();
  });
  await new Promise<void>((resolve) => systemClock.after(Number(options.seconds) * 1000, resolve));
  process.stdout.write(`${cloud.hosts.size} machines, ${rules.started} starts\n`);
  await Promise.all(
    processes.map(
      (child) =>
        new Promise<void>((resolve) => {
          if (child.exitCode !== null) return resolve();
          child.on('exit', () => resolve());
          child.kill('SIGTERM');
        }),
    ),
  );
  process.exit(0);
}

await new Command('load')
  .option('--controllers <n>', 'controllers', '3')
  .option('--machines <n>', 'machines that the cloud has', '300')
  .option('--seconds <n>', 'length of the run', '60')
  .option('--jobs-per-second <n>', 'arrays submitted a second', '0.15')
  .requiredOption('--out <dir>', 'directory for the profiles')
  .action(run)
  .parseAsync();
