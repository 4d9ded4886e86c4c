/** One simulated process of a model cluster. */
import type { Clock } from '@pumicehinge/runtime';
import { ProcessClock, type SimulatedClock } from '@pumicehinge/runtime/simulated-clock';

/** A process with its own clock. Actions that arrive while it is paused are deferred until it resumes. */
export class ModelProcess {
  readonly clock: ProcessClock;
  private isPaused = false;
  private readonly deferredActions: (() => void)[] = [];
  /** Offset in milliseconds that is added to the steady clock. */
  clockOffsetMs = 0;

  constructor(base: SimulatedClock) {
    this.clock = new ProcessClock(base, (action) => this.run(action));
  }

  /**
   * The clock as the process sees it. The offset distorts the time of day a thousand times more than the steady clock,
   * because nothing may depend on the time of day.
   */
  get visibleClock(): Clock {
    return {
      steadyMs: () => this.clock.steadyMs() + this.clockOffsetMs,
      wallMs: () => this.clock.wallMs() + this.clockOffsetMs * 1_000,
      setTimer: (ms, run) => this.clock.setTimer(ms, run),
    };
  }

  /** Runs an action at once, or when the process is resumed if it is paused. */
  run(action: () => void): void {
    if (this.isPaused) this.deferredActions.push(action);
    else if (this.clock.isAlive) action();
  }

  pause(): void {
    this.isPaused = true;
  }

  resume(): void {
    this.isPaused = false;
    for (const action of this.deferredActions.splice(0)) this.run(action);
  }
}
