/**
 * Throttles for recurring work. They enforce a minimum interval between runs, which grows with the duration of the
 * work and so limits the share of processor time that the work takes.
 */
import type { Clock } from '@pumicehinge/runtime';

/** Limits how often a piece of work may run. */
export interface ThrottleOptions {
  /** Minimum time in milliseconds between the starts of two runs. */
  readonly minIntervalMs: number;
  /** Minimum time between the starts of two runs, as a multiple of the duration of the first of them. */
  readonly intervalRatio: number;
}

/** Tells whether a piece of work that runs as part of other work may run again. */
export class Throttle {
  private lastStartMs = -Infinity;
  private lastDurationMs = 0;

  constructor(
    private readonly clock: Clock,
    private readonly options: ThrottleOptions,
  ) {}

  /** Steady time in ms before which the work may not run again. */
  get earliestNextRunMs(): number {
    return (
      this.lastStartMs +
      Math.max(this.options.minIntervalMs, this.lastDurationMs * this.options.intervalRatio)
    );
  }

  /** Whether the work may run at this steady time in ms. */
  isDue(nowMs: number): boolean {
    return nowMs >= this.earliestNextRunMs;
  }

  /** Runs the work, passes it the steady time in ms at which it starts, and measures how long it takes. */
  run(work: (nowMs: number) => void): void {
    const nowMs = this.clock.steadyMs();
    this.lastStartMs = nowMs;
    work(nowMs);
    this.lastDurationMs = this.clock.steadyMs() - nowMs;
  }
}

/**
 * Schedules a piece of work that many events request. All requests between two runs are merged into one run. A slow
 * controller runs the work less often, so that the work takes only a limited share of processor time. Only a run that
 * is requested with `requestBy` does not wait for the throttle.
 */
export class ThrottledTask {
  private readonly throttle: Throttle;
  private cancelTimer: (() => void) | undefined;
  private scheduledRunMs = Infinity;

  constructor(
    private readonly clock: Clock,
    options: ThrottleOptions,
    /** Called when the work is due. The owner sends itself a message, and calls `run` when it handles that message. */
    private readonly onDue: () => void,
  ) {
    this.throttle = new Throttle(clock, options);
  }

  /** Requests a run as soon as the throttle allows one. */
  request(): void {
    this.requestBy(Math.max(this.clock.steadyMs(), this.throttle.earliestNextRunMs));
  }

  /** Requests a run no later than this steady time in ms, whether or not the throttle allows one by then. */
  requestBy(latestRunMs: number): void {
    if (latestRunMs >= this.scheduledRunMs) return;
    this.cancelTimer?.();
    this.scheduledRunMs = latestRunMs;
    this.cancelTimer = this.clock.setTimer(latestRunMs - this.clock.steadyMs(), this.onDue);
  }

  /** Whether a run is scheduled for this steady time in ms or earlier. */
  isDueBy(steadyMs: number): boolean {
    return this.scheduledRunMs <= steadyMs;
  }

  /** Runs the work, whether or not it is due, and measures how long it takes. */
  run(work: (nowMs: number) => void): void {
    this.scheduledRunMs = Infinity;
    this.throttle.run(work);
  }

  /** Cancels the pending run. */
  stop(): void {
    this.cancelTimer?.();
  }
}
