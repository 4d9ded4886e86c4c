/** The clock of a single simulated process. */
import type { Clock } from './clock.js';

/** A clock whose timers no longer fire once the process has ended. */
export class ProcessClock implements Clock {
  private isProcessAlive = true;

  /** Wraps `baseClock`. `deferWhilePaused` runs a due action, but not before the end of a pause of the process. */
  constructor(
    private readonly baseClock: Clock,
    private readonly deferWhilePaused: (run: () => void) => void = (run) => run(),
  ) {}

  /** Ends the process. None of its timers fires any more. */
  kill(): void {
    this.isProcessAlive = false;
  }

  /** Whether the process is still running. */
  get isAlive(): boolean {
    return this.isProcessAlive;
  }

  /** Returns the time of the steady clock in milliseconds. */
  steadyMs(): number {
    return this.baseClock.steadyMs();
  }

  /** Returns the time of day in milliseconds since 1970. */
  wallMs(): number {
    return this.baseClock.wallMs();
  }

  /**
   * Calls `callback` once after `delayMs` milliseconds, provided that the process has not ended by then. Returns a function
   * that cancels the timer.
   */
  setTimer(delayMs: number, callback: () => void): () => void {
    let isCancelled = false;
    const cancelTimer = this.baseClock.setTimer(delayMs, () =>
      this.deferWhilePaused(() => {
        if (this.isProcessAlive && !isCancelled) callback();
      }),
    );
    return () => {
      isCancelled = true;
      cancelTimer();
    };
  }
}
