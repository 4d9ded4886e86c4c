/** Logs the requests that a server rejects before its handler gets them. */
import type { Logger } from 'pino';
import type { Clock } from '@pumicehinge/runtime';
import { REJECTION_LOG_INTERVAL_MS } from '../constants.js';

/** Logs rejected requests, at most one of them per interval, and how many others were not logged. */
export class RejectionLog {
  private lastLoggedMs = -Infinity;
  private unloggedCount = 0;

  constructor(
    private readonly clock: Pick<Clock, 'steadyMs'>,
    private readonly log: Logger,
    private readonly onRejected: (status: number) => void,
  ) {}

  /** Records a rejected request: the status of its response, the address of the client, and what was wrong with it. */
  record(status: number, client: string | undefined, error: unknown): void {
    this.onRejected(status);
    const nowMs = this.clock.steadyMs();
    if (nowMs - this.lastLoggedMs < REJECTION_LOG_INTERVAL_MS) {
      this.unloggedCount++;
      return;
    }
    const reason = error instanceof Error ? error.message : String(error);
    this.log.warn({ status, client, reason, notLogged: this.unloggedCount }, 'request rejected');
    this.lastLoggedMs = nowMs;
    this.unloggedCount = 0;
  }
}
