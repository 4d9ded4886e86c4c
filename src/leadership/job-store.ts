import type { Logger } from 'pino';
import { CHUNKS_PER_WRITE, MALFORMED_PAUSE_MS, STORE_TIMEOUT_MS } from '../constants.js';
import { Job } from '../pipeline/job.js';
import { RunTimes } from '../pipeline/run-times.js';
import { passUrgency } from '../pipeline/urgency.js';
import type { Objective } from '../pipeline/job-pipeline.js';
import type { Condition, Operation } from '../state/client.js';
import type { Mirror } from '../state/mirror.js';
import {
  JOBS,
  LEADER_KEY,
  chunkCount,
  decodeJob,
  dependenciesOf,
  doneKey,
  encodeDone,
  encodeJob,
  jobKey,
  keyId,
} from '../state/records.js';
import type { Writer, WriteOutcome } from '../state/writer.js';
import type { WireInt } from '../wire/json.js';
import type { Term } from './election.js';

export interface JobStoreDeps {
  term: Term;
  mirror: Mirror;
  writer: Writer;
  objectives: Objective[];
  /** Most puts in one transaction. */
  txnOps: number;
  wallMs: () => number;
  log: Logger;
  /** A write of a job has ended; comes back through the leader's mailbox into `onStored`. */
  stored: (end: StoreEnd) => void;
  /** What the state service holds of a job is to be looked at again. */
  reread: (key: string) => void;
  /** A job that its user cancelled. */
  cancelled: (job: Job) => void;
}

export interface StoreEnd {
  job: Job;
  result: WriteOutcome;
  record: ReturnType<Job['record']>;
  chunks: [number, string][];
}

/** The jobs of the leader's term, and their values in the state service. */
export class JobStore {
  readonly jobs = new Map<string, Job>();
  private readonly runTimes = new RunTimes();

  constructor(private readonly deps: JobStoreDeps) {
    for (const row of deps.mirror.startingWith(JOBS)) this.take(row.key, row.value, row.stamp);
    // In whatever order they came: only now is every job there that another one needs.
    for (const job of this.jobs.values()) passUrgency(job, (name) => this.jobs.get(name));
  }

  /** Running tasks per job, for display. */
  runningCounts(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const job of this.jobs.values()) {
      if (!job.isOpen) continue;
      let running = 0;
      for (const attempt of job.bound.values())
        if (attempt.state === 'running' || attempt.state === 'saving') running++;
      if (running > 0) counts[job.uid] = running;
    }
    return counts;
  }

  /** Every write of a term stands under the condition that the term goes on. */
  write(conditions: Condition[], operations: Operation[]): Promise<WriteOutcome> {
    const fence = { key: LEADER_KEY, stamp: this.deps.term.stamp };
    return this.deps.writer.commit([fence, ...conditions], operations, STORE_TIMEOUT_MS);
  }

  take(key: string, value: unknown, stamp: WireInt): void {
    const uid = keyId(key);
    const record = decodeJob(value);
    if (!record) return;
    let job = this.jobs.get(uid);
    if (!job) {
      // Of a cancelled job with its description still there, tasks may be left on machines.
      if (!record.spec || record.phase === 'done') return;
      const dependencies = dependenciesOf(record.spec, (k) => this.deps.mirror.get(k)?.value) ?? [];
      job = new Job(uid, record, stamp, this.deps.objectives, this.runTimes, dependencies);
      this.takeChunks(job);
      this.jobs.set(uid, job);
      passUrgency(job, (name) => this.jobs.get(name));
      return;
    }
    this.takeChunks(job);
    if (stamp <= job.stamp) return;
    job.stamp = stamp;
    job.stored = record;
    job.learnDone(0, record.done);
    if (record.phase === 'cancelled') this.cancel(job);
  }

  /** Its user called it, or a job before it, off. */
  cancel(job: Job): void {
    if (job.phase === 'cancelled') return;
    job.phase = 'cancelled';
    this.deps.log.info({ job: job.uid }, 'job cancelled');
    this.deps.cancelled(job);
  }

  /** Wall ms at which the last of the jobs that a job needs was done, as far as their values say. */
  releasedMs(job: Job): number {
    const ends = job.dependencies.map(
      (uid) => decodeJob(this.deps.mirror.get(jobKey(uid))?.value)?.finishedMs ?? 0,
    );
    return ends.reduce((last, end) => Math.max(last, end), job.acceptedMs);
  }

  /** A write without an answer may have been carried out late: then its chunks have stamps that we don't know yet. */
  private takeChunks(job: Job): void {
    for (let chunk = 1; chunk < chunkCount(job.spec.tasks); chunk++) {
      const row = this.deps.mirror.get(doneKey(job.uid, chunk));
      if (!row || row.stamp <= (job.chunkStamps.get(chunk) ?? 0)) continue;
      job.learnDone(chunk, String(row.value));
      job.chunkStamps.set(chunk, row.stamp);
    }
  }

  /** Writes what changed of a job; one write at a time for each. */
  store(job: Job): void {
    if (job.writing || !job.needsWrite || this.deps.wallMs() < job.storeNotBeforeMs) return;
    job.writing = true;
    // Few chunks at a time, so that a write fits the service's limits.
    const chunks = [...job.dirtyChunks]
      .slice(0, Math.min(CHUNKS_PER_WRITE, this.deps.txnOps - 1))
      .map((c): [number, string] => [c, encodeDone(job.done, c)]);
    const partial = chunks.length < job.dirtyChunks.size;
    const record = job.record();
    if (partial) {
      record.phase = 'open';
      record.tuple = job.stored.tuple;
    }
    const conditions: Condition[] = [{ key: jobKey(job.uid), stamp: job.stamp }];
    const operations: Operation[] = [{ key: jobKey(job.uid), value: encodeJob(record) }];
    for (const [chunk, value] of chunks) {
      const key = doneKey(job.uid, chunk);
      conditions.push({ key, stamp: job.chunkStamps.get(chunk) ?? 0 });
      operations.push({ key, value });
      job.dirtyChunks.delete(chunk);
    }
    void this.write(conditions, operations).then((result) =>
      this.deps.stored({ job, result, record, chunks }),
    );
  }

  onStored({ job, result, record, chunks }: StoreEnd): void {
    job.writing = false;
    if (result.outcome === 'applied') {
      job.stamp = result.epoch;
      job.stored = record;
      job.learnStored(record.done, chunks, result.epoch);
      if (record.phase === 'done') this.logDone(job);
      return;
    }
    for (const [chunk] of chunks) job.dirtyChunks.add(chunk);
    // What the service calls malformed stays so: it is not sent again and again.
    if (result.outcome === 'refused' && result.malformed) {
      job.storeNotBeforeMs = this.deps.wallMs() + MALFORMED_PAUSE_MS;
      this.deps.log.error({ job: job.uid }, 'the state service takes the value of a job for malformed');
    }
    // Changed by another (a cancellation), or not known: what stands there decides.
    this.deps.reread(jobKey(job.uid));
  }

  private logDone(job: Job): void {
    const tookS = Math.round((this.deps.wallMs() - job.acceptedMs) / 1000);
    this.deps.log.info({ job: job.uid, tookS, dueS: job.spec.dueS }, 'job done');
  }
}
