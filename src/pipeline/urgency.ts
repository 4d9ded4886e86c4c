import { RANKS, type Rank } from '../state/records.js';

/** How soon a job matters to somebody: its rank, and its deadlines in order, as times of day. */
export interface Urgency {
  readonly rank: Rank;
  readonly dueMs: readonly number[];
}

/** What a pipeline's member tells those before it. */
export interface Member {
  readonly uid: string;
  readonly dependencies: readonly string[];
  /** Its own, as it was submitted. */
  readonly own: Urgency;
  /** The most urgent that the jobs after it pass on to it. */
  passedOn: Urgency | undefined;
  /** Ms that it is expected to take once all before it is done. */
  readonly followMs: number;
}

/** The more urgent of both, in rank and in each deadline: a pipeline has one t0, which all its members share. */
export function mostUrgent(a: Urgency, b: Urgency | undefined): Urgency {
  if (!b) return a;
  const at = (list: readonly number[], i: number): number => list[i] ?? list.at(-1) ?? Infinity;
  const count = Math.max(a.dueMs.length, b.dueMs.length);
  return {
    rank: RANKS.indexOf(b.rank) < RANKS.indexOf(a.rank) ? b.rank : a.rank,
    dueMs: Array.from({ length: count }, (_, i) => Math.min(at(a.dueMs, i), at(b.dueMs, i))),
  };
}

const same = (a: Urgency, b: Urgency | undefined): boolean =>
  b !== undefined &&
  a.rank === b.rank &&
  a.dueMs.length === b.dueMs.length &&
  a.dueMs.every((ms, i) => ms === b.dueMs[i]);

/** What a job hands to those that it needs: its deadlines less what it takes itself. */
function handed(member: Member): Urgency {
  const { rank, dueMs } = mostUrgent(member.own, member.passedOn);
  return { rank, dueMs: dueMs.map((ms) => ms - member.followMs) };
}

/** True if that made the predecessor more urgent than it was by itself and by what was passed on to it. */
function inherit(predecessor: Member, from: Urgency): boolean {
  const now = mostUrgent(predecessor.own, predecessor.passedOn);
  const then = mostUrgent(now, from);
  if (same(then, now)) return false;
  predecessor.passedOn = predecessor.passedOn ? mostUrgent(predecessor.passedOn, from) : from;
  return true;
}

/**
 * A new member makes all that it needs as urgent as it is, through others as well. Each edge among its predecessors is
 * looked at once, later members before earlier ones; where nothing becomes more urgent at the first step, no more.
 */
export function passUrgency(newest: Member, find: (uid: string) => Member | undefined): void {
  const from = handed(newest);
  const direct = newest.dependencies.map(find).filter((member) => member !== undefined);
  const changed = new Set(direct.filter((member) => inherit(member, from)));
  if (changed.size === 0) return;
  for (const member of laterFirst([...changed], find)) {
    if (!changed.has(member)) continue;
    const more = handed(member);
    for (const name of member.dependencies) {
      const before = find(name);
      if (before && inherit(before, more)) changed.add(before);
    }
  }
}

/** Members and all before them, each ahead of what it needs. Without recursion: chains may be thousands long. */
function laterFirst(members: Member[], find: (uid: string) => Member | undefined): Member[] {
  const order: Member[] = [];
  const seen = new Set<Member>();
  for (const start of members) {
    if (seen.has(start)) continue;
    seen.add(start);
    const path = [{ member: start, next: 0 }];
    while (path.length > 0) {
      const top = path.at(-1)!;
      const name = top.member.dependencies[top.next++];
      if (name === undefined) {
        order.push(top.member);
        path.pop();
        continue;
      }
      const before = find(name);
      if (!before || seen.has(before)) continue;
      seen.add(before);
      path.push({ member: before, next: 0 });
    }
  }
  return order.reverse();
}
