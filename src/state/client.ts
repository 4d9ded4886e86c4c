import { RateBudget, sleep, type Clock } from '@pumicehinge/runtime';
import {
  FOLLOWER_BURST_S,
  LEADER_REQUESTS,
  LEADER_WRITES,
  STATE_CALL_MS,
  STATE_FAILING_MS,
  STATE_RATE_USED,
  WATCH_GRACE_MS,
  WATCH_HOLD_MS,
} from '../constants.js';
import { CallError, type HttpCaller, type HttpResponse } from '../http/message.js';
import { formatJson, isObject, isWireInt, parseJson, type WireInt } from '../wire/json.js';

export interface Row {
  key: string;
  value: unknown;
  stamp: WireInt;
}

export interface Change {
  key: string;
  /** undefined: the key was deleted. */
  value: unknown;
  stamp: WireInt;
}

export interface Condition {
  key: string;
  stamp: WireInt;
}

export interface Operation {
  key: string;
  /** undefined: delete. */
  value: unknown;
  hold?: WireInt;
}

export type TxnResult =
  | { outcome: 'applied'; epoch: WireInt }
  | { outcome: 'conflict'; failed: string[]; epoch: WireInt }
  /** Surely not executed. */
  | { outcome: 'refused'; status: number }
  /** May have been executed, or may be executed later. */
  | { outcome: 'unclear' };

/** What the state service answered when it did not serve a call. */
export class StateError extends Error {
  constructor(readonly status: number) {
    super(`state service answered ${status}`);
  }
}

export interface StateLimits {
  rps: number;
  writesPerS: number;
  txnOps: number;
}

/** Speaks the state service's protocol, within this controller's part of its rates. */
export class StateClient {
  private readonly requests: RateBudget;
  readonly writes: RateBudget;
  /** Steady ms of the last call that was served. */
  lastServedMs = -Infinity;
  /** Steady ms since when no call is served; Infinity while calls are. */
  private failingSinceMs = Infinity;

  constructor(
    private readonly caller: HttpCaller,
    private readonly address: string,
    private readonly clock: Clock,
    readonly limits: StateLimits,
    private readonly controllers: number,
  ) {
    this.requests = new RateBudget(clock, 0);
    this.writes = new RateBudget(clock, 0);
    this.setLeading(false);
  }

  /**
   * Who leads writes nearly everything, so a part of the service's rates goes with the leadership and the rest is
   * split evenly. A leader that has just begun has nothing saved up, so the sum keeps within the rates around a change.
   */
  setLeading(leading: boolean): void {
    const part = (forLeader: number): number =>
      STATE_RATE_USED * ((1 - forLeader) / this.controllers + (leading ? forLeader : 0));
    this.requests.setRate(this.limits.rps * part(LEADER_REQUESTS));
    // A user who submits a pipeline sends several jobs in a row to one controller, while the others write little.
    this.writes.setRate(this.limits.writesPerS * part(LEADER_WRITES), leading ? 1 : FOLLOWER_BURST_S);
  }

  /** Whether the last call that ended was not served. */
  get failing(): boolean {
    return this.failingSinceMs < Infinity;
  }

  /** Whether the service serves us, as far as can be told: a single lost call does not count. */
  get isServed(): boolean {
    const now = this.clock.steadyMs();
    if (now - this.failingSinceMs > STATE_FAILING_MS) return false;
    return now - this.lastServedMs < WATCH_HOLD_MS + WATCH_GRACE_MS + STATE_FAILING_MS;
  }

  async page(prefix: string, since: string | undefined, rows: number) {
    const after = since === undefined ? '' : `&since=${since}`;
    const body = await this.served('GET', `/keys?starts=${prefix}${after}&page=${rows}`);
    const found = Array.isArray(body.rows) ? body.rows : [];
    return {
      rows: found
        .filter(isObject)
        .map((row): Row => ({ key: String(row.key), value: row.v, stamp: toInt(row.stamp) })),
      more: body.more === true,
      epoch: toInt(body.epoch),
    };
  }

  /** All changes after `since`; waits up to `holdMs` for one. StateError 410 when `since` is too old. */
  async follow(prefix: string, since: WireInt, holdMs: number) {
    const target = `/follow?starts=${prefix}&since=${since}&holdMs=${holdMs}`;
    const body = await this.served(
      'GET',
      target,
      undefined,
      holdMs + (holdMs > 0 ? WATCH_GRACE_MS : STATE_CALL_MS),
    );
    const log = Array.isArray(body.log) ? body.log : [];
    return {
      epoch: toInt(body.epoch),
      changes: log.filter(isObject).map((entry): Change => {
        const put = typeof entry.put === 'string';
        return {
          key: String(put ? entry.put : entry.drop),
          value: put ? entry.v : undefined,
          stamp: toInt(entry.stamp),
        };
      }),
    };
  }

  async multi(conditions: Condition[], operations: Operation[]): Promise<TxnResult> {
    const text = formatJson({
      if: conditions.map((c) => ({ key: c.key, stamp: c.stamp })),
      apply: operations.map((o) =>
        o.value === undefined
          ? { drop: o.key }
          : { put: o.key, v: o.value, ...(o.hold === undefined ? {} : { hold: o.hold }) },
      ),
    });
    let response: HttpResponse;
    try {
      response = await this.request('POST', '/multi', text, STATE_CALL_MS, operations.length);
    } catch (error) {
      if (error instanceof CallError && error.failure === 'unsent') return { outcome: 'refused', status: 0 };
      return { outcome: 'unclear' };
    }
    const body = parseBody(response.body);
    if (response.status === 200) return { outcome: 'applied', epoch: toInt(body.epoch) };
    if (response.status === 409) {
      const failed = Array.isArray(body.failed) ? body.failed.map(String) : [];
      return { outcome: 'conflict', failed, epoch: toInt(body.epoch) };
    }
    return { outcome: 'refused', status: response.status };
  }

  async lease(ttlMs: number): Promise<WireInt> {
    return toInt((await this.served('POST', '/leases', formatJson({ ttlMs }))).hold);
  }

  /** True while the lease lives, false once it has ended. Throws when that is not known. */
  async touch(hold: WireInt, timeoutMs: number): Promise<boolean> {
    const response = await this.request('POST', `/leases/${hold}/touch`, '{}', timeoutMs, 0, true);
    if (response.status === 200) return true;
    if (response.status === 404) return false;
    throw new StateError(response.status);
  }

  async endLease(hold: WireInt): Promise<void> {
    await this.request('DELETE', `/leases/${hold}`, undefined, STATE_CALL_MS, 0, true);
  }

  private async served(
    method: string,
    target: string,
    body?: string,
    timeoutMs: number = STATE_CALL_MS,
  ): Promise<Record<string, unknown>> {
    const response = await this.request(method, target, body, timeoutMs, 0);
    if (response.status !== 200) throw new StateError(response.status);
    return parseBody(response.body);
  }

  private async request(
    method: string,
    target: string,
    body: string | undefined,
    timeoutMs: number,
    writes: number,
    urgent = false,
  ): Promise<HttpResponse> {
    // The leader's lease is never held back by the budget: everything else depends on it.
    for (let wait = 1; !urgent && wait > 0;) {
      wait = Math.max(this.requests.waitMs(1), writes > 0 ? this.writes.waitMs(writes) : 0);
      if (wait > 0) await sleep(this.clock, wait);
    }
    this.requests.spend(1);
    if (writes > 0) this.writes.spend(writes);
    try {
      const response = await this.caller.call(this.address, method, target, body, timeoutMs);
      this.ended(response.status !== 503 && response.status !== 429);
      return response;
    } catch (error) {
      this.ended(false);
      throw error;
    }
  }

  private ended(served: boolean): void {
    const now = this.clock.steadyMs();
    this.failingSinceMs = served ? Infinity : Math.min(this.failingSinceMs, now);
    if (served) this.lastServedMs = now;
  }
}

function toInt(value: unknown): WireInt {
  if (!isWireInt(value)) throw new StateError(0);
  return value;
}

function parseBody(text: string): Record<string, unknown> {
  try {
    const body = parseJson(text);
    return isObject(body) ? body : {};
  } catch {
    return {};
  }
}
