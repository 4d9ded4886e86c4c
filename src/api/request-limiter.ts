/**
 * Limits the user requests in progress. Each request gets one response in time, and requests beyond the limit have to
 * be retried later.
 */
import type { Clock } from '@pumicehinge/runtime';
import type { Logger } from 'pino';
import { MAX_USER_REQUESTS_IN_PROGRESS } from '../constants.js';
import type { HttpResponse, ResponseCallback } from '../http/message.js';
import { TRY_AGAIN } from './responses.js';

/** Dependencies of `RequestLimiter`. */
export interface RequestLimiterDependencies {
  readonly clock: Clock;
  readonly log: Logger;
  /** Whether memory is so short that user requests are rejected. */
  readonly isShortOfMemory: () => boolean;
  /** Whether this controller reports itself as healthy to the load balancer. */
  readonly isHealthy: () => boolean;
}

/** Admits up to MAX_USER_REQUESTS_IN_PROGRESS user requests at a time. */
export class RequestLimiter {
  private requestsInProgress = 0;

  constructor(private readonly dependencies: RequestLimiterDependencies) {}

  /** Responds with the result of `handleRequest`, or with 503 if it fails or takes longer than `timeoutMs`. */
  run(timeoutMs: number, respond: ResponseCallback, handleRequest: () => Promise<HttpResponse>): void {
    const { clock, log, isShortOfMemory } = this.dependencies;
    if (this.requestsInProgress >= MAX_USER_REQUESTS_IN_PROGRESS) return respond(TRY_AGAIN);
    if (isShortOfMemory()) return respond({ ...TRY_AGAIN, closesConnection: true });
    this.requestsInProgress++;
    let hasFinished = false;
    const finish = (response: HttpResponse): void => {
      if (hasFinished) return;
      hasFinished = true;
      cancelTimeout();
      this.requestsInProgress--;
      respond(this.closeIfUnhealthy(response));
    };
    const cancelTimeout = clock.setTimer(timeoutMs, () => finish(TRY_AGAIN));
    handleRequest().then(finish, (error: unknown) => {
      log.debug({ err: error }, 'request failed');
      finish(TRY_AGAIN);
    });
  }

  /**
   * Closes the connection after a 503 of an unhealthy controller, because the load balancer never moves open
   * connections.
   */
  private closeIfUnhealthy(response: HttpResponse): HttpResponse {
    const shouldClose = response.status === 503 && !this.dependencies.isHealthy();
    return shouldClose ? { ...response, closesConnection: true } : response;
  }
}
