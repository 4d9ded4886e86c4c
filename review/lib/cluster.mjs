// Starts the project's controllers with the command of the deploy file, beside the stand-ins, on loopback.
import { spawn } from 'node:child_process';
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { call, Cloud, freePorts, Ledger, listen, now, sleep, StateService, Worker } from './standins.mjs';

export { call, now, sleep };
export const root = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
export const hasTrouble = process.env.TROUBLE !== '0';

export class Cluster {
  constructor(recordFile, options) {
    this.options = options;
    this.lines = [];
    this.recordFile = recordFile;
    this.startedAt = now();
    this.record = (text) => this.lines.push(`${((now() - this.startedAt) / 1000).toFixed(3).padStart(8)} ${text}`);
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.ledger = new Ledger(this.record);
    this.state = new StateService(options.state);
    this.cloud = new Cloud({
      types: options.types,
      capacity: options.capacity,
      listLagMs: options.list_lag_s * 1000,
      startWorker: (machine) => this.startWorker(machine),
      record: this.record,
    });
    this.processes = new Map();
    this.servers = [];
    this.workers = new Map();
    this.agents = [];
    this.refusedReports = [];
  }
  async start(members = this.options.members.map(({ member }) => member)) {
    const ports = await freePorts(this.options.members.length * 4);
    this.members = this.options.members.map(({ member, zone }) => ({
      member,
      zone,
      user: `127.0.0.1:${ports.pop()}`,
      peer: `127.0.0.1:${ports.pop()}`,
      state: `127.0.0.1:${ports.pop()}`,
      cloud: `127.0.0.1:${ports.pop()}`,
    }));
    for (const { member, state, cloud } of this.members) {
      const serve = async (address, handler) =>
        this.servers.push(await listen('127.0.0.1', Number(address.split(':')[1]), (...request) => handler(member, ...request)));
      await serve(state, (...request) => this.state.handle(...request));
      await serve(cloud, (...request) => this.cloud.handle(...request));
    }
    this.block = await reserveBlock(this.servers);
    for (const member of members) this.startController(member);
  }
  find(member) {
    return this.members.find((candidate) => candidate.member === member);
  }
  startController(member) {
    const file = join(this.folder, `${member}.toml`);
    writeFileSync(file, this.settings(member));
    const command = /^run = "(.*)"$/m.exec(readFileSync(join(root, 'deploy', 'service.toml'), 'utf8'))[1].split(' ');
    const log = openSync(join(this.folder, `${member}.log`), 'a');
    const child = spawn(command[0], [...command.slice(1), file], {
      cwd: root,
      stdio: ['ignore', 'ignore', log],
      env: { ...process.env, LOG_LEVEL: process.env.REVIEW_LOG ?? 'info' },
    });
    closeSync(log);
    this.processes.set(member, child);
    this.record(`controller ${member} started`);
    child.on('exit', (code, signal) => {
      this.record(`controller ${member} ended (${signal ?? code})`);
      if (this.processes.get(member) === child && !this.isStopping && !child.wasKilled) this.unexpectedEnds = (this.unexpectedEnds ?? 0) + 1;
    });
  }
  signal(member, signal) {
    const child = this.processes.get(member);
    if (signal === 'SIGKILL') child.wasKilled = true;
    this.record(`${signal} to ${member}`);
    child.kill(signal);
  }
  async startWorker(machine) {
    const number = this.workers.size + 1;
    const worker = new Worker({
      machine,
      address: `127.${this.block}.${number >> 8}.${number & 255}:9000`,
      controllers: this.members.map(({ member, user }) => ({ member, address: user })),
      firstController: this.options.firstController?.(machine) ?? number % this.members.length,
      timing: this.options.workers,
      ledger: this.ledger,
      record: this.record,
    });
    worker.refusals = (...refusal) => this.refusedReports.push(refusal);
    this.workers.set(machine.name, worker);
    await worker.listen();
    this.record(`machine ${machine.name} is up (${machine.type.sku}, ${machine.zone})`);
    return worker;
  }
  settings(member) {
    const { zones, teams, workers, state, cloud_rps, list_lag_s, quota, objectives = [], state_next } = this.options;
    const own = this.find(member);
    const number = (value) => (Number.isInteger(value) ? value.toFixed(1) : String(value));
    const seeds = this.members.filter((other) => other !== own);
    return [
      `member = "${member}"`,
      `domain = "${own.zone}"`,
      `public_addr = "${own.user}"`,
      `cluster_listen = "${own.peer}"`,
      ...seeds.map((seed) => `[[seeds]]\nmember = "${seed.member}"\ndomain = "${seed.zone}"\naddress = "${(this.peerAddress ?? ((_, to) => to.peer))(own, seed)}"`),
      `[endpoints]\ncloud = "${own.cloud}"\nstate = "${own.state}"`,
      `[deployment]\ncount = ${this.members.length}\nzones = ${JSON.stringify(zones)}\nclock_error_ms = 1000.0`,
      ...teams.map((team) => `[[deployment.teams]]\nname = "${team.name}"\ncpus = ${number(team.cpus)}\ncpus_max = ${number(team.cpus_max)}\ngpus = 0.0\ngpus_max = 0.0`),
      ...objectives,
      `[deployment.workers]\nreport_s = ${number(workers.report_s)}\nlease_s = ${number(workers.lease_s)}\ngang_wait_s = 30.0\ngang_peer_s = 6.0\ncancel_s = ${number(workers.cancel_s)}`,
      `[deployment.state]\nrps = ${number(state.rps)}\nwrite_rps = ${number(state.write_rps)}\nvalue_kb = ${number(state.value_kb)}\ntxn_ops = ${state.txn_ops}`,
      ...(state_next ? [`[deployment.state.next]\nrps = ${number(state_next.rps)}\nwrite_rps = ${number(state_next.write_rps)}\nvalue_kb = ${number(state_next.value_kb)}\ntxn_ops = ${state_next.txn_ops}`] : []),
      `[deployment.cloud]\nrps = ${number(cloud_rps)}\nlist_lag_s = ${number(list_lag_s)}`,
      `[deployment.quota]\ncore_share = ${quota.core_share}\nmem_mb = ${number(quota.mem_mb)}\nmax_connections = ${quota.max_connections}`,
      '',
    ].join('\n');
  }
  /** Restarts a controller; it is back after `delayMs`. Resolves when it answers /healthz with 200. */
  async restart(member, delayMs) {
    this.signal(member, 'SIGKILL');
    await sleep(delayMs);
    this.startController(member);
    await this.until(`${member} is healthy`, async () => (await this.health(member)) === 200, 20_000);
  }
  async health(member) {
    return (await call(false, this.find(member).user, 'GET', '/healthz', undefined, 1000))?.status;
  }
  /** The member that the leader's key names. */
  get leader() {
    return this.state.value('ph/leader')?.member;
  }
  agent() {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 4 });
    this.agents.push(agent);
    return agent;
  }
  async ask(member, method, path, body, timeoutMs = 5000, agent = (this.usersAgent ??= this.agent())) {
    const answer = await call(agent, this.find(member).user, method, path, body, timeoutMs);
    this.record(`user: ${method} ${path} at ${member} -> ${answer ? `${answer.status} ${JSON.stringify(answer.body)}` : 'no answer'}`);
    return answer;
  }
  /** Submits a job as a user does: the same request again after 1 s until it is accepted or 60 s are over. */
  async submit(job, members = this.members.map(({ member }) => member)) {
    this.ledger.jobs.set(job.uid, job);
    const { runS: _run, mayEnd: _end, ...body } = job;
    const deadline = now() + 60_000;
    for (let i = 0; now() < deadline; i++) {
      const answer = await this.ask(members[i % members.length], 'POST', '/submissions', body);
      if (answer && answer.status < 300) return answer;
      if (answer && (answer.status === 400 || answer.status === 422)) return answer;
      await sleep(1000);
    }
    return undefined;
  }
  async cancel(uid, members = this.members.map(({ member }) => member)) {
    for (let i = 0; i < 60; i++) {
      const answer = await this.ask(members[i % members.length], 'POST', `/submissions/${uid}/abort`, {});
      if (answer?.status === 200) return answer;
      await sleep(1000);
    }
    return undefined;
  }
  async until(what, condition, limitMs) {
    const deadline = now() + limitMs;
    while (!(await condition())) {
      if (now() > deadline) throw new CannotRun(`not reached in time: ${what}`);
      await sleep(20);
    }
    this.record(`reached: ${what}`);
  }
  runningOn(machine) {
    return [...this.ledger.on].filter(([, places]) => places.has(machine)).map(([piece]) => piece);
  }
  countRunning(uid) {
    return [...this.ledger.on].filter(([piece, places]) => piece.startsWith(`${uid}/`) && places.size > 0).length;
  }
  async stop() {
    this.isStopping = true;
    const children = [...this.processes.values()];
    await Promise.all(
      children.map((child) => {
        if (child.exitCode !== null || child.signalCode !== null) return undefined;
        return new Promise((resolve) => {
          child.on('exit', resolve);
          child.kill('SIGKILL');
        });
      }),
    );
    for (const { member } of this.members ?? []) {
      this.lines.push(`--- log of ${member} (leadership, nodes and errors) ---`);
      try {
        for (const line of readFileSync(join(this.folder, `${member}.log`), 'utf8').split('\n'))
          if (/leader|lease|terminat|lost|error|memory|rejected/.test(line)) this.lines.push(line.slice(0, 400));
      } catch {
        this.lines.push('(none)');
      }
    }
    for (const worker of this.workers.values()) worker.kill('test over');
    for (const agent of this.agents) agent.destroy();
    for (const server of this.servers) {
      server.closeAllConnections?.();
      server.close();
    }
    this.state.close();
    if (!process.env.REVIEW_KEEP) rmSync(this.folder, { recursive: true, force: true });
    else this.lines.push(`kept: ${this.folder}`);
    writeFileSync(this.recordFile, `${this.lines.join('\n')}\n`);
  }
}

export class CannotRun extends Error {}

async function reserveBlock(servers) {
  for (let block = 1; block < 255; block++) {
    const lock = net.createServer();
    const isFree = await new Promise((resolve) => {
      lock.once('error', () => resolve(false));
      lock.listen(9000, `127.${block}.255.254`, () => resolve(true));
    });
    if (!isFree) continue;
    servers.push(lock);
    return block;
  }
  throw new CannotRun('no block of loopback addresses is free');
}

/** Runs a case and ends the process with 1 (rule broken), 0 (it held) or 2 (the case could not run). */
export async function runCase(recordFile, options, play) {
  const cluster = new Cluster(recordFile, options);
  let code = 2;
  const guard = setTimeout(() => {
    cluster.record('120 s are nearly over');
    void cluster.stop().then(() => process.exit(2));
  }, 117_000);
  // Whatever happens, no process stays behind.
  process.on('exit', () => {
    for (const child of cluster.processes.values()) if (child.exitCode === null && child.signalCode === null) child.kill('SIGKILL');
  });
  process.on('uncaughtException', (error) => {
    cluster.record(`RESULT: could not run: ${error.stack}`);
    void cluster.stop().finally(() => process.exit(2));
  });
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => void cluster.stop().then(() => process.exit(2)));
  try {
    cluster.record(`TROUBLE=${hasTrouble ? 1 : 0}`);
    const isBroken = await play(cluster);
    code = isBroken ? 1 : 0;
    cluster.record(isBroken ? 'RESULT: the rule was broken' : 'RESULT: the rule held');
  } catch (error) {
    cluster.record(`RESULT: could not run: ${error.stack}`);
  }
  clearTimeout(guard);
  await cluster.stop();
  console.log(cluster.lines.filter((line) => /RULE BROKEN|RESULT/.test(line)).join('\n'));
  process.exit(code);
}

/** Settings of the unigate deployments: three controllers in two zones. */
export const unigate = {
  members: [
    { member: 'hearth-0', zone: 'colombo-west' },
    { member: 'hearth-1', zone: 'kandy-hill' },
    { member: 'hearth-2', zone: 'colombo-west' },
  ],
  zones: ['colombo-west', 'kandy-hill'],
  teams: [
    { name: 'admissions-core', cpus: 24, cpus_max: 64 },
    { name: 'colombo-legacy', cpus: 24, cpus_max: 40 },
    { name: 'galle-campus', cpus: 40, cpus_max: 150 },
    { name: 'kandy-scholar', cpus: 24, cpus_max: 72 },
  ],
  workers: { report_s: 1.5, lease_s: 14, cancel_s: 39 },
  state: { rps: 200, write_rps: 80, value_kb: 8, txn_ops: 12 },
  cloud_rps: 6,
  list_lag_s: 5,
  quota: { core_share: 0.085, mem_mb: 146, max_connections: 900 },
  types: [
    { sku: 'kadala-small', cpus: 4, accelerators: 0, memGb: 16, cacheGb: 40, pullGbPerS: 1.5, price: 0.25, spotPrice: 0.09, bootS: 2, yards: ['colombo-west', 'kandy-hill'] },
  ],
  capacity: { 'colombo-west': { 'kadala-small': 20 }, 'kandy-hill': { 'kadala-small': 20 } },
};

export const submission = (fields) => ({
  cohort: 'offer-letters',
  crew: 'galle-campus',
  shape: 'sweep',
  rank: 'standard',
  pieces: 1,
  cpus: 2,
  accelerators: 0,
  memGb: 2,
  cast: 'img-07',
  sizeGb: 1.5,
  builds: null,
  yard: null,
  oneZone: false,
  scatter: false,
  loaner: false,
  guessS: 30,
  pinS: 0,
  pinningS: 0,
  dueS: null,
  ...fields,
});
