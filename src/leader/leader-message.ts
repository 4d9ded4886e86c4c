/** The messages in the leader's mailbox: messages from other actors, and the results of the leader's own calls. */
import type { CloudEvent } from '../autoscaler/cloud-client.js';
import type { NodeGroupWriteResult } from '../cluster/node-records.js';
import type { KeyChange } from '../state/store-client.js';
import type { CommandCallResult } from '../workers/command-call.js';
import type { ReceivedHeartbeat } from '../workers/received-heartbeat.js';
import type { JobWriteResult } from './job-store.js';
import type { LeaseCheckResult } from './term-reconciliation.js';

/** A message to the leader of a term. */
export type LeaderMessage =
  /** A worker sent a heartbeat that needs a response. */
  | ({ kind: 'heartbeat' } & ReceivedHeartbeat)
  /** A key of the state store has changed, or its value has to be applied again after a read. */
  | { kind: 'keyChanged'; change: KeyChange }
  | { kind: 'cloudEvent'; event: CloudEvent }
  | { kind: 'commandCallEnded'; result: CommandCallResult }
  | { kind: 'jobWriteEnded'; result: JobWriteResult }
  | { kind: 'nodeGroupWriteEnded'; result: NodeGroupWriteResult }
  | { kind: 'leaseCheckEnded'; result: LeaseCheckResult }
  /** Deferred responses to heartbeats may have waited for as long as they may. */
  | { kind: 'responseReviewDue' }
  | { kind: 'schedulingCycleDue' };
