/** A rate limiter with a token bucket. */
import type { Clock } from './clock.js';

/** Permits a number of requests per second on average, and bursts up to the size of the token bucket. */
export class RateLimiter {
  private tokens: number;
  private lastRefillAtMs: number;
  private burstS = 1;

  /** Starts with a full bucket, which holds the tokens of one second and at least one token. */
  constructor(
    private readonly clock: Clock,
    private requestsPerSecond: number,
  ) {
    this.tokens = this.capacity;
    this.lastRefillAtMs = clock.steadyMs();
  }

  /**
   * Changes the rate and the size of the bucket, which has room for the requests of `burstS` seconds. The tokens in the
   * bucket, or a negative balance, are kept.
   */
  setRate(requestsPerSecond: number, burstS = 1): void {
    this.refill();
    this.requestsPerSecond = requestsPerSecond;
    this.burstS = burstS;
  }

  /**
   * Returns the number of milliseconds until `requestCount` requests are permitted, or 0 if they are permitted now. More
   * requests than the bucket has room for are permitted once it is full.
   */
  computeWaitMs(requestCount: number): number {
    this.refill();
    const requiredTokens = Math.min(requestCount, this.capacity);
    if (this.tokens >= requiredTokens) return 0;
    return Math.ceil(((requiredTokens - this.tokens) * 1000) / this.requestsPerSecond);
  }

  /**
   * Takes the tokens of `requestCount` requests, even if the bucket holds too few. The number of tokens then becomes
   * negative, and the next caller waits until the bucket has refilled.
   */
  consume(requestCount: number): void {
    this.refill();
    this.tokens -= requestCount;
  }

  private get capacity(): number {
    return Math.max(1, this.requestsPerSecond * this.burstS);
  }

  private refill(): void {
    const nowMs = this.clock.steadyMs();
    const newTokens = ((nowMs - this.lastRefillAtMs) * this.requestsPerSecond) / 1000;
    this.tokens = Math.min(this.capacity, this.tokens + newTokens);
    this.lastRefillAtMs = nowMs;
  }
}
