/** The stored form of the current leader. */
import { isJsonObject } from '../../wire/json.js';

/** The current leader. */
export interface LeaderRecord {
  /** Name of the controller that leads. */
  readonly member: string;
  /** The number of the leader's term. */
  readonly term: number;
  /** Whether the leader delegates its calls to the cloud to the holders of leased roles. Earlier versions never do. */
  readonly delegatesCloudCalls: boolean;
}

/** Encodes the leader. */
export function encodeLeader({ member, term, delegatesCloudCalls }: LeaderRecord): unknown {
  return { member, term, ...(delegatesCloudCalls ? { delegates: true } : {}) };
}

/** Decodes the leader. Returns undefined if the stored form is malformed. */
export function decodeLeader(value: unknown): LeaderRecord | undefined {
  if (!isJsonObject(value) || typeof value.member !== 'string') return undefined;
  return { member: value.member, term: Number(value.term), delegatesCloudCalls: value.delegates === true };
}
