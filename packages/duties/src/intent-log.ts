/** The actor by which a leader records intents, and learns of their completion. */
import { Actor, assertNever, type Clock } from '@pumicehinge/runtime';
import type { Logger } from 'pino';
import {
  INTENT_FIXED_BYTES,
  MAX_NODES_PER_TERMINATION,
  MAX_NODE_NAME_BYTES,
  RECLAIM_BATCH_WINDOW_MS,
  RETRY_DELAY_MS,
  SCALE_IN_BATCH_WINDOW_MS,
} from './constants.js';
import { collectInheritedIntents, type InheritedIntents } from './inherited-intents.js';
import type { IndexedIntent, IntentIndex } from './intent-index.js';
import { encodeIntent, intentKey } from './intent-records.js';
import {
  toLaunchRequest,
  type Intent,
  type IntentId,
  type LaunchRefusalReason,
  type LaunchRequest,
} from './intents.js';
import type { CommitOutcome, Condition, RoleStore } from './ports.js';
import type { RoleLeases } from './role-leases.js';
import type { TerminationRole } from './roles.js';

/** The result of an intent of this term or an earlier one. */
export type IntentEvent =
  | { readonly kind: 'launched'; readonly request: LaunchRequest; readonly names: string[] }
  | { readonly kind: 'launchRefused'; readonly request: LaunchRequest; readonly reason: LaunchRefusalReason }
  | { readonly kind: 'terminated'; readonly names: string[] };

/** The term whose intents a log records, and how its events are reported. */
export interface IntentLogTerm {
  readonly term: number;
  /** Condition that holds until the term ends. */
  readonly fence: Condition;
  /** Size limit of one value in the state store. */
  readonly maxValueBytes: number;
  /** Called once for each intent that is completed. */
  readonly onEvent: (event: IntentEvent) => void;
}

/** Dependencies of `IntentLog`. */
export interface IntentLogOptions extends IntentLogTerm {
  readonly intentIndex: IntentIndex;
  readonly roleLeases: Pick<RoleLeases, 'currentGrant'>;
  readonly store: RoleStore;
  readonly clock: Clock;
  readonly log: Logger;
}

type Message =
  | { readonly kind: 'launch'; readonly request: LaunchRequest }
  | { readonly kind: 'terminate'; readonly role: TerminationRole; readonly names: string[] }
  | { readonly kind: 'batchWindowEnded'; readonly role: TerminationRole }
  | { readonly kind: 'retryWrite'; readonly intent: Intent }
  | { readonly kind: 'writeEnded'; readonly intent: Intent; readonly outcome: CommitOutcome }
  | { readonly kind: 'intentChanged'; readonly entry: IndexedIntent };

/** Writes the intents of one term. Every write depends on the condition that the term has not ended. */
export class IntentLog extends Actor<Message> {
  private sequence = 0;
  /** Names of nodes to terminate whose batch window has not ended, by role. */
  private readonly terminationBatches = new Map<TerminationRole, Set<string>>();
  /** Keys of intents whose completion was reported already, or happened before this log was created. */
  private readonly notifiedKeys = new Set<string>();
  private readonly unsubscribe: () => void;

  /** Creates a log that listens to changes of the index until `stop`. */
  constructor(
    private readonly options: IntentLogOptions,
    onFailure: (error: unknown) => void,
  ) {
    super(options.log, onFailure);
    for (const { key } of options.intentIndex.listOldestFirst(({ state }) => state === 'completed'))
      this.notifiedKeys.add(key);
    this.unsubscribe = options.intentIndex.onChange((entry) => this.send({ kind: 'intentChanged', entry }));
  }

  /** Closes the log. Nothing is written or reported afterwards. */
  override stop(): void {
    super.stop();
    this.unsubscribe();
  }

  /** Returns the intents that earlier terms have irrevocably begun. Call it when the term begins. */
  listInheritedIntents(): InheritedIntents {
    return collectInheritedIntents(
      this.options.intentIndex.listOldestFirst(() => true).map(({ intent }) => intent),
    );
  }

  protected receive(message: Message): void {
    switch (message.kind) {
      case 'launch':
        return this.requestLaunch(message.request);
      case 'terminate':
        return this.addToTerminationBatch(message.role, message.names);
      case 'batchWindowEnded':
        return this.writeTerminationBatch(message.role);
      case 'retryWrite':
        return this.writeIntent(message.intent);
      case 'writeEnded':
        return this.onWriteEnded(message.intent, message.outcome);
      case 'intentChanged':
        return this.notifyCompletion(message.entry);
      default:
        return assertNever(message);
    }
  }

  private nextIntentId(): IntentId {
    return { term: this.options.term, sequence: ++this.sequence };
  }

  private requestLaunch({ requestName, offering, nodeCount }: LaunchRequest): void {
    this.writeIntent({
      id: this.nextIntentId(),
      state: 'requested',
      fencingToken: 0,
      role: 'rent',
      requestName,
      offering,
      nodeCount,
    });
  }

  private addToTerminationBatch(role: TerminationRole, names: string[]): void {
    let batch = this.terminationBatches.get(role);
    if (!batch) {
      batch = new Set();
      this.terminationBatches.set(role, batch);
      const windowMs = role === 'return' ? SCALE_IN_BATCH_WINDOW_MS : RECLAIM_BATCH_WINDOW_MS;
      this.options.clock.setTimer(windowMs, () => this.send({ kind: 'batchWindowEnded', role }));
    }
    for (const name of names) batch.add(name);
  }

  private writeTerminationBatch(role: TerminationRole): void {
    const names = [...(this.terminationBatches.get(role) ?? [])];
    this.terminationBatches.delete(role);
    const maxNames = this.maxNamesPerIntent();
    for (let start = 0; start < names.length; start += maxNames) {
      const namesOfIntent = names.slice(start, start + maxNames);
      this.writeIntent({
        id: this.nextIntentId(),
        state: 'requested',
        fencingToken: 0,
        role,
        nodeNames: namesOfIntent,
      });
    }
  }

  private maxNamesPerIntent(): number {
    const usableBytes = this.options.maxValueBytes - INTENT_FIXED_BYTES;
    const namesThatFit = Math.floor(usableBytes / MAX_NODE_NAME_BYTES);
    return Math.max(1, Math.min(MAX_NODES_PER_TERMINATION, namesThatFit));
  }

  /** Writes an intent. If this process also holds the role, the same write commits the intent as well. */
  private writeIntent(intent: Intent): void {
    const key = intentKey(intent.id);
    const grant = this.options.roleLeases.currentGrant(intent.role);
    const intentToStore: Intent = grant
      ? { ...intent, state: 'committed', fencingToken: grant.fencingToken }
      : intent;
    const conditions = [this.options.fence, ...(grant ? [grant.fence] : []), { key, modRevision: 0 }];
    void this.options.store
      .commit(conditions, [{ key, value: encodeIntent(intentToStore) }])
      .then((outcome) => this.send({ kind: 'writeEnded', intent, outcome }));
  }

  private onWriteEnded(intent: Intent, outcome: CommitOutcome): void {
    if (outcome === 'applied') return;
    if (outcome === 'refused') return this.scheduleRetry(intent);
    // A conflict means that the term is over, that an earlier attempt was applied late, or that the role has changed
    // hands. If the outcome is unclear, the write itself may have been applied. Only a read can tell.
    this.options.store.linearizableRead().then(
      () => {
        if (!this.options.intentIndex.get(intentKey(intent.id)) && this.isTermCurrent())
          this.scheduleRetry(intent);
      },
      () => this.scheduleRetry(intent),
    );
  }

  private isTermCurrent(): boolean {
    const { key, modRevision } = this.options.fence;
    return this.options.store.get(key)?.modRevision === modRevision;
  }

  private scheduleRetry(intent: Intent): void {
    this.options.clock.setTimer(RETRY_DELAY_MS, () => this.send({ kind: 'retryWrite', intent }));
  }

  /** Reports the completion of an intent once, although the replica may show the same intent several times. */
  private notifyCompletion({ key, intent }: IndexedIntent): void {
    if (intent.state !== 'completed' || this.notifiedKeys.has(key)) return;
    this.notifiedKeys.add(key);
    const event = toCompletionEvent(intent);
    if (event) this.options.onEvent(event);
  }
}

function toCompletionEvent(intent: Intent): IntentEvent | undefined {
  if (intent.role !== 'rent') return { kind: 'terminated', names: intent.nodeNames };
  const { outcome } = intent;
  if (!outcome) return undefined;
  const request = toLaunchRequest(intent);
  return 'names' in outcome
    ? { kind: 'launched', request, names: outcome.names }
    : { kind: 'launchRefused', request, reason: outcome.refusalReason };
}
