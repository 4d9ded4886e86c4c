/** Reads the current leader for the leased roles. */
import type { CurrentLeader } from '@pumicehinge/duties';
import { decodeLeader, LEADER_KEY } from '../state/records.js';
import type { StateReplica } from '../state/state-replica.js';

/** Returns the leader according to the replica, or undefined if nobody leads or the leader's record is malformed. */
export function readCurrentLeader(replica: StateReplica): CurrentLeader | undefined {
  const stored = replica.get(LEADER_KEY);
  const leader = decodeLeader(stored?.value);
  if (!stored || !leader) return undefined;
  const fence = { key: LEADER_KEY, modRevision: stored.modRevision };
  return { fence, ...leader };
}
