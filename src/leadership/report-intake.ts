import type { Logger } from 'pino';
import { INTRODUCE_FOR_MS } from '../constants.js';
import { encodeOrders, type Order, type Report } from '../fleet/codec.js';
import { classifyReport } from '../fleet/lease.js';
import type { Ledger, Node, Resources } from '../fleet/ledger.js';
import type { NodeRecords } from '../fleet/node-records.js';
import type { HttpResponse, Respond } from '../http/message.js';
import type { Mirror } from '../state/mirror.js';
import { formatJson } from '../wire/json.js';
import type { Term } from './election.js';
import type { Knowledge } from './knowledge.js';
import { stopsOfEnded } from './stops.js';
import type { WorkerCommands } from './worker-commands.js';

/** A worker's report that reached the leader. */
export interface ReceivedReport {
  report: Report;
  respond: Respond;
  /** The controller at which its worker is. */
  via: string;
  /** For this long the answer may be under way through that controller. */
  heldMs: number;
}

/** What the taking of reports needs of its leader. */
export interface ReportIntakeDeps {
  term: Term;
  knowledge: Knowledge;
  ledger: Ledger;
  mirror: Mirror;
  records: NodeRecords;
  commands: WorkerCommands;
  nowMs: () => number;
  log: Logger;
  capacityOf: (type: string) => Resources;
  /** Whether the machine was deleted lately. */
  isGone: (name: string) => boolean;
  /** All that is on the machine is known from now on. */
  account: (node: Node) => void;
  /** A pass may place more. */
  changed: () => void;
}

const NOT_ANSWERED: HttpResponse = { status: 503, body: '{}' };

/**
 * Takes workers' reports and answers them with commands. Only a report that shows our token proves that an answer of
 * ours was received, so only from such a report on is anything learned of a machine (fleet/lease.ts).
 */
export class ReportIntake {
  /** The answer to most reports: nothing to do. */
  private readonly emptyAnswer: HttpResponse;

  constructor(private readonly deps: ReportIntakeDeps) {
    this.emptyAnswer = { status: 200, body: formatJson(encodeOrders(deps.term.number, [])) };
  }

  /** Learns what the report tells, and answers it if we may. */
  take(received: ReceivedReport): void {
    const { report, respond, via, heldMs } = received;
    const { deps } = this;
    const now = deps.nowMs();
    const known = deps.ledger.nodes.get(report.node);
    const age = classifyReport(report.token, deps.term.number, {
      gone: deps.isGone(report.node),
      current: known?.current ?? false,
    });
    if (age === 'stale') return respond(NOT_ANSWERED);
    if (known) known.via = via;
    if (age === 'introduce') return this.introduce(known, received);
    const node = known ?? this.add(report, via, now);
    const isFirst = node.reportedMs === -Infinity;
    // An old report, delivered late: it is not answered with 200, as its worker must not count on it. Or the
    // worker has begun anew, and its counters with it: its machine then counts as silent, and is replaced.
    if (!deps.ledger.take(node, report, true, now)) return respond(NOT_ANSWERED);
    if (isFirst) {
      deps.log.info({ node: node.name, ms: Math.round(now - node.rentedMs) }, 'machine reports');
      node.idleSinceMs = now;
    }
    this.seen(node);
    const orders = deps.commands.forAnswer(node, report.tick, now);
    // Checked last, right before the answer goes out.
    if (!this.mayAnswer()) return respond(NOT_ANSWERED);
    deps.ledger.answered(node, deps.nowMs() + heldMs);
    respond(this.answerWith(orders));
  }

  /** A worker answered commands with its report. */
  takeCommandAnswer(node: Node, report: Report): void {
    if (report.token !== this.deps.term.number) return;
    if (this.deps.ledger.take(node, report, false, this.deps.nowMs())) this.seen(node);
  }

  private add(report: Report, via: string, now: number): Node {
    const { node: name, address, type, zone, spot } = report;
    const capacity = this.deps.capacityOf(type);
    const node = this.deps.ledger.addNode({ name, address, type, zone, spot, capacity }, now);
    node.via = via;
    return node;
  }

  private answerWith(orders: Order[]): HttpResponse {
    if (orders.length === 0) return this.emptyAnswer;
    return { status: 200, body: formatJson(encodeOrders(this.deps.term.number, orders)) };
  }

  /** Whether we are the only one entitled to answer workers, and know what was cancelled (knowledge.ts). */
  private mayAnswer(): boolean {
    const now = this.deps.nowMs();
    return this.deps.term.authority.holds(now) && this.deps.knowledge.mayAnswer(now);
  }

  /**
   * Shows our token to a worker that does not know it yet, and stops what belongs to jobs that are over: leaders may
   * change faster than workers report. Nothing else is said, as the report may be a copy of long ago.
   */
  private introduce(node: Node | undefined, { report, respond, heldMs }: ReceivedReport): void {
    const { deps } = this;
    const now = deps.nowMs();
    if (node) {
      if (node.introducedMs === -Infinity) node.introducedMs = now;
      // Answers do not reach it: its lease must run out for us too, or its tasks would be waited for without end.
      if (now - node.introducedMs > INTRODUCE_FOR_MS) return respond(NOT_ANSWERED);
      node.address = report.address;
      if (!node.recorded) deps.records.use(node);
      deps.changed();
    }
    if (!this.mayAnswer()) return respond(NOT_ANSWERED);
    // A machine without record holds no task of ours, so its lease is of no matter.
    if (node) deps.ledger.answered(node, deps.nowMs() + heldMs);
    respond(this.answerWith(stopsOfEnded(report, deps.mirror)));
  }

  private seen(node: Node): void {
    if (!node.current) {
      node.current = true;
      this.deps.account(node);
      this.deps.changed();
    }
    if (node.idleSinceMs === Infinity && node.attempts.size === 0) node.idleSinceMs = this.deps.nowMs();
    if (node.attempts.size > 0) node.idleSinceMs = Infinity;
    if (!node.recorded) this.deps.records.use(node);
  }
}
