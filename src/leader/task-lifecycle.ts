/** Decides when task attempts may start, and handles the ends of attempts. */
import type { Logger } from 'pino';
import { formatTaskName, type Attempt, type Job } from '../cluster/cluster-state.js';
import type { CancellationWatermark } from '../election/cancellation-watermark.js';
import type { DependencyGraph } from '../pipeline/dependency-graph.js';
import type { ExitCause } from '../cluster/worker-messages.js';
import type { CommandDispatcher } from '../workers/command-dispatcher.js';
import type { TermReconciliation } from './term-reconciliation.js';

/** Dependencies of `TaskLifecycle`. */
export interface TaskLifecycleDependencies {
  readonly commandDispatcher: Pick<CommandDispatcher, 'discardAttempt'>;
  readonly reconciliation: Pick<TermReconciliation, 'isComplete'>;
  readonly jobDependencies: Pick<DependencyGraph, 'getStatus'>;
  readonly cancellationWatermark: Pick<CancellationWatermark, 'mayStartTasks'>;
  /** Whether the state store responded to the last call. */
  readonly isStateStoreAvailable: () => boolean;
  readonly nowMs: () => number;
  /** Steady time in ms at which the term began. */
  readonly termStartMs: number;
  readonly heartbeatIntervalS: number;
  readonly log: Logger;
  readonly requestSchedulingCycle: () => void;
}

/**
 * The exit of an attempt: its cause, its run time as far as it is known, and the steady time in ms at which it was
 * reported.
 */
interface TaskExit {
  readonly cause: ExitCause;
  readonly runTimeS: number;
  readonly nowMs: number;
}

/** Decides whether an attempt may be started, and applies its end to its job and its node. */
export class TaskLifecycle {
  constructor(private readonly dependencies: TaskLifecycleDependencies) {}

  /** Whether the attempt may be started. This has to be checked right before each start command is sent. */
  mayStart({ job, node }: Attempt): boolean {
    const { jobDependencies, cancellationWatermark, reconciliation } = this.dependencies;
    if (!job || !job.isOpen || !job.isStartPersisted) return false;
    if (!node.isPersistedAsUsed || !node.isReconciled || node.isTerminating) return false;
    if (job.hasDependencies && jobDependencies.getStatus(job.uid) !== 'ready') return false;
    const source = this.dependencies.isStateStoreAvailable() ? 'stateStore' : 'peers';
    if (!cancellationWatermark.mayStartTasks(this.dependencies.nowMs(), source)) return false;
    // The tasks of a job that an earlier term started may still run on nodes that are not reconciled.
    return reconciliation.isComplete || !job.startedInEarlierTerm;
  }

  /** Handles an attempt that has exited according to its worker. */
  handleExited(attempt: Attempt, cause: ExitCause): void {
    const { node, job } = attempt;
    const nowMs = this.dependencies.nowMs();
    const runTimeS = Math.round((nowMs - attempt.startedMs) / 1000);
    this.dependencies.log.debug(
      { task: formatTaskName(attempt), node: node.name, cause, ranS: runTimeS },
      'task exited',
    );
    this.dependencies.commandDispatcher.discardAttempt(attempt);
    if (!job) return;
    this.applyExit(job, attempt, { cause, runTimeS, nowMs });
    this.dependencies.requestSchedulingCycle();
  }

  /** Handles an attempt that has certainly ended without a reported exit. Its task is pending again. */
  handleReleased(attempt: Attempt): void {
    if (attempt.state !== 'planned')
      this.dependencies.log.info({ task: formatTaskName(attempt), node: attempt.node.name }, 'task lost');
    this.dependencies.commandDispatcher.discardAttempt(attempt);
    this.dependencies.requestSchedulingCycle();
  }

  private applyExit(job: Job, attempt: Attempt, { cause, runTimeS, nowMs }: TaskExit): void {
    const { node } = attempt;
    if (cause === 'completed' && !job.isService) {
      job.completeTask(attempt.taskIndex);
      // The start time of an attempt of an earlier term is unknown, and therefore its run time as well.
      if (attempt.startedMs > this.dependencies.termStartMs) job.progress.recordRunTime(runTimeS);
    } else if (cause === 'failed') {
      job.progress.recordFailure(node.name, nowMs);
      node.recordFailedJob(job.uid);
      this.dependencies.log.info({ task: formatTaskName(attempt), node: node.name }, 'task failed');
    } else if (cause === 'unknownTask' || cause === 'insufficientResources') {
      job.progress.delayStarts(nowMs + this.dependencies.heartbeatIntervalS * 1000);
    }
  }
}
