/**
 * Intents: changes that a leader wants made at the cloud. They are recorded in the state store before they are made.
 */
import type { IntentRole, TerminationRole } from './roles.js';

/** An instance type in a zone, as a spot or an on-demand instance. */
export interface InstanceOffering {
  /** Name of the instance type. */
  readonly type: string;
  readonly zone: string;
  /** Whether it is a spot instance, which the cloud may interrupt. */
  readonly spot: boolean;
}

/** Identifies an intent permanently, as neither a term nor a sequence number within a term is ever reused. */
export interface IntentId {
  /** Term of the leader that requested the intent. */
  readonly term: number;
  /** Number of the intent within its term, counted from 1. */
  readonly sequence: number;
}

/**
 * The state of an intent:
 * - `requested`: The leader has recorded the intent. It becomes void when the leader's term ends.
 * - `committed`: A role holder has recorded that it will execute the intent, which can't be withdrawn any more.
 * - `completed`: The intent was certainly executed, or the cloud refused it.
 */
export type IntentState = 'requested' | 'committed' | 'completed';

/** The fields that all intents have in common. */
export interface IntentBase {
  readonly id: IntentId;
  /** The role whose holder executes the intent. */
  readonly role: IntentRole;
  readonly state: IntentState;
  /** Fencing token of the role holder that wrote the intent last, or 0 if no role holder has written it. */
  readonly fencingToken: number;
}

/** Why the cloud launched nothing. The values are stored unchanged. */
export type LaunchRefusalReason = 'no capacity' | 'trouble';

/** The result of a completed launch: either the names of the new nodes, or the reason why there are none. */
export type LaunchOutcome = { readonly names: string[] } | { readonly refusalReason: LaunchRefusalReason };

/** A request to the cloud for new nodes. */
export interface LaunchRequest {
  /** Identifies the request at the cloud permanently. A request repeated under the same name launches nothing new. */
  readonly requestName: string;
  readonly offering: InstanceOffering;
  /** Number of nodes. */
  readonly nodeCount: number;
}

/** An intent to launch nodes. */
export interface LaunchIntent extends IntentBase {
  readonly role: 'rent';
  /** Name of the request to the cloud. */
  readonly requestName: string;
  readonly offering: InstanceOffering;
  /** Number of nodes. */
  readonly nodeCount: number;
  /** Present once the intent is completed. */
  readonly outcome?: LaunchOutcome;
}

/** An intent to terminate nodes. */
export interface TerminationIntent extends IntentBase {
  readonly role: TerminationRole;
  /** Names of the nodes. */
  readonly nodeNames: string[];
}

/** A change that a leader wants made at the cloud. */
export type Intent = LaunchIntent | TerminationIntent;

/** Compares intents by age. The result is negative if `a` is older than `b`. */
export const compareIntentIds = (a: IntentId, b: IntentId): number =>
  a.term - b.term || a.sequence - b.sequence;

/** Returns the request to the cloud that executes an intent. */
export const toLaunchRequest = ({ requestName, offering, nodeCount }: LaunchIntent): LaunchRequest => ({
  requestName,
  offering,
  nodeCount,
});
