// Stand-ins of the state service, the cloud, the workers and the users, written from PROTOCOL. No dependency but node.
import http from 'node:http';
import net from 'node:net';

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
export const now = () => performance.now();

/** Starts an HTTP server on a loopback address. `handle` resolves to {status, body} or to undefined for no answer. */
export function listen(host, port, handle) {
  const server = http.createServer({ keepAliveTimeout: 0, requestTimeout: 0, headersTimeout: 0 }, (request, response) => {
    const parts = [];
    request.on('data', (part) => parts.push(part));
    request.on('end', async () => {
      let result;
      try {
        result = await handle(request.method, request.url, Buffer.concat(parts).toString('utf8'), request.socket);
      } catch (error) {
        process.stderr.write(`stand-in failed: ${error.stack}\n`);
        result = { status: 500, body: {} };
      }
      if (!result || response.destroyed) return;
      const body = typeof result.body === 'string' ? result.body : JSON.stringify(result.body);
      response.writeHead(result.status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body) });
      response.end(body);
    });
    request.on('error', () => undefined);
  });
  server.keepAliveTimeout = 0;
  server.on('clientError', (_error, socket) => socket.destroy());
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve(server));
  });
}

/** Finds free ports below the range from which the system takes ports for outgoing connections. */
export async function freePorts(count) {
  const ports = [];
  while (ports.length < count) {
    const port = 12_000 + Math.floor(Math.random() * 19_000);
    const server = net.createServer();
    const isFree = await new Promise((resolve) => {
      server.once('error', () => resolve(false));
      server.listen(port, '127.0.0.1', () => resolve(true));
    });
    if (!isFree) continue;
    await new Promise((resolve) => server.close(resolve));
    if (!ports.includes(port)) ports.push(port);
  }
  return ports;
}

/** One HTTP call over a connection of the given agent. Resolves to {status, body} or undefined. */
export function call(agent, address, method, path, body, timeoutMs) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const text = body === undefined ? undefined : typeof body === 'string' ? body : JSON.stringify(body);
    const headers = text === undefined ? {} : { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) };
    const request = http.request({ host, port, method, path, agent, headers }, (response) => {
      const parts = [];
      response.on('data', (part) => parts.push(part));
      response.on('end', () => {
        clearTimeout(timer);
        let parsed;
        try {
          parsed = JSON.parse(Buffer.concat(parts).toString('utf8'));
        } catch {
          parsed = undefined;
        }
        resolve({ status: response.statusCode, body: parsed, retryAfter: response.headers['retry-after'] });
      });
      response.on('error', () => resolve(undefined));
    });
    const timer = setTimeout(() => {
      request.destroy();
      resolve(undefined);
    }, timeoutMs);
    request.on('error', () => {
      clearTimeout(timer);
      resolve(undefined);
    });
    request.end(text);
  });
}

class Budget {
  constructor(perSecond) {
    Object.assign(this, { perSecond, left: perSecond, at: now() });
  }
  take(count) {
    const time = now();
    this.left = Math.min(this.perSecond, this.left + ((time - this.at) / 1000) * this.perSecond);
    this.at = time;
    if (this.left < count) return false;
    this.left -= count;
    return true;
  }
}

/** The state service. Callers are told apart by the port on which they call. */
export class StateService {
  constructor({ rps, write_rps, value_kb, txn_ops }) {
    this.limits = { rps, write_rps, valueBytes: value_kb * 1024, ops: txn_ops };
    this.requests = new Budget(rps);
    this.writes = new Budget(write_rps);
    this.rows = new Map();
    this.leases = new Map();
    this.history = [];
    this.epoch = 1;
    this.lastLease = 0;
    this.lastDropped = 0;
    this.watchers = new Set();
    this.refused = new Set(); // callers that get 503; '*' is an outage
    this.counts = { 200: 0, 400: 0, 409: 0, 429: 0, 503: 0 };
    this.delayMs = () => 2 + Math.random() * 3;
    this.intercept = undefined; // (caller, method, target, body) => optional replacement behaviour
    this.timer = setInterval(() => this.expire(), 20);
  }
  close() {
    clearInterval(this.timer);
  }
  /** From now on a larger value or transaction gets 400, and changes beyond the rate 429. What is stored stays readable. */
  lower({ rps, write_rps, value_kb, txn_ops }) {
    this.limits = { rps, write_rps, valueBytes: value_kb * 1024, ops: txn_ops };
    this.requests = new Budget(rps);
    this.writes = new Budget(write_rps);
  }
  value(key) {
    return this.rows.get(key)?.v;
  }
  isRefused(caller) {
    return this.refused.has('*') || this.refused.has(caller);
  }
  endOutage() {
    this.refused.delete('*');
    for (const lease of this.leases.values()) lease.end = now() + lease.ttl;
    this.notify();
  }
  expire() {
    if (this.refused.has('*')) return;
    const time = now();
    for (const [id, lease] of this.leases) if (time >= lease.end) this.endLease(id);
  }
  endLease(id) {
    this.leases.delete(id);
    const keys = [...this.rows].filter(([, row]) => row.hold === id).map(([key]) => key);
    if (keys.length > 0) this.apply(keys.map((key) => ({ drop: key })));
  }
  apply(changes) {
    this.epoch++;
    for (const change of changes) {
      if (change.put !== undefined) {
        this.rows.set(change.put, { v: change.v, stamp: this.epoch, ...(change.hold ? { hold: change.hold } : {}) });
        this.history.push({ put: change.put, v: change.v, stamp: this.epoch });
      } else if (this.rows.delete(change.drop)) this.history.push({ drop: change.drop, stamp: this.epoch });
    }
    while (this.history.length > 10_000) this.lastDropped = this.history.shift().stamp;
    this.notify();
  }
  notify() {
    for (const check of [...this.watchers]) check();
  }
  async handle(caller, method, target, body) {
    const result = await this.answer(caller, method, target, body);
    if (result) this.counts[result.status] = (this.counts[result.status] ?? 0) + 1;
    return result;
  }
  async answer(caller, method, target, body) {
    if (this.isRefused(caller)) return { status: 503, body: {} };
    await sleep(this.delayMs(caller, method, target));
    if (this.isRefused(caller)) return { status: 503, body: {} };
    if (!this.requests.take(1)) return { status: 429, body: {} };
    if (this.intercept) {
      const replaced = await this.intercept(caller, method, target, body);
      if (replaced !== 'pass') return replaced;
    }
    return this.execute(caller, method, target, body);
  }
  execute(caller, method, target, body) {
    const url = new URL(target, 'http://state');
    const query = url.searchParams;
    if (url.pathname === '/follow') return this.follow(caller, query);
    if (url.pathname === '/keys') return this.list(query);
    if (url.pathname.startsWith('/keys/')) {
      const key = url.pathname.slice('/keys/'.length);
      const row = this.rows.get(key);
      return row ? { status: 200, body: { key, ...row } } : { status: 404, body: { epoch: this.epoch } };
    }
    if (url.pathname === '/multi') return this.transact(body);
    const [, , id, touch] = url.pathname.split('/');
    if (id === undefined) {
      const ttl = JSON.parse(body).ttlMs;
      this.leases.set(++this.lastLease, { ttl, end: now() + ttl });
      return { status: 200, body: { hold: this.lastLease } };
    }
    const lease = this.leases.get(Number(id));
    if (!lease) return { status: 404, body: {} };
    if (method === 'DELETE') this.endLease(Number(id));
    else if (touch) lease.end = now() + lease.ttl;
    return { status: 200, body: {} };
  }
  list(query) {
    const starts = query.get('starts') ?? '';
    const since = query.get('since') ?? '';
    const limit = Math.min(1000, Number(query.get('page') ?? 1000));
    if (!this.sorted || this.sortedAt !== this.epoch) {
      this.sorted = [...this.rows.keys()].sort();
      this.sortedAt = this.epoch;
    }
    const rows = [];
    let bytes = 0;
    let more = false;
    for (const key of this.sorted) {
      if (key <= since || !key.startsWith(starts)) continue;
      const row = { key, v: this.rows.get(key).v, stamp: this.rows.get(key).stamp };
      bytes += JSON.stringify(row).length + 1;
      if (rows.length >= limit || bytes > 512 * 1024 - 100) {
        more = true;
        break;
      }
      rows.push(row);
    }
    return { status: 200, body: { rows, more, epoch: this.epoch } };
  }
  transact(body) {
    let transaction;
    try {
      transaction = JSON.parse(body);
    } catch {
      return { status: 400, body: {} };
    }
    const { if: conditions = [], apply = [] } = transaction;
    const tooLarge = apply.some((change) => Buffer.byteLength(JSON.stringify(change.v ?? null)) > this.limits.valueBytes);
    if (tooLarge || apply.length > this.limits.ops || conditions.length > 4 * this.limits.ops || Buffer.byteLength(body) > 65_536)
      return { status: 400, body: { error: 'too large' } };
    if (apply.length > 0 && !this.writes.take(apply.length)) return { status: 429, body: {} };
    if (apply.some((change) => change.hold !== undefined && !this.leases.has(change.hold)))
      return { status: 400, body: { error: 'no such lease' } };
    const failed = conditions.filter(({ key, stamp }) => (this.rows.get(key)?.stamp ?? 0) !== stamp).map(({ key }) => key);
    if (failed.length > 0) return { status: 409, body: { failed, epoch: this.epoch } };
    if (apply.length > 0) this.apply(apply);
    return { status: 200, body: { epoch: this.epoch } };
  }
  follow(caller, query) {
    const starts = query.get('starts') ?? '';
    const since = Number(query.get('since'));
    const holdMs = Math.min(60_000, Number(query.get('holdMs') ?? 0));
    if (since < this.lastDropped) return { status: 410, body: {} };
    return new Promise((resolve) => {
      let isOver = holdMs === 0;
      const check = () => {
        if (this.isRefused(caller)) return; // open watches wait in an outage
        const log = [];
        for (let i = this.history.length - 1; i >= 0 && this.history[i].stamp > since; i--) {
          const change = this.history[i];
          if ((change.put ?? change.drop).startsWith(starts)) log.push(change);
        }
        if (log.length === 0 && !isOver) return;
        this.watchers.delete(check);
        resolve({ status: 200, body: { epoch: this.epoch, log: log.reverse() } });
      };
      this.watchers.add(check);
      if (holdMs > 0)
        setTimeout(() => {
          isOver = true;
          check();
        }, holdMs).unref();
      check();
    });
  }
}

/** The cloud. `types` is the catalog; `capacity` the number of machines in each zone. */
export class Cloud {
  constructor({ types, capacity, listLagMs, startWorker, record }) {
    Object.assign(this, { types, capacity, listLagMs, startWorker, record });
    this.machines = new Map(); // those that exist
    this.all = []; // all ever rented, by name
    this.asks = new Map();
    this.isDown = false;
    this.requests = new Budget(100);
  }
  async handle(caller, method, target, body) {
    await sleep(30 + Math.random() * 30);
    if (this.isDown) return { status: 503, body: { error: 'trouble' } };
    const url = new URL(target, 'http://cloud');
    if (url.pathname === '/catalog') return { status: 200, body: { builds: this.types } };
    if (url.pathname === '/hosts/return') {
      const { hearths } = JSON.parse(body);
      for (const name of hearths) this.remove(name);
      this.record(`cloud: ${caller} returned ${hearths.join(' ')}`);
      return { status: 200, body: {} };
    }
    if (method === 'GET') return this.list(url.searchParams);
    return this.rent(caller, JSON.parse(body));
  }
  remove(name) {
    const machine = this.machines.get(name);
    if (!machine) return;
    machine.goneAt = now();
    machine.worker?.kill('returned');
    this.machines.delete(name);
  }
  /** Lists the machines as they were `listLagMs` ago; once listed, a machine stays listed until it is gone. */
  list(query) {
    const since = query.get('since') ?? '';
    const limit = Math.min(500, Number(query.get('page') ?? 500));
    const time = now();
    const visible = this.all.filter(
      (machine) => machine.name > since && time - machine.rentedAt >= this.listLagMs && !(machine.goneAt && time - machine.goneAt >= this.listLagMs),
    );
    const hearths = visible.slice(0, limit).map((machine) => ({
      uid: machine.name,
      address: machine.worker ? machine.worker.address : null,
      build: machine.type.sku,
      yard: machine.zone,
      loaner: machine.spot,
      phase: machine.worker ? 'running' : 'booting',
      ageS: (time - this.listLagMs - machine.rentedAt) / 1000,
    }));
    return { status: 200, body: { hearths, more: visible.length > limit } };
  }
  rent(caller, { ask, build, yard, loaner, howMany }) {
    const known = this.asks.get(ask);
    if (known) return { status: 200, body: { hearths: known } };
    const type = this.types.find((candidate) => candidate.sku === build);
    const names = [];
    const used = () => [...this.machines.values()].filter((machine) => machine.zone === yard && machine.type === type).length;
    while (names.length < Math.min(50, howMany) && used() < (this.capacity[yard]?.[build] ?? 0)) {
      const name = `vm-${String(this.all.length + 1).padStart(6, '0')}`;
      const machine = { name, type, zone: yard, spot: loaner, rentedAt: now() };
      this.machines.set(name, machine);
      this.all.push(machine);
      names.push(name);
      setTimeout(async () => {
        if (this.machines.get(name) === machine) machine.worker = await this.startWorker(machine);
      }, type.bootS * 1000).unref();
    }
    if (names.length === 0) return { status: 503, body: { error: 'no capacity' } };
    this.asks.set(ask, names);
    this.record(`cloud: ${caller} rented ${names.join(' ')} (${build} ${yard})`);
    return { status: 200, body: { hearths: names } };
  }
}

/** What the users and the machines saw, against the rules of PROTOCOL. */
export class Ledger {
  constructor(record) {
    this.record = record;
    this.jobs = new Map(); // uid -> submission
    this.on = new Map(); // piece -> Map(machine -> since)
    this.finished = new Set();
    this.violations = [];
    this.starts = [];
    this.kills = [];
    this.lastEnds = new Map();
  }
  violate(rule, text) {
    this.violations.push({ rule, text });
    this.record(`RULE BROKEN ${rule}: ${text}`);
  }
  start(piece, machine, attempt) {
    const places = this.on.get(piece) ?? new Map();
    this.on.set(piece, places);
    this.record(`start ${piece} try ${attempt} on ${machine}`);
    this.starts.push({ piece, machine, at: now() });
    for (const [other, since] of places)
      if (other !== machine)
        this.violate('ran_twice', `${piece} starts on ${machine} while it is on ${other} (for ${((now() - since) / 1000).toFixed(2)} s)`);
    places.set(machine, now());
  }
  end(piece, machine, why) {
    const places = this.on.get(piece);
    if (!places?.has(machine)) return;
    this.record(`end ${piece} on ${machine}: ${why} after ${((now() - places.get(machine)) / 1000).toFixed(2)} s`);
    places.delete(machine);
    this.lastEnds.set(piece, { machine, why, at: now() });
  }
}

/** A worker, see "Workers -> controller nodes" in PROTOCOL. */
export class Worker {
  constructor({ machine, address, controllers, firstController, timing, ledger, record, runS }) {
    Object.assign(this, { machine, address, controllers, timing, ledger, record, runS });
    this.name = machine.name;
    this.index = firstController;
    this.cache = new Set();
    this.bootSession();
  }
  bootSession() {
    this.epoch = (this.epoch ?? 0) + 1; // of the process, not visible
    this.tenure = 1;
    this.tick = 0;
    this.baton = 0;
    this.pieces = new Map();
    this.leaseFrom = now();
    this.answeredAt = now();
    this.isAlive = true;
    this.inFlight = false;
    this.lastSentAt = -Infinity;
    this.reported413 = 0;
    this.agent?.destroy();
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    this.leaseTimer ??= setInterval(() => this.checkLease(), 20);
    this.schedule(Math.random() * 300);
  }
  async listen() {
    const [host, port] = this.address.split(':');
    this.server = await listen(host, Number(port), async (method, target, body) => this.serve(method, target, body));
    return this;
  }
  /** The machine stops with all that is on it, and is back at once: a new worker begins. */
  restart() {
    this.record(`machine ${this.name} restarts, ${((now() - this.leaseFrom) / 1000).toFixed(2)} s after its last answered report was sent (tick ${this.tick})`);
    for (const piece of this.pieces.values()) this.endPiece(piece, 'machine restarted');
    clearTimeout(this.reportTimer);
    this.server.closeAllConnections();
    this.bootSession();
  }
  kill(why) {
    this.isAlive = false;
    clearInterval(this.leaseTimer);
    clearTimeout(this.reportTimer);
    for (const piece of this.pieces.values()) this.endPiece(piece, `machine ${why}`);
    this.pieces.clear();
    this.agent.destroy();
    this.server?.closeAllConnections();
    this.server?.close();
  }
  freeCpus() {
    return this.machine.type.cpus - [...this.pieces.values()].reduce((sum, { phase, job }) => sum + (phase === 'exited' ? 0 : job.cpus), 0);
  }
  endPiece(piece, why) {
    clearTimeout(piece.timer);
    if (piece.phase === 'running' || piece.phase === 'saving') this.ledger.end(piece.name, this.name, why);
  }
  checkLease() {
    if (!this.isAlive || now() - this.leaseFrom <= this.timing.lease_s * 1000) return;
    const lost = [...this.pieces.values()].filter(({ phase }) => phase !== 'exited').length;
    this.record(`lease of ${this.name} ended (session ${this.tenure}), ${lost} tasks killed`);
    this.ledger.kills.push({ machine: this.name, lost, at: now() });
    for (const piece of this.pieces.values()) this.endPiece(piece, 'lease ended');
    this.pieces.clear();
    this.tenure++;
    this.leaseFrom = now();
    this.changed();
  }
  report() {
    return {
      hearth: this.name,
      address: this.address,
      build: this.machine.type.sku,
      yard: this.machine.zone,
      loaner: this.machine.spot,
      tenure: this.tenure,
      tick: ++this.tick,
      baton: this.baton,
      warningS: null,
      pieces: [...this.pieces.values()].map(({ name, attempt, phase, cause }) => ({
        piece: name,
        try: attempt,
        phase,
        ...(cause ? { cause } : {}),
      })),
    };
  }
  schedule(delayMs) {
    clearTimeout(this.reportTimer);
    this.nextAt = now() + delayMs;
    this.reportTimer = setTimeout(() => this.send(), delayMs);
  }
  changed() {
    if (!this.isAlive || this.inFlight) {
      this.hasChanged = true;
      return;
    }
    if (this.waitUntil && now() < this.waitUntil) return; // between two nodes
    const earliest = Math.max(0, this.lastSentAt + 500 - now());
    if (now() + earliest < this.nextAt) this.schedule(earliest);
  }
  async send() {
    if (!this.isAlive || this.inFlight) return;
    const { epoch } = this;
    const sentAt = now();
    const session = this.tenure;
    this.inFlight = true;
    this.hasChanged = false;
    this.lastSentAt = sentAt;
    this.waitUntil = undefined;
    const controller = this.controllers[this.index];
    const text = JSON.stringify(this.report());
    const answer = await call(this.agent, controller.address, 'POST', '/v1/report', text, 4000);
    if (!this.isAlive || epoch !== this.epoch) return;
    this.inFlight = false;
    if (answer?.status === 200 && answer.body) {
      if (session === this.tenure && answer.body.baton >= this.baton) {
        const raised = answer.body.baton > this.baton;
        this.baton = answer.body.baton;
        this.leaseFrom = sentAt;
        this.execute(answer.body.orders ?? []);
        if (raised) this.hasChanged = true;
      }
      const regular = this.timing.report_s * 1000 * (0.75 + Math.random() * 0.5) - (now() - sentAt);
      return this.schedule(Math.max(this.hasChanged ? Math.max(0, sentAt + 500 - now()) : regular, 0));
    }
    const named = answer?.status === 421 ? this.controllers.findIndex(({ member }) => member === answer.body?.steward) : -1;
    if (answer?.status !== 421) this.refusals?.(this, answer?.status, text.length);
    if (named >= 0 && named !== this.index) {
      this.index = named;
      this.agent.destroy();
      this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
      return this.schedule(Math.random() * 500);
    }
    this.index = (this.index + 1) % this.controllers.length;
    this.agent.destroy();
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    this.waitUntil = now() + 1000;
    this.schedule(1000);
  }
  serve(method, target, body) {
    if (!this.isAlive) return undefined;
    this.checkLease();
    if (target === '/show') return { status: 200, body: this.report() };
    const { baton, tenure, orders } = JSON.parse(body);
    if (baton === undefined || tenure === undefined) return { status: 400, body: {} };
    if (baton < this.baton || tenure !== this.tenure) return { status: 409, body: this.report() };
    if (baton > this.baton) {
      this.baton = baton;
      this.changed();
    }
    this.execute(orders);
    return { status: 200, body: this.report() };
  }
  execute(orders) {
    for (const { verb, piece: name, try: attempt, leewayS } of orders) {
      const key = `${name}#${attempt}`;
      const piece = this.pieces.get(key);
      if (verb === 'clear') {
        if (piece?.phase === 'exited') this.pieces.delete(key);
      } else if (verb === 'stop') {
        if (piece && piece.phase !== 'exited') this.exit(piece, 'stopped', leewayS);
      } else if (!piece) this.run(key, name, attempt);
    }
  }
  run(key, name, attempt) {
    const [uid, index] = name.split('/');
    const job = this.ledger.jobs.get(uid);
    const piece = { name, attempt, phase: 'fetching', job };
    this.pieces.set(key, piece);
    if (!job || Number(index) >= job.pieces) return this.exit(piece, 'no_such');
    const others = [...this.pieces.values()].filter((other) => other !== piece && other.phase !== 'exited');
    if (others.some((other) => other.name === name)) return this.exit(piece, 'in_use');
    const used = others.reduce((sum, other) => sum + other.job.cpus, 0);
    const usedGb = others.reduce((sum, other) => sum + other.job.memGb, 0);
    const { type } = this.machine;
    if (used + job.cpus > type.cpus + 1e-6 || usedGb + job.memGb > type.memGb + 1e-6) return this.exit(piece, 'full');
    this.changed();
    const fetchS = this.cache.has(job.cast) ? 0 : job.sizeGb / type.pullGbPerS;
    piece.timer = setTimeout(() => this.begin(piece), fetchS * 1000);
  }
  begin(piece) {
    const { job } = piece;
    this.cache.add(job.cast);
    piece.phase = 'running';
    this.ledger.start(piece.name, this.name, piece.attempt);
    this.changed();
    if (this.ledger.finished.has(piece.name)) return this.exit(piece, 'done');
    if (job.shape === 'standing') return;
    // `mayEnd` holds a long task until the script lets it end.
    piece.timer = setTimeout(async () => {
      await job.mayEnd;
      if (!this.isAlive || piece.phase !== 'running' || this.pieces.get(`${piece.name}#${piece.attempt}`) !== piece) return;
      this.ledger.finished.add(piece.name);
      this.exit(piece, 'done');
    }, job.runS * 1000);
  }
  exit(piece, cause) {
    this.endPiece(piece, cause);
    piece.phase = 'exited';
    piece.cause = cause;
    this.changed();
  }
}
