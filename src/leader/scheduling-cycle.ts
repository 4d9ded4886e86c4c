/**
 * One scheduling cycle over all jobs in scheduling order: it places tasks, persists changes, scales out and preempts.
 */
import type { Logger } from 'pino';
import type { Clock } from '@pumicehinge/runtime';
import type { Autoscaler } from '../autoscaler/autoscaler.js';
import type { Job } from '../cluster/cluster-state.js';
import type { NodeRecords } from '../cluster/node-records.js';
import { FLEET_REVIEW_INTERVAL_RATIO, SCALE_OUT_MIN_INTERVAL_MS, STARVATION_WAIT_MS } from '../constants.js';
import type { DependencyGraph } from '../pipeline/dependency-graph.js';
import { createQueueComparator, findJobsWithinGuarantee } from '../scheduler/queue-order.js';
import type { Scheduler } from '../scheduler/scheduler.js';
import type { TeamQuota } from '../scheduler/team-quota.js';
import type { CommandDispatcher } from '../workers/command-dispatcher.js';
import type { JobStore } from './job-store.js';
import type { TermReconciliation } from './term-reconciliation.js';
import { Throttle } from './throttled-task.js';

/** Dependencies of `SchedulingCycle`. */
export interface SchedulingCycleDependencies {
  readonly jobStore: JobStore;
  readonly jobDependencies: Pick<DependencyGraph, 'getStatus'>;
  readonly reconciliation: Pick<TermReconciliation, 'isComplete'>;
  readonly nodeRecords: Pick<NodeRecords, 'flush'>;
  readonly commandDispatcher: Pick<CommandDispatcher, 'requestStop'>;
  readonly scheduler: Pick<Scheduler, 'schedule' | 'preempt'>;
  readonly autoscaler: Pick<Autoscaler, 'scaleOut'>;
  readonly quotas: ReadonlyMap<string, TeamQuota>;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Runs the scheduling decisions of the leader, and drops jobs that have ended. */
export class SchedulingCycle {
  /**
   * Limits how often the fleet is scaled out. This is done within cycles, but less often, because nodes boot for many
   * seconds.
   */
  private readonly scaleOutThrottle: Throttle;

  constructor(private readonly dependencies: SchedulingCycleDependencies) {
    this.scaleOutThrottle = new Throttle(dependencies.clock, {
      minIntervalMs: SCALE_OUT_MIN_INTERVAL_MS,
      intervalRatio: FLEET_REVIEW_INTERVAL_RATIO,
    });
  }

  /** Runs one cycle at this steady time in ms. */
  run(nowMs: number): void {
    const { jobStore, nodeRecords, scheduler, autoscaler, quotas } = this.dependencies;
    const openJobs = this.collectOpenJobs();
    const jobsWithinGuarantee = findJobsWithinGuarantee(openJobs, quotas);
    this.sortBySchedulingOrder(openJobs, jobsWithinGuarantee, nowMs);
    const pendingJobs = scheduler.schedule(openJobs, nowMs);
    for (const job of openJobs) jobStore.persist(job);
    nodeRecords.flush(nowMs);
    if (this.scaleOutThrottle.isDue(nowMs))
      this.scaleOutThrottle.run(() => autoscaler.scaleOut(pendingJobs, nowMs));
    scheduler.preempt(openJobs, pendingJobs, jobsWithinGuarantee, nowMs);
  }

  private sortBySchedulingOrder(openJobs: Job[], jobsWithinGuarantee: ReadonlySet<Job>, nowMs: number): void {
    const wallMs = this.dependencies.clock.wallMs();
    const deadlinesMs = new Map(openJobs.map((job) => [job, job.getSchedulingDeadlineMs(wallMs)]));
    openJobs.sort(
      createQueueComparator(
        jobsWithinGuarantee,
        (job) => nowMs - job.queueTimes.starvingSinceMs > STARVATION_WAIT_MS,
        (job) => deadlinesMs.get(job) ?? Infinity,
      ),
    );
  }

  /**
   * Collects the jobs that take part in this cycle. Ended jobs with nothing left to stop or to write are dropped from
   * the store.
   */
  private collectOpenJobs(): Job[] {
    const openJobs: Job[] = [];
    for (const job of this.dependencies.jobStore.jobs.values()) {
      if (this.isBlockedByDependencies(job)) continue;
      this.updateEnding(job);
      if (job.isOpen) openJobs.push(job);
      else this.persistAndDropEndedJob(job);
    }
    return openJobs;
  }

  /**
   * Whether the job waits for jobs that it depends on. A waiting job takes no part in the cycle. A job with a cancelled
   * dependency is cancelled, and the time at which all dependencies were done is recorded.
   */
  private isBlockedByDependencies(job: Job): boolean {
    if (!job.hasDependencies || !job.isOpen) return false;
    const status = this.dependencies.jobDependencies.getStatus(job.uid);
    if (status === 'cancelled') this.dependencies.jobStore.cancel(job);
    if (status === 'ready' && Number.isNaN(job.queueTimes.dependenciesDoneSinceMs)) {
      job.queueTimes.recordDependenciesMet(this.dependencies.jobStore.findDependenciesFinishedMs(job));
      this.dependencies.log.debug({ job: job.uid }, 'job dependencies completed');
    }
    return status === 'waiting';
  }

  /**
   * Ends an open job whose pipeline has reached an acceptable end, and stops its tasks. A job whose pipeline has
   * expired continues with the successor of the pipeline.
   */
  private updateEnding(job: Job): void {
    if (!job.isOpen) return;
    const { clock, commandDispatcher, log } = this.dependencies;
    const ending = job.endPipelineIfDue(clock.wallMs());
    if (ending === 'expired')
      log.info({ job: job.uid }, 'pipeline expired; job continues with the successor pipeline');
    if (ending !== 'acceptable') return;
    for (const attempt of job.attemptByTask.values())
      commandDispatcher.requestStop(attempt, { gracePeriodS: 0, reason: 'jobEnded' });
  }

  /** Persists the end of a job, and drops the job once it has no attempts on nodes and nothing left to write. */
  private persistAndDropEndedJob(job: Job): void {
    const { jobStore, reconciliation } = this.dependencies;
    // Until all nodes are reconciled, tasks of a cancelled job may run that the leader does not know yet.
    if (reconciliation.isComplete || job.phase === 'done') jobStore.persist(job);
    const isSettled = job.attemptByTask.size === 0 && !job.persistence.isWriteInProgress && !job.needsWrite;
    if (isSettled) jobStore.jobs.delete(job.uid);
  }
}
