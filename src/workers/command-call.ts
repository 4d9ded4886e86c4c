/** The outcome of a direct call that sends commands to a worker. */
import type { Node } from '../cluster/cluster-state.js';
import type { HeartbeatVersion } from '../cluster/lease-rules.js';
import type { Heartbeat } from '../cluster/worker-messages.js';
import { parseHeartbeat } from './codec.js';

/** HTTP status of a direct call whose commands the worker executed. The response body is a heartbeat. */
const STATUS_EXECUTED = 200;
/** HTTP status of a direct call for an older term or another incarnation. The response body is a heartbeat. */
const STATUS_FENCED = 409;

/** How a direct call ended. Without a response, the commands may still be executed. */
export type CommandCallOutcome =
  | { readonly kind: 'response'; readonly status: number; readonly body: string }
  | { readonly kind: 'noResponse' };

/** The result of a direct call with commands to a worker. */
export interface CommandCallResult {
  readonly node: Node;
  /** The newest message of the worker that was known when the call began. */
  readonly knownAtCall: HeartbeatVersion;
  readonly outcome: CommandCallOutcome;
}

/** A worker's status in its response to a direct call. */
export interface CommandResponse {
  readonly node: Node;
  readonly status: Heartbeat;
  /** The newest message of the worker that was known when the call began. */
  readonly knownAtCall: HeartbeatVersion;
}

/** Whether the worker refused a direct call, because of the fencing token or of the incarnation. */
export function isRefused(
  outcome: CommandCallOutcome,
): outcome is Extract<CommandCallOutcome, { kind: 'response' }> {
  return outcome.kind === 'response' && outcome.status === STATUS_FENCED;
}

/**
 * Returns the status of the worker in its response to a direct call. Undefined if the call got no response, or one
 * without a valid status.
 */
export function parseCommandResponse(outcome: CommandCallOutcome): Heartbeat | undefined {
  if (outcome.kind === 'noResponse') return undefined;
  const hasStatus = outcome.status === STATUS_EXECUTED || outcome.status === STATUS_FENCED;
  return hasStatus ? parseHeartbeat(outcome.body) : undefined;
}
