/** What a controller provides to its leader, and what the leader provides to its components. */
import type { Logger } from 'pino';
import type { LeasedRoles } from '@pumicehinge/duties';
import type { Clock } from '@pumicehinge/runtime';
import type { CancellationWatermark } from '../election/cancellation-watermark.js';
import type { LeadershipTerm } from '../election/leadership-term.js';
import type { HttpClient } from '../http/message.js';
import type { DependencyGraph } from '../pipeline/dependency-graph.js';
import type { Settings } from '../settings.js';
import type { StateReplica } from '../state/state-replica.js';
import type { TransactionBatcher } from '../state/transaction-batcher.js';
import type { LeaderMessage } from './leader-message.js';

/** Dependencies of a leader. */
export interface LeaderDependencies {
  readonly settings: Settings;
  readonly term: LeadershipTerm;
  readonly cancellationWatermark: CancellationWatermark;
  readonly jobDependencies: Pick<DependencyGraph, 'getStatus'>;
  /** Whether the state store responded to the last call. */
  readonly isStateStoreAvailable: () => boolean;
  readonly replica: StateReplica;
  readonly transactionBatcher: TransactionBatcher;
  /** Client for calls to the cloud. */
  readonly httpClient: HttpClient;
  readonly workerHttpClient: HttpClient;
  readonly clock: Clock;
  readonly log: Logger;
  /**
   * Roles whose holders launch and terminate instances for the leader. Undefined if the leader calls the cloud
   * itself.
   */
  readonly leasedRoles: LeasedRoles | undefined;
  /**
   * Gives up the term. It is called when an actor of the leader has failed, and when only a new term can continue the
   * work.
   */
  readonly resign: () => void;
  /**
   * Whether the zone has controllers but the failure detector considers none of them alive. Such a zone may be
   * partitioned.
   */
  readonly isZoneUnreachable: (zone: string) => boolean;
}

/** The functions of a leader that its components call. */
export interface LeaderMailbox {
  readonly send: (message: LeaderMessage) => void;
  /** Requests a scheduling cycle as soon as the throttle allows one. */
  readonly requestSchedulingCycle: () => void;
  /** Whether a scheduling cycle is scheduled to run by this steady time in ms. */
  readonly isSchedulingCycleDueBy: (steadyMs: number) => boolean;
}
