import type { Logger } from 'pino';
import { Actor, type Clock } from '@pumicehinge/runtime';
import {
  DEPUTY_AFTER_MS,
  DEPUTY_FRESH_MS,
  DEPUTY_TICK_MS,
  REGISTRATION_BATCH,
  NODE_NAME_BYTES,
} from '../constants.js';
import { encodeOrders, type Report } from '../fleet/codec.js';
import type { Respond } from '../http/message.js';
import type { Mirror } from '../state/mirror.js';
import { encodeKept, groupHolds, GROUPS, KEPT, keptKey, LEADER_KEY } from '../state/records.js';
import type { Writer } from '../state/writer.js';
import { formatJson, isObject, type WireInt } from '../wire/json.js';
import { stopsOfEnded } from './stops.js';

export interface DeputyDeps {
  member: string;
  valueBytes: number;
  mirror: Mirror;
  writer: Writer;
  clock: Clock;
  log: Logger;
  refuses: (member: string) => boolean;
  /** Steady ms at which the member was last heard of over the peers' channel. */
  heardMs: (member: string) => number;
}

/** A report that waits for its answer. */
interface Asking {
  report: Report;
  respond: Respond;
}

type Message =
  | ({ kind: 'report'; via?: string; heldMs?: number } & Asking)
  | ({ kind: 'synced'; freshMs: number } & Asking)
  | { kind: 'registered'; batch: Asking[]; term: number; done: boolean }
  | { kind: 'tick' };

const NOT_ENTITLED = { status: 503, body: '{}' };

/**
 * Keeps the leases of machines that are cut off from the leader, and nothing else: it starts no task. Its authority
 * is the term that it read in the state service a moment ago; each machine is registered there before its first
 * answer, so that the leader never takes such a lease for ended (docs/design.md argues why that is safe).
 */
export class Deputy extends Actor<Message> {
  /** Machines registered by this controller, under the term in which they were. */
  private readonly kept = new Map<string, number>();
  private readonly unregistered: Asking[] = [];
  private registering = false;
  private batches = 0;
  private heardSinceMs = Infinity;
  /** Stamp of the leader's key seen last, and since when. */
  private seenStamp: WireInt | undefined;
  private seenMs = -Infinity;

  constructor(private readonly deps: DeputyDeps) {
    super(deps.log);
  }

  start(): void {
    const beat = (): void => {
      this.send({ kind: 'tick' });
      this.deps.clock.after(DEPUTY_TICK_MS, beat);
    };
    beat();
  }

  /** True if it deals with the report: the leader stands in the state service, and is not heard of here. */
  wants(): boolean {
    const leader = this.leader();
    // One that refuses our connections is there: its workers reach it, and need no deputy.
    if (!leader || leader.member === this.deps.member || this.deps.refuses(leader.member)) return false;
    if (leader.stamp !== this.seenStamp) {
      this.seenStamp = leader.stamp;
      this.seenMs = this.deps.clock.steadyMs();
    }
    // A leader that just began, or a process that just did, has had no time to be heard.
    const sinceMs = Math.max(this.deps.heardMs(leader.member), this.seenMs);
    return this.deps.clock.steadyMs() - sinceMs > DEPUTY_AFTER_MS;
  }

  protected receive(message: Message): void {
    switch (message.kind) {
      case 'report':
        return this.onReport(message);
      case 'synced':
        return this.onSynced(message);
      case 'registered':
        return this.onRegistered(message);
      case 'tick':
        return this.release();
    }
  }

  private leader(): { member: string; term: number; stamp: WireInt } | undefined {
    const row = this.deps.mirror.get(LEADER_KEY);
    if (!row || !isObject(row.value)) return undefined;
    return { member: String(row.value.member), term: Number(row.value.term), stamp: row.stamp };
  }

  private onReport({ report, respond }: Asking): void {
    const freshMs = this.deps.clock.steadyMs();
    this.deps.mirror.sync().then(
      () => this.send({ kind: 'synced', report, respond, freshMs }),
      () => respond(NOT_ENTITLED),
    );
  }

  private onSynced({ report, respond, freshMs }: Extract<Message, { kind: 'synced' }>): void {
    const leader = this.leader();
    // Only machines that the leader's records hold: others have no task to keep.
    if (!leader || !this.wants() || report.token > leader.term || !this.isRecorded(report.node)) {
      respond(NOT_ENTITLED);
      return;
    }
    if (this.kept.get(report.node) === leader.term) {
      this.answer({ report, respond, freshMs });
      return;
    }
    this.unregistered.push({ report, respond });
    this.register();
  }

  private isRecorded(node: string): boolean {
    for (const row of this.deps.mirror.startingWith(GROUPS)) if (groupHolds(row.value, node)) return true;
    return false;
  }

  /** One write at a time, of all machines that came meanwhile: hundreds turn up at once when zones are cut. */
  private register(): void {
    const leader = this.leader();
    if (this.registering || this.unregistered.length === 0) return;
    const most = Math.min(REGISTRATION_BATCH, Math.floor(this.deps.valueBytes / NODE_NAME_BYTES) - 1);
    const batch = this.unregistered.splice(0, Math.max(1, most));
    if (!leader) {
      for (const { respond } of batch) respond(NOT_ENTITLED);
      return;
    }
    this.registering = true;
    const { mirror, writer, member, log } = this.deps;
    const { term, stamp } = leader;
    const key = keptKey(member, `${term}-${++this.batches}`);
    const nodes = batch.map(({ report }) => report.node);
    log.info({ nodes, term }, 'keeping the leases of machines cut off from the leader');
    const conditions = [
      { key: LEADER_KEY, stamp },
      { key, stamp: mirror.get(key)?.stamp ?? 0 },
    ];
    void writer
      .commit(conditions, [{ key, value: encodeKept({ term, nodes }) }], DEPUTY_FRESH_MS)
      .then((result) => {
        this.send({ kind: 'registered', batch, term, done: result.outcome === 'applied' });
      });
  }

  private onRegistered({ batch, term, done }: Extract<Message, { kind: 'registered' }>): void {
    this.registering = false;
    for (const { report, respond } of batch) {
      if (done) this.kept.set(report.node, term);
      // An answer rests on a read of its own: the write may have taken long.
      if (done) this.onReport({ report, respond });
      else respond(NOT_ENTITLED);
    }
    this.register();
  }

  private answer({ report, respond, freshMs }: Asking & { freshMs: number }): void {
    const term = this.kept.get(report.node);
    // A cancelled job's tasks must end in time also where the leader can't reach them.
    const orders = stopsOfEnded(report, this.deps.mirror);
    // Checked last: what was read in the state service holds for a moment only.
    const tooLate = this.deps.clock.steadyMs() - freshMs > DEPUTY_FRESH_MS;
    if (tooLate || term === undefined || this.leader()?.term !== term) respond(NOT_ENTITLED);
    else respond({ status: 200, body: formatJson(encodeOrders(term, orders)) });
  }

  /** Once the leader is heard again and no answer can be under way, the machines are its own again. */
  private release(): void {
    const now = this.deps.clock.steadyMs();
    const own = keptKey(this.deps.member, '');
    const rows = [...this.deps.mirror.startingWith(KEPT)].filter((row) => row.key.startsWith(own));
    // The rows count too: a registration without an answer may be applied late.
    if ((this.kept.size === 0 && rows.length === 0) || this.wants()) {
      this.heardSinceMs = Infinity;
      return;
    }
    this.heardSinceMs = Math.min(this.heardSinceMs, now);
    if (now - this.heardSinceMs <= 2 * DEPUTY_FRESH_MS) return;
    this.kept.clear();
    for (const row of rows) {
      void this.deps.writer.commit(
        [{ key: row.key, stamp: row.stamp }],
        [{ key: row.key, value: undefined }],
        10 * DEPUTY_FRESH_MS,
      );
    }
  }
}
