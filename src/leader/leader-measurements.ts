/** What a leader measures for operators. */
import type { TaskSlotUsage } from '../cluster/task-slot-usage.js';
import type { CommandCounts } from '../workers/command-dispatcher.js';

/** Measurements of one term. */
export interface LeaderMeasurements {
  /** Fencing token of the term. */
  readonly term: number;
  readonly taskSlots: TaskSlotUsage;
  readonly commands: CommandCounts;
}
