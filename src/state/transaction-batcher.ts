/** Group commit: combines the writes of a controller into as few transactions of the state store as possible. */
import type { Logger } from 'pino';
import { assertNever, sleep, type Clock } from '@pumicehinge/runtime';
import { MAX_QUEUED_WRITES, STATE_RETRY_DELAY_MS } from '../constants.js';
import type { WireInt } from '../wire/json.js';
import type { Condition, Operation } from './key-value.js';
import type { StateReplica } from './state-replica.js';
import type { StoreClient } from './store-client.js';
import { estimateWriteBytes, WriteBatch, type CommitResult, type PendingWrite } from './write-batch.js';

export type { CommitResult } from './write-batch.js';

/** A write as its caller requests it. */
type WriteRequest = Pick<PendingWrite, 'conditions' | 'operations' | 'isForUser'> & {
  readonly timeoutMs: number;
};

/**
 * Sends all writes of a controller, one transaction at a time. Writes that arrive during a transaction are sent
 * together in the next one. Callers make every write conditional, because a transaction without a response may be
 * executed late.
 */
export class TransactionBatcher {
  private queue: PendingWrite[] = [];
  private isSending = false;

  /** Creates a batcher that applies each successful write to `replica` before its commit resolves. */
  constructor(
    private readonly client: StoreClient,
    private readonly replica: StateReplica,
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {}

  /** Whether the queue is full, so that a further write would be refused. */
  get isFull(): boolean {
    return this.queue.length >= MAX_QUEUED_WRITES;
  }

  /**
   * Writes if all conditions hold. A write that the store has not accepted within `timeoutMs` is refused. Never
   * rejects.
   */
  commit(
    conditions: readonly Condition[],
    operations: readonly Operation[],
    timeoutMs: number,
  ): Promise<CommitResult> {
    return this.enqueue({ conditions, operations, timeoutMs, isForUser: false });
  }

  /**
   * Writes like `commit`, for a user who waits for the result. The write is sent before all writes that no user waits
   * for, and is refused without a retry when the store is unavailable.
   */
  commitForUser(
    conditions: readonly Condition[],
    operations: readonly Operation[],
    timeoutMs: number,
  ): Promise<CommitResult> {
    return this.enqueue({ conditions, operations, timeoutMs, isForUser: true });
  }

  private enqueue({ conditions, operations, timeoutMs, isForUser }: WriteRequest): Promise<CommitResult> {
    return new Promise((resolve) => {
      if (this.isFull) {
        resolve({ outcome: 'refused' });
        return;
      }
      const bytes = estimateWriteBytes(conditions, operations);
      const deadlineMs = this.clock.steadyMs() + timeoutMs;
      const firstNonUserWriteIndex = isForUser ? this.queue.findIndex((write) => !write.isForUser) : -1;
      const position = firstNonUserWriteIndex < 0 ? this.queue.length : firstNonUserWriteIndex;
      this.queue.splice(position, 0, { conditions, operations, bytes, deadlineMs, isForUser, resolve });
      if (!this.isSending) void this.sendQueue();
    });
  }

  private async sendQueue(): Promise<void> {
    this.isSending = true;
    // The delay lets all writes of this turn of the event loop join the first batch.
    await sleep(this.clock, 0);
    while (this.queue.length > 0) {
      const batch = this.takeNextBatch();
      if (batch.length > 0) await this.send(batch);
    }
    this.isSending = false;
  }

  /** Takes the writes of the next transaction off the queue. Writes past their deadline are refused. */
  private takeNextBatch(): readonly PendingWrite[] {
    const nowMs = this.clock.steadyMs();
    const batch = new WriteBatch(this.client.limits.maxTransactionOperations);
    const deferredWrites: PendingWrite[] = [];
    for (const write of this.queue) {
      if (write.deadlineMs <= nowMs) write.resolve({ outcome: 'refused' });
      // The order of the queue is kept: no write overtakes one that has to wait.
      else if (deferredWrites.length > 0 || !batch.tryAdd(write)) deferredWrites.push(write);
    }
    this.queue = deferredWrites;
    return batch.writes;
  }

  private async send(batch: readonly PendingWrite[]): Promise<void> {
    const conditions = new Map(
      batch.flatMap((write) => write.conditions).map((condition) => [condition.key, condition]),
    );
    const operations = batch.flatMap((write) => write.operations);
    const result = await this.client.compareAndSwap([...conditions.values()], operations);
    switch (result.outcome) {
      case 'applied':
        return this.resolveApplied(batch, result.revision);
      case 'conflict':
        return this.resolveConflicts(batch, new Set(result.failedKeys));
      case 'refused':
        this.log.debug({ status: result.status, writes: batch.length }, 'transaction refused');
        if (result.status === 400) {
          // A write is malformed or names an expired lease, so a retry does not help. Sending each write alone
          // identifies the faulty one.
          if (batch.length > 1) for (const write of batch) await this.send([write]);
          else for (const write of batch) write.resolve({ outcome: 'refused', isMalformed: true });
          return;
        }
        this.queue.unshift(...batch);
        // Users don't wait for the store during an outage. They are told when to retry instead. Status 429 means only
        // that a rate limit was exceeded.
        if (result.status !== 429) this.refuseUserWrites();
        await sleep(this.clock, STATE_RETRY_DELAY_MS);
        return;
      case 'unclear':
        for (const write of batch) write.resolve({ outcome: 'unclear' });
        return;
      default:
        assertNever(result);
    }
  }

  private resolveApplied(batch: readonly PendingWrite[], revision: WireInt): void {
    for (const { operations } of batch)
      for (const { key, value } of operations) this.replica.applyOwnWrite(key, value, revision);
    for (const write of batch) write.resolve({ outcome: 'applied', revision });
  }

  /** Fails the writes with a conflict, and sends the other writes of the batch again. */
  private resolveConflicts(batch: readonly PendingWrite[], failedKeys: ReadonlySet<string>): void {
    const hasConflict = (write: PendingWrite): boolean =>
      write.conditions.some(({ key }) => failedKeys.has(key));
    this.queue.unshift(...batch.filter((write) => !hasConflict(write)));
    for (const write of batch.filter(hasConflict)) write.resolve({ outcome: 'conflict' });
  }

  private refuseUserWrites(): void {
    for (const write of this.queue) if (write.isForUser) write.resolve({ outcome: 'refused' });
    this.queue = this.queue.filter((write) => !write.isForUser);
  }
}
