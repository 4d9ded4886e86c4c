/** A simulated clock for the simulation and for tests. */
import type { Clock } from './clock.js';
import { TimerQueue } from './timer-queue.js';

export { ProcessClock } from './process-clock.js';

/** Time of day at which simulated time begins, in milliseconds since 1970. The value is arbitrary. */
const WALL_CLOCK_START_MS = 1_700_000_000_000;

/** A clock that jumps from one timer to the next. Timers due at the same time fire in the order in which they were set. */
export class SimulatedClock implements Clock {
  private nowMs = 0;
  private nextSequence = 0;
  private readonly timers = new TimerQueue();

  /** Returns the simulated milliseconds since the clock was created. */
  steadyMs(): number {
    return this.nowMs;
  }

  /** Returns the simulated time of day in milliseconds since 1970. */
  wallMs(): number {
    return WALL_CLOCK_START_MS + this.nowMs;
  }

  /** Calls `callback` once after `delayMs` simulated milliseconds. Returns a function that cancels the timer. */
  setTimer(delayMs: number, callback: () => void): () => void {
    const timer = { dueAtMs: this.nowMs + Math.max(0, delayMs), sequence: this.nextSequence++, callback };
    this.timers.push(timer);
    return () => {
      timer.callback = () => undefined;
    };
  }

  /** Fires every timer due by `untilMs`, then sets the time to `untilMs`. Pending promises settle after each timer. */
  async runUntil(untilMs: number): Promise<void> {
    await settlePromises();
    for (let timer = this.timers.peek(); timer && timer.dueAtMs <= untilMs; timer = this.timers.peek()) {
      this.timers.pop();
      this.nowMs = timer.dueAtMs;
      timer.callback();
      await settlePromises();
    }
    this.nowMs = untilMs;
  }
}

/** Waits until every promise that can settle has settled. */
async function settlePromises(): Promise<void> {
  await new Promise<void>((resolve) => setImmediate(resolve));
}
