/** The actor by which a role holder executes intents at the cloud. */
import { assertNever, PeriodicActor, RateLimiter, type Clock, type Tick } from '@pumicehinge/runtime';
import type { Logger } from 'pino';
import {
  CLOUD_BURST_S,
  CLOUD_UNRESPONSIVE_TIMEOUT_MS,
  MAX_INTENTS_IN_FLIGHT,
  RETRY_DELAY_MS,
  ROLE_CHECK_INTERVAL_MS,
} from './constants.js';
import type { IndexedIntent, IntentIndex } from './intent-index.js';
import { encodeIntent } from './intent-records.js';
import { toLaunchRequest, type Intent } from './intents.js';
import type {
  CloudProvider,
  CommitOutcome,
  Condition,
  CurrentLeader,
  LaunchResult,
  RoleStore,
  TerminationResult,
} from './ports.js';
import type { RoleGrant, RoleLeases } from './role-leases.js';
import type { IntentRole } from './roles.js';

/** Dependencies of `IntentExecutor`. */
export interface IntentExecutorOptions {
  /** The role whose intents are executed. */
  readonly role: IntentRole;
  readonly roleLeases: Pick<RoleLeases, 'currentGrant' | 'isLeaseValid' | 'resign'>;
  readonly intentIndex: IntentIndex;
  readonly store: RoleStore;
  readonly cloudProvider: CloudProvider;
  readonly currentLeader: () => CurrentLeader | undefined;
  /** Rate limit of this executor's calls to the cloud. */
  readonly cloudRequestsPerSecond: number;
  readonly clock: Clock;
  readonly log: Logger;
}

type CallResult = LaunchResult | TerminationResult;

type Message =
  | { readonly kind: 'intentChanged' }
  | { readonly kind: 'intentCompleted'; readonly key: string }
  | { readonly kind: 'readEnded'; readonly fencingToken: number; readonly isSuccessful: boolean }
  | { readonly kind: 'writeEnded'; readonly key: string; readonly outcome: CommitOutcome }
  | { readonly kind: 'cloudCallEnded'; readonly key: string; readonly result: CallResult };

/**
 * Executes the intents of one role while this process holds it. Before each call to the cloud it records the intent as
 * committed, on condition that both the role's fence and the leader's fence still hold. After the call it records the
 * result. A call that is sent late or twice therefore has no effect beyond that of the committed intent: the name of a
 * launch request is never reused, and a node that is to be terminated is never used again.
 */
export class IntentExecutor extends PeriodicActor<Message> {
  private readonly rateLimiter: RateLimiter;
  private readonly unsubscribe: () => void;
  /** Keys of intents for which a write or a call is in progress. */
  private readonly inFlightKeys = new Set<string>();
  /** Time of the steady clock before which an intent is not tried again, by key of the intent. */
  private readonly earliestRetryMs = new Map<string, number>();
  /** Results of calls to the cloud that are not recorded yet, by key of the intent. */
  private readonly unrecordedResults = new Map<string, CallResult>();
  /** The fencing token of the last grant for which this process has read everything that earlier holders recorded. */
  private caughtUpFencingToken: number | undefined;
  private isReadingEarlierRecords = false;
  /**
   * Time of the steady clock since which all calls to the cloud have gone unanswered. Infinity while the cloud answers.
   */
  private unresponsiveSinceMs = Infinity;

  /** Creates an executor that listens to changes of the index until `stop`. It executes nothing before `start`. */
  constructor(
    private readonly options: IntentExecutorOptions,
    onFailure: (error: unknown) => void,
  ) {
    super(options.clock, ROLE_CHECK_INTERVAL_MS, options.log, onFailure);
    this.rateLimiter = new RateLimiter(options.clock, options.cloudRequestsPerSecond);
    this.rateLimiter.setRate(options.cloudRequestsPerSecond, CLOUD_BURST_S);
    this.unsubscribe = options.intentIndex.onChange(({ key, intent }) => {
      if (intent.role !== options.role) return;
      this.send(intent.state === 'completed' ? { kind: 'intentCompleted', key } : { kind: 'intentChanged' });
    });
  }

  /** Stops the execution. This process does not record the results of calls that are still in progress. */
  override stop(): void {
    super.stop();
    this.unsubscribe();
  }

  protected receive(message: Message | Tick): void {
    this.handleMessage(message);
    this.executeDueIntents();
  }

  private handleMessage(message: Message | Tick): void {
    switch (message.kind) {
      case 'tick':
      case 'intentChanged':
        return;
      case 'intentCompleted':
        this.unrecordedResults.delete(message.key);
        this.earliestRetryMs.delete(message.key);
        return;
      case 'readEnded':
        this.isReadingEarlierRecords = false;
        if (message.isSuccessful) this.caughtUpFencingToken = message.fencingToken;
        return;
      case 'writeEnded':
        return this.onWriteEnded(message.key, message.outcome);
      case 'cloudCallEnded':
        return this.onCloudCallEnded(message.key, message.result);
      default:
        return assertNever(message);
    }
  }

  private nowMs(): number {
    return this.options.clock.steadyMs();
  }

  private executeDueIntents(): void {
    const grant = this.options.roleLeases.currentGrant(this.options.role);
    if (!grant) {
      this.unrecordedResults.clear();
      this.unresponsiveSinceMs = Infinity;
      return;
    }
    if (grant.fencingToken !== this.caughtUpFencingToken) return this.readEarlierRecords(grant);
    for (const indexedIntent of this.findDueIntents()) {
      if (this.inFlightKeys.size >= MAX_INTENTS_IN_FLIGHT) return;
      this.advanceIntent(grant, indexedIntent);
    }
  }

  /**
   * Reads everything that earlier holders recorded, before this holder acts. Later writes of earlier holders fail,
   * because the fence of their grant no longer holds.
   */
  private readEarlierRecords({ fencingToken }: RoleGrant): void {
    if (this.isReadingEarlierRecords) return;
    this.isReadingEarlierRecords = true;
    const reportEnd = (isSuccessful: boolean): void =>
      this.send({ kind: 'readEnded', fencingToken, isSuccessful });
    this.options.store.linearizableRead().then(
      () => reportEnd(true),
      () => this.options.clock.setTimer(RETRY_DELAY_MS, () => reportEnd(false)),
    );
  }

  /** Lists the intents to work on now. Committed intents come before requested ones. */
  private findDueIntents(): IndexedIntent[] {
    const nowMs = this.nowMs();
    const { intentIndex, role } = this.options;
    const dueIntents = intentIndex
      .listOldestFirst((intent) => intent.role === role && intent.state !== 'completed')
      .filter(
        ({ key }) => !this.inFlightKeys.has(key) && nowMs >= (this.earliestRetryMs.get(key) ?? -Infinity),
      );
    const committedIntents = dueIntents.filter(({ intent }) => intent.state === 'committed');
    return [...committedIntents, ...dueIntents.filter(({ intent }) => intent.state === 'requested')];
  }

  /** Takes an intent to its next state, or calls the cloud for it. */
  private advanceIntent(grant: RoleGrant, indexedIntent: IndexedIntent): void {
    const result = this.unrecordedResults.get(indexedIntent.key);
    if (indexedIntent.intent.state === 'requested') this.recordCommitment(grant, indexedIntent);
    else if (result) this.recordResult(grant, indexedIntent, result);
    else this.callCloud(indexedIntent);
  }

  private recordCommitment(grant: RoleGrant, { key, modRevision, intent }: IndexedIntent): void {
    const leader = this.options.currentLeader();
    // The intent is void once the term that requested it is over. Under a leader that makes all calls itself, role
    // holders do nothing.
    if (!leader?.delegatesCloudCalls || leader.term !== intent.id.term) return;
    const committedIntent: Intent = { ...intent, state: 'committed', fencingToken: grant.fencingToken };
    this.writeIntent(key, [grant.fence, leader.fence, { key, modRevision }], committedIntent);
  }

  private recordResult(
    grant: RoleGrant,
    { key, modRevision, intent }: IndexedIntent,
    result: CallResult,
  ): void {
    const completedIntent = toCompletedIntent(intent, grant.fencingToken, result);
    this.writeIntent(key, [grant.fence, { key, modRevision }], completedIntent);
  }

  private writeIntent(key: string, conditions: Condition[], intent: Intent): void {
    this.inFlightKeys.add(key);
    void this.options.store
      .commit(conditions, [{ key, value: encodeIntent(intent) }])
      .then((outcome) => this.send({ kind: 'writeEnded', key, outcome }));
  }

  private onWriteEnded(key: string, outcome: CommitOutcome): void {
    this.inFlightKeys.delete(key);
    if (outcome === 'applied') return;
    this.earliestRetryMs.set(key, this.nowMs() + RETRY_DELAY_MS);
    // A condition did not hold, or the outcome is unclear. Only a new read of the state store shows the current state.
    if (outcome !== 'refused') this.caughtUpFencingToken = undefined;
  }

  private callCloud({ key, intent }: IndexedIntent): void {
    // A leader of an earlier version ignores intents, and may use the nodes that they name.
    if (this.options.currentLeader()?.delegatesCloudCalls === false || this.rateLimiter.computeWaitMs(1) > 0)
      return;
    // This is the last check before the call. If this process was paused, another one may hold the role by now.
    if (!this.options.roleLeases.isLeaseValid()) return;
    this.rateLimiter.consume(1);
    this.inFlightKeys.add(key);
    void this.callProvider(intent).then((result) => this.send({ kind: 'cloudCallEnded', key, result }));
  }

  private callProvider(intent: Intent): Promise<CallResult> {
    const { cloudProvider } = this.options;
    return intent.role === 'rent'
      ? cloudProvider.launch(toLaunchRequest(intent))
      : cloudProvider.terminate(intent.nodeNames);
  }

  private onCloudCallEnded(key: string, result: CallResult): void {
    this.inFlightKeys.delete(key);
    this.checkResponsiveness(result);
    if (result.kind === 'unknown') this.earliestRetryMs.set(key, this.nowMs() + RETRY_DELAY_MS);
    else this.unrecordedResults.set(key, result);
  }

  /**
   * Resigns the role if the cloud is unresponsive. A holder that reaches only the state store would otherwise keep the
   * role forever.
   */
  private checkResponsiveness(result: CallResult): void {
    const nowMs = this.nowMs();
    const isUnanswered = result.kind === 'unknown' && !result.isAnswered;
    this.unresponsiveSinceMs = isUnanswered ? Math.min(this.unresponsiveSinceMs, nowMs) : Infinity;
    if (nowMs - this.unresponsiveSinceMs < CLOUD_UNRESPONSIVE_TIMEOUT_MS) return;
    this.unresponsiveSinceMs = Infinity;
    this.options.roleLeases.resign(this.options.role, 'cloud unresponsive');
  }
}

function toCompletedIntent(intent: Intent, fencingToken: number, result: CallResult): Intent {
  if (intent.role !== 'rent') return { ...intent, state: 'completed', fencingToken };
  if (result.kind === 'launched')
    return { ...intent, state: 'completed', fencingToken, outcome: { names: result.names } };
  if (result.kind === 'refused')
    return { ...intent, state: 'completed', fencingToken, outcome: { refusalReason: result.reason } };
  return { ...intent, state: 'completed', fencingToken };
}
