/** The clock interface. Clocks are passed in as dependencies, so that a simulation does not wait for real time to pass. */

/** A source of time and timers. */
export interface Clock {
  /** Returns the time of the steady (monotonic) clock in milliseconds, counted from an arbitrary start. */
  steadyMs(): number;
  /**
   * Returns the time of day in milliseconds since 1970. It can jump when the system clock is adjusted. The platform bounds
   * its error (the setting `clock_error_ms` of the platform's settings file, which this program does not read).
   */
  wallMs(): number;
  /** Calls `callback` once after `delayMs` milliseconds. Returns a function that cancels the timer. */
  setTimer(delayMs: number, callback: () => void): () => void;
}

/** The clock of the running process. */
export const systemClock: Clock = {
  steadyMs: () => performance.now(),
  wallMs: () => Date.now(),
  setTimer(delayMs, callback) {
    const timer = setTimeout(callback, Math.max(0, delayMs));
    return () => clearTimeout(timer);
  },
};

/** Resolves after `durationMs` milliseconds. */
export function sleep(clock: Clock, durationMs: number): Promise<void> {
  return new Promise((resolve) => clock.setTimer(durationMs, resolve));
}
