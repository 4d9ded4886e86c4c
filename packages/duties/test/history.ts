import type { ModelCluster } from './cluster.js';
import { LEADER, type CloudArrival, type OrderWrite } from './world.js';

/** What the stand-ins saw, judged without any of the code under test. */
export interface Verdict {
  violations: string[];
  /** Calls of who did not hold the duty on arrival that changed nothing. */
  lateWithoutEffect: number;
  /** Such calls that were the first to bring about what stood on record as being carried out. */
  lateAsRecorded: number;
}

const isStale = ({ sender, holder }: CloudArrival): boolean => sender !== holder;

function uncovered(arrivals: readonly CloudArrival[]): string[] {
  return arrivals
    .filter(({ changed, isCovered }) => changed.length > 0 && !isCovered)
    .map(({ sender, action, subject }) => `${sender}: ${action} of ${subject} changed what is not on record`);
}

function foreignWrites(writes: readonly OrderWrite[]): string[] {
  return writes
    .filter(({ order, by, holder }) => order.state !== 'ordered' && by !== holder)
    .map(({ order, by, holder }) => `${by} wrote ${order.duty} ${order.state} while ${holder} held the duty`);
}

function reusedNames(writes: readonly OrderWrite[]): string[] {
  const owners = new Map<string, string>();
  const reused: string[] = [];
  for (const { order } of writes) {
    if (order.duty !== 'rent') continue;
    const id = `${order.id.term}-${order.id.sequence}`;
    if ((owners.get(order.name) ?? id) !== id) reused.push(`the name ${order.name} was used twice`);
    owners.set(order.name, id);
  }
  return reused;
}

function fallingTokens(tokens: readonly { key: string; value: unknown }[]): string[] {
  const latest = new Map<string, number>();
  const falling: string[] = [];
  for (const { key, value } of tokens) {
    const { token } = value as { token: number };
    if (token <= (latest.get(key) ?? 0)) falling.push(`${key} did not rise: ${token}`);
    latest.set(key, token);
  }
  return falling;
}

export function judge({ service, cloud, usedWhenDeleted }: ModelCluster): Verdict {
  const stale = cloud.arrivals.filter(isStale);
  return {
    violations: [
      ...uncovered(cloud.arrivals),
      ...foreignWrites(service.orderWrites),
      ...reusedNames(service.orderWrites),
      ...fallingTokens(service.tokens),
      ...usedWhenDeleted.map((name) => `${name} was deleted while the leader took it for usable`),
    ],
    lateWithoutEffect: stale.filter(({ changed }) => changed.length === 0).length,
    lateAsRecorded: stale.filter(({ changed, isCovered }) => changed.length > 0 && isCovered).length,
  };
}

/** What must have happened some time after the last trouble. */
export function unfinished(cluster: ModelCluster): string[] {
  const { service, cloud, wanted } = cluster;
  const term = (service.rows.get(LEADER)?.value as { term: number } | undefined)?.term;
  const open = service
    .orders()
    .filter(({ state, id }) => state === 'intended' || (state === 'ordered' && id.term === term));
  return [
    ...(cluster.holders().includes(undefined) ? ['a duty has no holder'] : []),
    ...open.map(({ duty, id }) => `${duty} order ${id.term}-${id.sequence} is still open`),
    ...(cloud.machines.size < wanted ? [`${cloud.machines.size} machines of ${wanted}`] : []),
  ];
}
