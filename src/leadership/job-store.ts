import type { Logger } from 'pino';
import { STORE_TIMEOUT_MS } from '../constants.js';
import { Job } from '../pipeline/job.js';
import { RunTimes } from '../pipeline/run-times.js';
import type { Objective } from '../pipeline/job-pipeline.js';
import type { Condition, Operation } from '../state/client.js';
import type { Mirror } from '../state/mirror.js';
import {
  JOBS,
  LEADER_KEY,
  chunkCount,
  decodeJob,
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
      job = new Job(uid, record, stamp, this.deps.objectives, this.runTimes);
      this.takeChunks(job);
      this.jobs.set(uid, job);
      return;
    }
    this.takeChunks(job);
    if (stamp <= job.stamp) return;
    job.stamp = stamp;
    job.stored = record;
    job.learnDone(0, record.done);
    if (record.phase === 'cancelled' && job.phase !== 'cancelled') {
      job.phase = 'cancelled';
      this.deps.log.info({ job: uid }, 'job cancelled');
      this.deps.cancelled(job);
    }
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
    if (job.writing || !job.needsWrite) return;
    job.writing = true;
    // Few chunks at a time, so that a write fits the service's limits.
    const chunks = [...job.dirtyChunks]
      .slice(0, 4)
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
    // Changed by another (a cancellation), or not known: what stands there decides.
    this.deps.reread(jobKey(job.uid));
  }

  private logDone(job: Job): void {
    const tookS = Math.round((this.deps.wallMs() - job.acceptedMs) / 1000);
    this.deps.log.info({ job: job.uid, tookS, dueS: job.spec.dueS }, 'job done');
  }
}
