/** The leader of a model cluster. */
import type { IntentEvent, IntentLog, LeasedRoles } from '@pumicehinge/duties';
import type { Clock } from '@pumicehinge/runtime';
import { LEADER_KEY } from '../../src/state/records.js';

const OFFERING = { type: 'm4', zone: 'east', spot: false };
const CHECK_INTERVAL_MS = 500;

/** Dependencies of `ModelLeader`. */
export interface ModelLeaderOptions {
  term: number;
  /** Revision of the leader's key. */
  modRevision: number;
  clock: Clock;
  roles: LeasedRoles;
  /** Names of the nodes that exist when the term begins. */
  nodeNames: Iterable<string>;
  /** Returns the number of nodes that are currently wanted. */
  readTargetNodes: () => number;
}

/** Keeps the wanted number of nodes, and considers every known node usable until it requests its termination. */
export class ModelLeader {
  readonly usableNodes: Set<string>;
  /** Number of nodes that each launch in progress requests, by name of the request. */
  private readonly launchingNodeCounts = new Map<string, number>();
  /** Names of nodes that must not be used any more, even if the completion of their launch is reported later. */
  private readonly terminatedNodes: Set<string>;
  private readonly intents: IntentLog;
  private launchCount = 0;

  constructor(private readonly options: ModelLeaderOptions) {
    const { term, modRevision, roles, nodeNames } = options;
    const fence = { key: LEADER_KEY, modRevision };
    const onEvent = (event: IntentEvent): void => this.onEvent(event);
    this.intents = roles.openIntentLog({ term, fence, maxValueBytes: 8192, onEvent }, () => undefined);
    const { launchesInProgress, nodesBeingTerminated, terminatedNodes } = this.intents.listInheritedIntents();
    this.terminatedNodes = new Set([...nodesBeingTerminated, ...terminatedNodes]);
    this.usableNodes = new Set([...nodeNames].filter((name) => !this.terminatedNodes.has(name)));
    for (const { requestName, nodeCount } of launchesInProgress)
      this.launchingNodeCounts.set(requestName, nodeCount);
    this.reconcile();
  }

  private reconcile(): void {
    const { term, clock, readTargetNodes } = this.options;
    const launchingNodeCount = [...this.launchingNodeCounts.values()].reduce((sum, count) => sum + count, 0);
    const missingNodeCount = readTargetNodes() - this.usableNodes.size - launchingNodeCount;
    if (missingNodeCount > 0) {
      const name = `r-${term}-${++this.launchCount}`;
      const count = Math.min(2, missingNodeCount);
      this.launchingNodeCounts.set(name, count);
      this.intents.send({
        kind: 'launch',
        request: { requestName: name, offering: OFFERING, nodeCount: count },
      });
    }
    for (const name of [...this.usableNodes].slice(
      0,
      Math.max(0, this.usableNodes.size - readTargetNodes()),
    )) {
      this.usableNodes.delete(name);
      this.terminatedNodes.add(name);
      const role = Number(name.slice('vm-'.length)) % 2 ? 'return' : 'reclaim';
      this.intents.send({ kind: 'terminate', role, names: [name] });
    }
    clock.setTimer(CHECK_INTERVAL_MS, () => this.reconcile());
  }

  private onEvent(event: IntentEvent): void {
    if (event.kind === 'terminated') return;
    this.launchingNodeCounts.delete(event.request.requestName);
    if (event.kind === 'launched')
      for (const name of event.names) if (!this.terminatedNodes.has(name)) this.usableNodes.add(name);
  }
}
