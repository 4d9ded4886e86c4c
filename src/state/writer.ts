import type { Logger } from 'pino';
import { sleep, type Clock } from '@pumicehinge/runtime';
import { STATE_RETRY_MS, TXN_BYTES, WRITER_QUEUE } from '../constants.js';
import { formatJson, type WireInt } from '../wire/json.js';
import type { Condition, Operation, StateClient } from './client.js';
import type { Mirror } from './mirror.js';

export type WriteOutcome =
  | { outcome: 'applied'; epoch: WireInt }
  | { outcome: 'conflict' }
  /** Surely not written: the service could not be reached in time, or the queue is full. */
  | { outcome: 'refused'; malformed?: boolean }
  /** Must be read again before anything is concluded. */
  | { outcome: 'unclear' };

interface Entry {
  conditions: Condition[];
  operations: Operation[];
  bytes: number;
  giveUpMs: number;
  /** A user waits for it: it goes before the leader's, and is given up as soon as the service refuses. */
  ofUser: boolean;
  resolve: (outcome: WriteOutcome) => void;
}

/**
 * All writes of a controller pass here, one transaction at a time: what waits meanwhile goes out together in the
 * next one (group commit). Every write is conditional, as a transaction without an answer may be applied late.
 */
export class Writer {
  private queue: Entry[] = [];
  private running = false;

  constructor(
    private readonly client: StateClient,
    private readonly mirror: Mirror,
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {}

  get isFull(): boolean {
    return this.queue.length >= WRITER_QUEUE;
  }

  commit(conditions: Condition[], operations: Operation[], timeoutMs: number): Promise<WriteOutcome> {
    return this.enqueue(conditions, operations, timeoutMs, false);
  }

  /** For a user, who is told at once when the service does not take it, and not held back by what the leader writes. */
  commitForUser(conditions: Condition[], operations: Operation[], timeoutMs: number): Promise<WriteOutcome> {
    return this.enqueue(conditions, operations, timeoutMs, true);
  }

  private enqueue(
    conditions: Condition[],
    operations: Operation[],
    timeoutMs: number,
    ofUser: boolean,
  ): Promise<WriteOutcome> {
    return new Promise((resolve) => {
      if (this.isFull) {
        resolve({ outcome: 'refused' });
        return;
      }
      const bytes = formatJson([conditions, operations]).length;
      const giveUpMs = this.clock.steadyMs() + timeoutMs;
      const entry = { conditions, operations, bytes, giveUpMs, ofUser, resolve };
      const at = ofUser ? this.queue.findIndex((e) => !e.ofUser) : -1;
      this.queue.splice(at < 0 ? this.queue.length : at, 0, entry);
      if (!this.running) void this.loop();
    });
  }

  private async loop(): Promise<void> {
    this.running = true;
    // Lets everything that happens in this turn of the event loop into the first batch.
    await sleep(this.clock, 0);
    while (this.queue.length > 0) {
      const batch = this.nextBatch();
      if (batch.length > 0) await this.send(batch);
    }
    this.running = false;
  }

  private nextBatch(): Entry[] {
    const now = this.clock.steadyMs();
    const batch: Entry[] = [];
    const later: Entry[] = [];
    const keys = new Set<string>();
    const conditions = new Map<string, WireInt>();
    let operations = 0;
    let bytes = 0;
    for (const entry of this.queue) {
      if (entry.giveUpMs <= now) {
        entry.resolve({ outcome: 'refused' });
        continue;
      }
      const clash =
        entry.operations.some((o) => keys.has(o.key)) ||
        entry.conditions.some((c) => conditions.has(c.key) && conditions.get(c.key) !== c.stamp);
      const fits =
        operations + entry.operations.length <= this.client.limits.txnOps &&
        conditions.size + entry.conditions.length <= this.client.limits.txnOps * 4 &&
        (bytes + entry.bytes <= TXN_BYTES || batch.length === 0);
      if (clash || !fits || later.length > 0) {
        later.push(entry);
        continue;
      }
      for (const o of entry.operations) keys.add(o.key);
      for (const c of entry.conditions) conditions.set(c.key, c.stamp);
      operations += entry.operations.length;
      bytes += entry.bytes;
      batch.push(entry);
    }
    this.queue = later;
    return batch;
  }

  private async send(batch: Entry[]): Promise<void> {
    const conditions = new Map(batch.flatMap((e) => e.conditions).map((c) => [c.key, c]));
    const operations = batch.flatMap((e) => e.operations);
    const result = await this.client.multi([...conditions.values()], operations);
    switch (result.outcome) {
      case 'applied':
        for (const o of operations) this.mirror.confirm(o.key, o.value, result.epoch);
        for (const entry of batch) entry.resolve(result);
        return;
      case 'conflict': {
        const failed = new Set(result.failed);
        const lost = batch.filter((e) => e.conditions.some((c) => failed.has(c.key)));
        // One entry's conflict must not fail the others of its batch.
        this.queue.unshift(...batch.filter((e) => !lost.includes(e)));
        for (const entry of lost) entry.resolve({ outcome: 'conflict' });
        return;
      }
      case 'refused':
        this.log.debug({ status: result.status, entries: batch.length }, 'write refused');
        if (result.status === 400) {
          // Malformed or an ended lease: repeating does not help. Alone, the guilty entry is known.
          if (batch.length === 1) batch[0]!.resolve({ outcome: 'refused', malformed: true });
          else for (const entry of batch) await this.send([entry]);
          return;
        }
        this.queue.unshift(...batch);
        // In an outage a user's request is never held back: its user is told when to come back.
        if (result.status !== 429) this.refuseUsers();
        await sleep(this.clock, STATE_RETRY_MS);
        return;
      case 'unclear':
        for (const entry of batch) entry.resolve({ outcome: 'unclear' });
    }
  }

  private refuseUsers(): void {
    for (const entry of this.queue) if (entry.ofUser) entry.resolve({ outcome: 'refused' });
    this.queue = this.queue.filter((entry) => !entry.ofUser);
  }
}
