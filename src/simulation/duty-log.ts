import {
  decodeHolder,
  decodeOrder,
  DUTIES,
  holderKey,
  ORDERS,
  type Duty,
  type Order,
} from '@pumicehinge/duties';
import type { HttpResponse } from '../http/message.js';
import type { SimCloud } from './cloud.js';
import type { SimHandler } from './network.js';
import type { SimStateService } from './state-service.js';

/** One action of a duty as a stand-in received it. */
export interface DutyAction {
  atMs: number;
  duty: Duty;
  sender: string;
  /** Who held the duty as it arrived. */
  holder: string | undefined;
  subject: string;
  /** `record`: a write that was taken; `effect`: machines came or went; `none`: nothing changed. */
  result: 'record' | 'effect' | 'none';
  /** Whether it was on record before that this is carried out. */
  isCovered: boolean;
}

export interface StaleSummary {
  /** Actions of who did not hold the duty that were accepted: a changed record, or an effect that is on no record. */
  accepted: DutyAction[];
  /** Late calls that changed nothing. */
  withoutEffect: number;
  /** Late calls that were the first to bring about what stood on record as being carried out. */
  asRecorded: number;
}

interface Transaction {
  apply?: { put?: string; drop?: string; v?: unknown }[];
}

/** What the stand-ins of the state service and the cloud receive from holders of duties, and who holds them then. */
export class DutyLog {
  readonly actions: DutyAction[] = [];
  private readonly intended = new Map<string, Order>();

  constructor(
    private readonly state: SimStateService,
    private readonly cloud: SimCloud,
    private readonly nowMs: () => number,
  ) {}

  wrap(service: 'state' | 'cloud', handler: SimHandler): SimHandler {
    return (from, method, target, body) => {
      if (service === 'state' && target === '/multi' && body !== undefined)
        return this.transaction(from, body, () => handler(from, method, target, body));
      if (service === 'cloud' && method === 'POST' && body !== undefined)
        return this.call(from, target, body, () => handler(from, method, target, body));
      return handler(from, method, target, body);
    };
  }

  holderOf(duty: Duty): string | undefined {
    return decodeHolder(this.state.peek(holderKey(duty)))?.member;
  }

  holders(): (string | undefined)[] {
    return DUTIES.map((duty) => this.holderOf(duty));
  }

  stale(): StaleSummary {
    const stale = this.actions.filter(({ sender, holder }) => sender !== holder);
    return {
      accepted: stale.filter(
        ({ result, isCovered }) => result === 'record' || (result === 'effect' && !isCovered),
      ),
      withoutEffect: stale.filter(({ result }) => result === 'none').length,
      asRecorded: stale.filter(({ result, isCovered }) => result === 'effect' && isCovered).length,
    };
  }

  private async transaction(
    sender: string,
    body: string,
    execute: () => Promise<HttpResponse | undefined>,
  ): Promise<HttpResponse | undefined> {
    const holders = new Map(DUTIES.map((duty) => [duty, this.holderOf(duty)]));
    const atMs = this.nowMs();
    const response = await execute();
    if (response?.status !== 200) return response;
    for (const { put, drop, v } of (JSON.parse(body) as Transaction).apply ?? []) {
      const order = put === undefined ? undefined : decodeOrder(put, v);
      const duty = drop?.startsWith(ORDERS)
        ? 'cleanup'
        : order?.state === 'ordered'
          ? undefined
          : order?.duty;
      if (order?.state === 'intended') this.intended.set(put!, order);
      if (duty === undefined) continue;
      const subject = put ?? drop!;
      this.actions.push({
        ...{ atMs, duty, sender, subject, holder: holders.get(duty), result: 'record', isCovered: false },
      });
    }
    return response;
  }

  private async call(
    sender: string,
    target: string,
    body: string,
    execute: () => Promise<HttpResponse | undefined>,
  ): Promise<HttpResponse | undefined> {
    const request = JSON.parse(body) as { ask?: string; hearths?: string[] };
    const covers = (order: Order): boolean =>
      order.duty === 'rent'
        ? order.name === request.ask
        : (request.hearths ?? []).every((name) => order.names.includes(name));
    const covering = [...this.intended.values()].find(covers);
    const duty = covering?.duty ?? (target === '/hosts' ? 'rent' : 'return');
    const holder = this.holderOf(duty);
    const atMs = this.nowMs();
    const before = { rented: this.cloud.rented, hosts: this.cloud.hosts.size };
    const response = await execute();
    const changed = this.cloud.rented !== before.rented || this.cloud.hosts.size < before.hosts;
    this.actions.push({
      ...{ atMs, duty, sender, holder, subject: request.ask ?? (request.hearths ?? []).join(' ') },
      result: changed ? 'effect' : 'none',
      isCovered: covering !== undefined,
    });
    return response;
  }
}
