import { SPOT_EXPECTED_HOURS, SPOT_LOSSES_EXPECTED } from '../constants.js';
import { isObject } from '../wire/json.js';

/** How often spot machines are taken back, as seen by this leader and those before it. */
export class SpotLosses {
  private lost = 0;
  private hours = 0;
  private countedMs: number;

  constructor(stored: unknown, nowMs: number) {
    this.countedMs = nowMs;
    if (!isObject(stored)) return;
    this.lost = Number(stored.lost) || 0;
    this.hours = Number(stored.hours) || 0;
  }

  /** So many spot machines were in use since the last call. */
  used(machines: number, nowMs: number): void {
    this.hours += (machines * (nowMs - this.countedMs)) / 3_600_000;
    this.countedMs = nowMs;
  }

  lose(): void {
    this.lost++;
  }

  perHour(): number {
    return (this.lost + SPOT_LOSSES_EXPECTED * SPOT_EXPECTED_HOURS) / (this.hours + SPOT_EXPECTED_HOURS);
  }

  record(): unknown {
    return { lost: this.lost, hours: Math.round(this.hours * 1000) / 1000 };
  }
}
