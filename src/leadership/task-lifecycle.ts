import type { Logger } from 'pino';
import type { ExitCause } from '../fleet/codec.js';
import type { Attempt } from '../fleet/ledger.js';
import type { Dependencies } from '../pipeline/dependencies.js';
import type { Knowledge } from './knowledge.js';
import type { Recovery } from './recovery.js';
import type { WorkerCommands } from './worker-commands.js';

/** What the lifecycle of tasks needs of its leader. */
export interface TaskLifecycleDeps {
  commands: Pick<WorkerCommands, 'forget'>;
  recovery: Pick<Recovery, 'isComplete'>;
  dependencies: Pick<Dependencies, 'statusOf'>;
  knowledge: Knowledge;
  /** Whether the state service answered our last call. */
  isServed: () => boolean;
  nowMs: () => number;
  /** Steady ms at which the term began. */
  startedMs: number;
  reportS: number;
  log: Logger;
  /** Something ended: a pass may place more. */
  changed: () => void;
}

const taskName = ({ uid, index }: Attempt): string => `${uid}/${index}`;

/** When an attempt may be started, and what its end means for its job and its machine. */
export class TaskLifecycle {
  constructor(private readonly deps: TaskLifecycleDeps) {}

  /** Checked right before each start command. */
  mayStart({ job, node }: Attempt): boolean {
    const { dependencies, knowledge, recovery } = this.deps;
    if (!job || !job.isOpen || !job.released) return false;
    if (!node.recorded || !node.current || node.returning) return false;
    if (job.isDependent && dependencies.statusOf(job.uid) !== 'free') return false;
    if (!knowledge.mayStart(this.deps.nowMs(), this.deps.isServed())) return false;
    return recovery.isComplete || !job.inherited;
  }

  /** Its worker says that it has exited. */
  exited(attempt: Attempt, cause: ExitCause): void {
    const { node } = attempt;
    const now = this.deps.nowMs();
    const ranS = Math.round((now - attempt.startedMs) / 1000);
    this.deps.log.debug({ task: taskName(attempt), node: node.name, cause, ranS }, 'task exited');
    this.deps.commands.forget(attempt);
    if (node.attempts.size === 0) node.idleSinceMs = now;
    if (attempt.job) this.noteEnd(attempt, cause, ranS, now);
  }

  /** It is surely over without a finish. */
  released(attempt: Attempt): void {
    if (attempt.state !== 'planned')
      this.deps.log.info({ task: taskName(attempt), node: attempt.node.name }, 'task lost');
    this.deps.commands.forget(attempt);
    this.deps.changed();
  }

  private noteEnd(attempt: Attempt, cause: ExitCause, ranS: number, now: number): void {
    const { node } = attempt;
    const job = attempt.job!;
    if (cause === 'done' && !job.isService) {
      job.finish(attempt.index);
      if (attempt.startedMs > this.deps.startedMs) job.ran(ranS);
    } else if (cause === 'error') {
      job.fail(node.name, now);
      node.failedJobs.add(job.uid);
      this.deps.log.info({ task: taskName(attempt), node: node.name }, 'task failed');
    } else if (cause === 'no_such' || cause === 'full') {
      job.notBeforeMs = Math.max(job.notBeforeMs, now + this.deps.reportS * 1000);
    }
    this.deps.changed();
  }
}
