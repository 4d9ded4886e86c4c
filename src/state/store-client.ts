/** The client of the state store, a consensus-backed key-value store with reads, transactions and leases over HTTP. */
import { RateLimiter, sleep, type Clock } from '@pumicehinge/runtime';
import {
  FOLLOWER_WRITE_BURST_S,
  LEADER_REQUEST_RATE_SHARE,
  LEADER_WRITE_RATE_SHARE,
  STATE_CALL_TIMEOUT_MS,
  STATE_UNAVAILABLE_AFTER_MS,
  STATE_RATE_SHARE,
  WATCH_GRACE_MS,
  WATCH_WAIT_MS,
} from '../constants.js';
import { HttpCallError, type HttpClient, type HttpResponse } from '../http/message.js';
import type { WireInt } from '../wire/json.js';
import type { Condition, KeyChanges, KeyPage, Operation, TransactionResult } from './key-value.js';
import {
  decodeChanges,
  decodeLease,
  decodePage,
  decodeTransactionResult,
  encodeLeaseRequest,
  encodeTransaction,
  keepAlivePath,
  leasePath,
  LEASES_PATH,
  listTarget,
  TRANSACTION_PATH,
  watchTarget,
} from './store-codec.js';
import { storeErrorForStatus } from './store-error.js';

export type { Condition, KeyChange, KeyValue, Operation, TransactionResult } from './key-value.js';
export { StoreError } from './store-error.js';

/** The limits of the state store, which all controllers share. */
export interface StoreLimits {
  /** Requests per second. */
  readonly requestsPerSecond: number;
  /** Operations per second, summed over all transactions. */
  readonly writesPerSecond: number;
  /** Limit of operations in one transaction. */
  readonly maxTransactionOperations: number;
}

/** Dependencies and settings of `StoreClient`. */
export interface StoreClientOptions {
  readonly httpClient: HttpClient;
  /** Host and port of the state store. */
  readonly address: string;
  readonly clock: Clock;
  readonly limits: StoreLimits;
  /** The number of controllers that share the limits. */
  readonly controllerCount: number;
}

/** A request to the state store. */
interface StoreRequest {
  readonly method: string;
  readonly target: string;
  readonly body?: string;
  readonly timeoutMs: number;
  /** Number of operations that count against the write rate limit. */
  readonly writeCount?: number;
  /** Whether the request is sent at once, even if it exceeds the rate limits. */
  readonly skipsRateLimit?: boolean;
}

/** Calls the state store within this controller's share of the rate limits. */
export class StoreClient {
  /** Limits the rate of operations in transactions. */
  readonly writeRateLimiter: RateLimiter;
  /** The limits that all controllers share. */
  readonly limits: StoreLimits;
  private readonly requestRateLimiter: RateLimiter;
  private lastCallServedMs = -Infinity;
  /** Time of the steady clock since which no call has been served. Infinity while calls are served. */
  private failingSinceMs = Infinity;

  /** Creates a client with the rate limits of a follower. `setIsLeader` changes them. */
  constructor(private readonly options: StoreClientOptions) {
    this.limits = options.limits;
    this.requestRateLimiter = new RateLimiter(options.clock, 0);
    this.writeRateLimiter = new RateLimiter(options.clock, 0);
    this.setIsLeader(false);
  }

  /**
   * Sets the share of the rate limits for a leader or a follower. The leader makes nearly all writes, so a part of each
   * limit is reserved for the leader and the rest is split evenly. A new leader keeps only the budget that
   * it accumulated as a follower, so all controllers together stay within the limits during a change of leader.
   */
  setIsLeader(isLeading: boolean): void {
    const { limits, controllerCount } = this.options;
    const share = (leaderShare: number): number =>
      STATE_RATE_SHARE * ((1 - leaderShare) / controllerCount + (isLeading ? leaderShare : 0));
    this.requestRateLimiter.setRate(limits.requestsPerSecond * share(LEADER_REQUEST_RATE_SHARE));
    // A follower may write in bursts, because a user who submits a pipeline sends several jobs in a row to one
    // controller. The other followers write little meanwhile.
    const burstS = isLeading ? 1 : FOLLOWER_WRITE_BURST_S;
    this.writeRateLimiter.setRate(limits.writesPerSecond * share(LEADER_WRITE_RATE_SHARE), burstS);
  }

  /** Time of the steady clock at which the last served call ended. It is -Infinity before the first one. */
  get lastServedCallMs(): number {
    return this.lastCallServedMs;
  }

  /** Whether the last call that ended was not served by the store. */
  get lastCallFailed(): boolean {
    return this.failingSinceMs < Infinity;
  }

  /** Whether the store probably serves this controller. Failures within `STATE_UNAVAILABLE_AFTER_MS` are tolerated. */
  get isStoreAvailable(): boolean {
    const nowMs = this.options.clock.steadyMs();
    if (nowMs - this.failingSinceMs > STATE_UNAVAILABLE_AFTER_MS) return false;
    return nowMs - this.lastCallServedMs < WATCH_WAIT_MS + WATCH_GRACE_MS + STATE_UNAVAILABLE_AFTER_MS;
  }

  /**
   * Lists at most `limit` keys with a prefix, sorted by key, starting after `afterKey`. Rejects with a StoreError if
   * the store does not serve the call, and with an HttpCallError if the store can't be reached.
   */
  async listPage(prefix: string, afterKey: string | undefined, limit: number): Promise<KeyPage> {
    return decodePage(
      await this.requestOrThrow({ method: 'GET', target: listTarget(prefix, afterKey, limit) }),
    );
  }

  /**
   * Reads all changes after a revision. The store waits up to `waitMs` for a change. Rejects with a
   * CompactedRevisionError if the store no longer has the history after `revision`, and otherwise like `listPage`.
   */
  async watch(prefix: string, revision: WireInt, waitMs: number): Promise<KeyChanges> {
    const target = watchTarget(prefix, revision, waitMs);
    const timeoutMs = waitMs + (waitMs > 0 ? WATCH_GRACE_MS : STATE_CALL_TIMEOUT_MS);
    return decodeChanges(await this.requestOrThrow({ method: 'GET', target, timeoutMs }));
  }

  /** Executes all operations in one transaction if all conditions hold. Rejects only if a response is malformed. */
  async compareAndSwap(
    conditions: readonly Condition[],
    operations: readonly Operation[],
  ): Promise<TransactionResult> {
    const body = encodeTransaction(conditions, operations);
    let response: HttpResponse;
    try {
      response = await this.request({
        method: 'POST',
        target: TRANSACTION_PATH,
        body,
        timeoutMs: STATE_CALL_TIMEOUT_MS,
        writeCount: operations.length,
      });
    } catch (error) {
      if (error instanceof HttpCallError && error.failure === 'unsent')
        return { outcome: 'refused', status: 0 };
      return { outcome: 'unclear' };
    }
    return decodeTransactionResult(response);
  }

  /** Grants a lease that expires `ttlMs` after its last renewal, and resolves to its id. Rejects like `listPage`. */
  async grantLease(ttlMs: number): Promise<WireInt> {
    const body = encodeLeaseRequest(ttlMs);
    return decodeLease(await this.requestOrThrow({ method: 'POST', target: LEASES_PATH, body }));
  }

  /**
   * Renews a lease. Resolves to true if the lease is alive, and to false if it has expired. Rejects with a StoreError
   * or an HttpCallError if that is unknown.
   */
  async keepAlive(leaseId: WireInt, timeoutMs: number): Promise<boolean> {
    const { status } = await this.request({
      method: 'POST',
      target: keepAlivePath(leaseId),
      body: '{}',
      timeoutMs,
      skipsRateLimit: true,
    });
    if (status === 200) return true;
    if (status === 404) return false;
    throw storeErrorForStatus(status);
  }

  /** Revokes a lease. Ignores the store's answer. Rejects with an HttpCallError if the store can't be reached. */
  async revokeLease(leaseId: WireInt): Promise<void> {
    await this.request({
      method: 'DELETE',
      target: leasePath(leaseId),
      timeoutMs: STATE_CALL_TIMEOUT_MS,
      skipsRateLimit: true,
    });
  }

  /** Sends a request and resolves to the body of the response. Rejects with a StoreError if the status is not 200. */
  private async requestOrThrow(
    request: Omit<StoreRequest, 'timeoutMs'> & { timeoutMs?: number },
  ): Promise<string> {
    const response = await this.request({ timeoutMs: STATE_CALL_TIMEOUT_MS, ...request });
    if (response.status !== 200) throw storeErrorForStatus(response.status);
    return response.body;
  }

  private async request(request: StoreRequest): Promise<HttpResponse> {
    const { method, target, body, timeoutMs, writeCount = 0, skipsRateLimit = false } = request;
    const { httpClient, address, clock } = this.options;
    // Renewals and revocations of leases skip the rate limits, because everything else depends on the leader's lease.
    if (!skipsRateLimit) {
      for (
        let waitMs = this.rateLimitWaitMs(writeCount);
        waitMs > 0;
        waitMs = this.rateLimitWaitMs(writeCount)
      )
        await sleep(clock, waitMs);
    }
    this.requestRateLimiter.consume(1);
    if (writeCount > 0) this.writeRateLimiter.consume(writeCount);
    try {
      const response = await httpClient.call(address, method, target, body, timeoutMs);
      this.recordCallEnd(response.status !== 503 && response.status !== 429);
      return response;
    } catch (error) {
      this.recordCallEnd(false);
      throw error;
    }
  }

  /** Returns the time until a request with so many write operations is within the rate limits. */
  private rateLimitWaitMs(writeCount: number): number {
    return Math.max(
      this.requestRateLimiter.computeWaitMs(1),
      writeCount > 0 ? this.writeRateLimiter.computeWaitMs(writeCount) : 0,
    );
  }

  private recordCallEnd(isServed: boolean): void {
    const nowMs = this.options.clock.steadyMs();
    this.failingSinceMs = isServed ? Infinity : Math.min(this.failingSinceMs, nowMs);
    if (isServed) this.lastCallServedMs = nowMs;
  }
}
