import type { Logger } from 'pino';
import type { Clock } from '@pumicehinge/runtime';
import { FLEET_REVIEW_REST, RENT_SPACING_MS, STARVATION_MS } from '../constants.js';
import type { NodeRecords } from '../fleet/node-records.js';
import { PacedTask } from '../paced-task.js';
import type { Dependencies } from '../pipeline/dependencies.js';
import type { Job } from '../pipeline/job.js';
import { byRelease, withinGuarantee } from '../placement/order.js';
import type { Placer } from '../placement/placer.js';
import type { Renter } from '../placement/renter.js';
import type { TeamLimit } from '../placement/rules.js';
import type { JobStore } from './job-store.js';
import type { Recovery } from './recovery.js';
import type { WorkerCommands } from './worker-commands.js';

/** What a scheduling pass needs of its leader. */
export interface SchedulingPassDeps {
  store: JobStore;
  dependencies: Pick<Dependencies, 'statusOf'>;
  recovery: Recovery;
  records: NodeRecords;
  commands: WorkerCommands;
  placer: Placer;
  renter: Renter;
  limits: ReadonlyMap<string, TeamLimit>;
  clock: Clock;
  log: Logger;
}

/** One look at all jobs: places what waits, rents what is lacking and makes room, in the order of release. */
export class SchedulingPass {
  /** Only ever run in a pass. */
  private readonly renting: PacedTask;

  constructor(private readonly deps: SchedulingPassDeps) {
    this.renting = new PacedTask(
      deps.clock,
      { spacingMs: RENT_SPACING_MS, rest: FLEET_REVIEW_REST },
      () => undefined,
    );
  }

  run(now: number): void {
    const { store, records, placer, renter, limits } = this.deps;
    const open = this.openJobs();
    const within = withinGuarantee(open, limits);
    const wallMs = this.deps.clock.wallMs();
    const due = new Map(open.map((job) => [job, job.dueMs(wallMs)]));
    open.sort(
      byRelease(
        within,
        (job) => now - job.starvingSinceMs > STARVATION_MS,
        (job) => due.get(job)!,
      ),
    );
    const waiting = placer.place(open, now);
    for (const job of open) store.store(job);
    records.flush(now);
    if (this.renting.isDue(now)) this.renting.run(() => renter.rent(waiting, now));
    placer.preempt(open, waiting, within, now);
  }

  /** The jobs that take part in this pass; what is over and has left nothing behind is forgotten. */
  private openJobs(): Job[] {
    const open: Job[] = [];
    for (const job of this.deps.store.jobs.values()) {
      if (this.waits(job)) continue;
      const isOver = this.checkJob(job);
      if (!isOver && job.isOpen) open.push(job);
    }
    return open;
  }

  /** Whether jobs that it needs are not done yet: then it takes no part in anything. */
  private waits(job: Job): boolean {
    if (!job.isDependent || !job.isOpen) return false;
    const status = this.deps.dependencies.statusOf(job.uid);
    if (status === 'cancelled') this.deps.store.cancel(job);
    if (status === 'free' && Number.isNaN(job.releasedMs)) {
      job.releasedMs = this.deps.store.releasedMs(job);
      this.deps.log.debug({ job: job.uid }, 'job released');
    }
    return status === 'waiting';
  }

  /** True when the job is over and nothing of it is left. */
  private checkJob(job: Job): boolean {
    const { store, commands, recovery, log } = this.deps;
    if (job.isOpen) {
      const ageS = (this.deps.clock.wallMs() - job.stored.acceptedMs) / 1000;
      const end = job.settle(ageS);
      if (end === 'acceptable') job.finishedMs = this.deps.clock.wallMs();
      if (end === 'expired') log.info({ job: job.uid }, 'pipeline expired, successor adopts its tasks');
      if (end === 'acceptable') for (const attempt of job.bound.values()) commands.stop(attempt, 0);
      if (job.isOpen) return false;
    }
    if (recovery.isComplete || job.phase === 'done') store.store(job);
    const left = job.bound.size > 0 || job.writing || job.needsWrite;
    if (!left) store.jobs.delete(job.uid);
    return !left;
  }
}
