/**
 * The numbers of running tasks that users see. The leader counts the tasks and broadcasts the numbers to all other
 * controllers.
 */
import type { Clock } from '@pumicehinge/runtime';
import { PEER_HEARTBEAT_INTERVAL_MS } from '../constants.js';
import type { Peer, PeerTransport } from '../peers/peer-transport.js';
import type { Leader } from './leader.js';

/** Dependencies of `RunningTaskCounts`. */
export interface RunningTaskCountsDependencies {
  /** The other controllers. */
  readonly peers: readonly Peer[];
  readonly transport: PeerTransport;
  readonly clock: Clock;
  /** Returns the leader, or undefined while this controller does not lead. */
  readonly getLeader: () => Pick<Leader, 'countRunningTasks'> | undefined;
}

/** Holds the latest counts that this controller knows. They may be some seconds old and are for display only. */
export class RunningTaskCounts {
  private countsByJob: Record<string, number> = {};

  constructor(private readonly dependencies: RunningTaskCountsDependencies) {
    dependencies.transport.onMessage((_member, message) => {
      if (message.kind === 'counts' && !dependencies.getLeader()) this.countsByJob = message.running;
    });
  }

  /** Returns the latest known number of running tasks of a job. */
  getCount(jobUid: string): number {
    return this.countsByJob[jobUid] ?? 0;
  }

  /**
   * Broadcasts the counts at once, and again after each peer heartbeat interval. Nothing is sent while this controller
   * does not lead.
   */
  start(): void {
    this.broadcast();
    this.dependencies.clock.setTimer(PEER_HEARTBEAT_INTERVAL_MS, () => this.start());
  }

  private broadcast(): void {
    const leader = this.dependencies.getLeader();
    if (!leader) return;
    this.countsByJob = leader.countRunningTasks();
    for (const { member } of this.dependencies.peers)
      this.dependencies.transport.send(member, { kind: 'counts', running: this.countsByJob });
  }
}
