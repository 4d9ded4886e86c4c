import type {
  CommitOutcome,
  Condition,
  DutyStore,
  Operation,
  Revision,
  RowChange,
} from '@pumicehinge/duties';
import { STORE_TIMEOUT_MS } from '../constants.js';
import type { StateClient } from '../state/client.js';
import type { Mirror } from '../state/mirror.js';
import type { Writer } from '../state/writer.js';

/** The state service as the duties see it: the controller's copy of it, its writer and its leases. */
export class ControllerDutyStore implements DutyStore {
  constructor(
    private readonly mirror: Mirror,
    private readonly writer: Writer,
    private readonly client: StateClient,
  ) {}

  isReady(): boolean {
    return this.mirror.isLoaded && this.client.isServed;
  }

  get(key: string): RowChange | undefined {
    return this.mirror.get(key);
  }

  rows(prefix: string): Iterable<RowChange> {
    return this.mirror.startingWith(prefix);
  }

  onChange(listener: (change: RowChange) => void): void {
    this.mirror.onChange(listener);
  }

  sync(): Promise<void> {
    return this.mirror.sync();
  }

  async commit(conditions: Condition[], operations: Operation[]): Promise<CommitOutcome> {
    return (await this.writer.commit(conditions, operations, STORE_TIMEOUT_MS)).outcome;
  }

  grantLease(ttlMs: number): Promise<Revision> {
    return this.client.lease(ttlMs);
  }

  renewLease(lease: Revision, timeoutMs: number): Promise<boolean> {
    return this.client.touch(lease, timeoutMs);
  }

  endLease(lease: Revision): Promise<void> {
    return this.client.endLease(lease);
  }
}
