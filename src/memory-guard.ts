/** Monitors the memory usage, so that user requests are rejected before the process is killed because it ran out of memory. */
import type { Logger } from 'pino';
import type { Clock } from '@pumicehinge/runtime';
import { MEMORY_CHECK_INTERVAL_MS, MEMORY_RECOVERY_RATIO } from './constants.js';

/** Detects memory pressure, and logs when the pressure starts and when it ends. */
export class MemoryGuard {
  private underPressure = false;

  constructor(
    private readonly clock: Clock,
    /** Returns the size of the heap and of the buffers outside it, in bytes. */
    private readonly measureUsedBytes: () => number,
    /** Memory pressure starts above this limit in bytes. It ends at `MEMORY_RECOVERY_RATIO` times the limit. */
    private readonly limitBytes: number,
    private readonly log: Logger,
  ) {}

  /** Whether so little memory is left that user requests must be rejected. */
  get isUnderPressure(): boolean {
    return this.underPressure;
  }

  /** Checks the memory usage immediately and then every `MEMORY_CHECK_INTERVAL_MS`. */
  start(): void {
    this.updatePressure();
    this.clock.setTimer(MEMORY_CHECK_INTERVAL_MS, () => this.start());
  }

  private updatePressure(): void {
    const usedBytes = this.measureUsedBytes();
    const limitBytes = this.underPressure ? this.limitBytes * MEMORY_RECOVERY_RATIO : this.limitBytes;
    const underPressure = usedBytes > limitBytes;
    if (underPressure === this.underPressure) return;
    this.underPressure = underPressure;
    const fields = { usedMb: toMebibytes(usedBytes), limitMb: toMebibytes(this.limitBytes) };
    if (underPressure) this.log.warn(fields, 'memory pressure started, rejecting user requests');
    else this.log.info(fields, 'memory pressure ended, accepting user requests');
  }
}

const toMebibytes = (bytes: number): number => Math.round(bytes / 2 ** 20);
