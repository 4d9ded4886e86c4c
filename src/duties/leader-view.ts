import type { LeaderView } from '@pumicehinge/duties';
import type { Mirror } from '../state/mirror.js';
import { decodeLeader, LEADER_KEY } from '../state/records.js';

/** Who leads, as the copy of the state service says. */
export function leaderView(mirror: Mirror): LeaderView | undefined {
  const row = mirror.get(LEADER_KEY);
  const leader = decodeLeader(row?.value);
  if (!row || !leader) return undefined;
  const fence = { key: LEADER_KEY, stamp: row.stamp };
  return { fence, ...leader };
}
