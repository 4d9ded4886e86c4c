import type { Logger } from 'pino';
import { LOST_START_MS, ORDERS_PER_ANSWER, ORDER_CALL_MS, ORDER_REPEAT_MS } from '../constants.js';
import { encodeOrders, readReport, type Order, type Report } from '../fleet/codec.js';
import { attemptKey, type Attempt, type Ledger, type Node } from '../fleet/ledger.js';
import { CallError, type HttpCaller } from '../http/message.js';
import { formatJson, type WireInt } from '../wire/json.js';
import type { Term } from './election.js';

/** A call with commands straight to a worker has ended. */
export interface CommandCallEnd {
  node: Node;
  /** The starts that it carried. */
  sent: Attempt[];
  /** 0: no answer. */
  status: number;
  body: string;
  failure?: 'unsent' | 'unclear';
}

/** What the commands need of their leader. */
export interface WorkerCommandsDeps {
  term: Term;
  ledger: Ledger;
  caller: HttpCaller;
  nowMs: () => number;
  log: Logger;
  mayStart: (attempt: Attempt) => boolean;
  /** Comes back through the leader's mailbox into `onCallEnded`. */
  callEnded: (end: CommandCallEnd) => void;
  /** Takes the report that a worker answers commands with. */
  answered: (node: Node, report: Report) => void;
}

/**
 * Commands to workers: the ones that go with the answers to their reports, and the ones sent straight to them where
 * waiting for the next report would cost time. A direct start without an answer stays bound: it may be executed as long
 * as the worker's session lasts.
 */
export class WorkerCommands {
  /** Machines to which a call is under way. */
  private readonly calling = new Set<Node>();
  /** Direct starts without an answer. */
  private readonly lostStarts = new Set<Attempt>();
  private readonly stopSentMs = new Map<Attempt, number>();

  constructor(private readonly deps: WorkerCommandsDeps) {}

  /** The attempt is to be stopped; one that was never sent is withdrawn at once. */
  stop(attempt: Attempt, leewayS: number): void {
    if (attempt.state === 'exited') return;
    if (attempt.state === 'planned' && attempt.direct === 'none') this.deps.ledger.unplan(attempt);
    else if (!attempt.stop || leewayS < attempt.stop.leewayS) {
      attempt.stop = { leewayS };
      this.deps.ledger.awaitingCommands.add(attempt.node);
      this.stopSentMs.delete(attempt);
    }
  }

  /** The attempt has ended: nothing more is sent for it. */
  forget(attempt: Attempt): void {
    this.stopSentMs.delete(attempt);
  }

  /** The commands that go with the answer to a report with this tick; starts among them count as sent. */
  forAnswer(node: Node, tick: WireInt, now: number): Order[] {
    const orders: Order[] = [];
    for (const [order, attempt] of this.deps.ledger.orders(node, this.deps.mayStart)) {
      if (orders.length >= ORDERS_PER_ANSWER) break;
      if (order.verb === 'run') this.markSent(attempt, tick, now);
      orders.push(order);
    }
    return orders;
  }

  /** Sends what workers have not been told yet straight to them. */
  sendAll(now: number): void {
    for (const node of this.deps.ledger.awaitingCommands) this.send(node, now);
  }

  private send(node: Node, now: number): void {
    if (this.calling.has(node) || !node.current || node.address === '') return;
    if (!this.deps.term.authority.holds(now)) return;
    // Nothing planned and nothing to stop: the machine is told of again when there is.
    if (!hasCommands(node)) {
      this.deps.ledger.awaitingCommands.delete(node);
      return;
    }
    const { orders, sent } = this.direct(node, now);
    if (orders.length === 0) return;
    this.calling.add(node);
    const body = formatJson(encodeOrders(this.deps.term.number, orders, node.session));
    const ended = this.deps.callEnded;
    this.deps.caller.call(node.address, 'POST', '/orders', body, ORDER_CALL_MS).then(
      (response) => ended({ node, sent, status: response.status, body: response.body }),
      (error: unknown) => {
        const failure = error instanceof CallError ? error.failure : 'unclear';
        ended({ node, sent, status: 0, body: '', failure });
      },
    );
  }

  private direct(node: Node, now: number): { orders: Order[]; sent: Attempt[] } {
    const orders: Order[] = [];
    const sent: Attempt[] = [];
    for (const [order, attempt] of this.deps.ledger.orders(node, this.deps.mayStart)) {
      if (orders.length >= ORDERS_PER_ANSWER) break;
      if (order.verb === 'clear') continue;
      if (order.verb === 'stop') {
        if (now - (this.stopSentMs.get(attempt) ?? -Infinity) < ORDER_REPEAT_MS) continue;
        this.stopSentMs.set(attempt, now);
      } else {
        // After a lost one, only report answers repeat it: which copy an answer speaks of would be unclear.
        if (attempt.direct !== 'none') continue;
        this.markSent(attempt, node.tick, now);
        attempt.direct = 'pending';
        sent.push(attempt);
      }
      orders.push(order);
    }
    return { orders, sent };
  }

  private markSent(attempt: Attempt, tick: WireInt, now: number): void {
    attempt.state = 'sent';
    attempt.sentTick = tick;
    attempt.sentMs = now;
    this.deps.log.debug(
      { task: `${attempt.uid}/${attempt.index}`, node: attempt.node.name },
      'task start sent',
    );
  }

  /** What the end of a call tells of the starts that it carried. */
  onCallEnded({ node, sent, status, body, failure }: CommandCallEnd): void {
    this.calling.delete(node);
    const executed = status === 200;
    const notExecuted = status === 409 || status === 400 || failure === 'unsent';
    for (const attempt of sent) {
      attempt.direct = executed || notExecuted ? 'none' : 'lost';
      if (attempt.direct === 'lost') this.lostStarts.add(attempt);
      if (notExecuted && attempt.state === 'sent') attempt.state = 'planned';
    }
    if (status !== 200 && status !== 409) return;
    if (this.deps.ledger.nodes.get(node.name) !== node) return;
    const report = readReport(body);
    if (report) this.deps.answered(node, report);
  }

  /**
   * Whether a direct start of a job that is over was lost: it may be executed as long as the worker's session lasts, and
   * only a new term ends that.
   */
  needsNewTerm(now: number): boolean {
    for (const attempt of this.lostStarts) {
      const { node, uid, index, number, state } = attempt;
      const isBound = node.attempts.get(attemptKey(uid, index, number)) === attempt;
      if (!isBound || state === 'exited') {
        this.lostStarts.delete(attempt);
        continue;
      }
      const isOver = attempt.job !== undefined && !attempt.job.isOpen;
      if (!isOver || now - attempt.sentMs < LOST_START_MS) continue;
      this.deps.log.info({ task: `${uid}/${index}` }, 'late start of an ended job: new term');
      return true;
    }
    return false;
  }
}

function hasCommands(node: Node): boolean {
  for (const attempt of node.attempts.values()) {
    if (attempt.state === 'planned') return true;
    if (attempt.stop !== undefined && attempt.state !== 'exited') return true;
  }
  return false;
}
