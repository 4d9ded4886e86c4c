/** Updates and stores the rate of spot interruptions, so that the next term starts from it. */
import type { SpotInterruptionRate } from '../autoscaler/spot-interruption-rate.js';
import type { ClusterState } from '../cluster/cluster-state.js';
import { SPOT_INTERRUPTIONS_WRITE_INTERVAL_MS } from '../constants.js';
import { SPOT_INTERRUPTIONS_KEY } from '../state/records.js';
import type { StateReplica } from '../state/state-replica.js';
import type { CommitInTerm } from './term-transactions.js';

/** Dependencies of `SpotUsageRecorder`. */
export interface SpotUsageRecorderDependencies {
  readonly clusterState: Pick<ClusterState, 'nodes'>;
  readonly spotInterruptionRate: SpotInterruptionRate;
  readonly replica: StateReplica;
  readonly commit: CommitInTerm;
  readonly nowMs: () => number;
}

/** Records how many spot nodes are in use, because their interruptions are counted per hour of use. */
export class SpotUsageRecorder {
  private lastWriteMs: number;

  constructor(private readonly dependencies: SpotUsageRecorderDependencies) {
    this.lastWriteMs = dependencies.nowMs();
  }

  /**
   * Records the number of spot nodes in use at this steady time in ms, and periodically writes the record to the
   * state store.
   */
  record(nowMs: number): void {
    const { clusterState, spotInterruptionRate } = this.dependencies;
    let spotNodesInUse = 0;
    for (const node of clusterState.nodes.values()) if (node.spot && node.isReconciled) spotNodesInUse++;
    spotInterruptionRate.recordUsage(spotNodesInUse, nowMs);
    if (nowMs - this.lastWriteMs < SPOT_INTERRUPTIONS_WRITE_INTERVAL_MS) return;
    this.lastWriteMs = nowMs;
    this.write();
  }

  private write(): void {
    const { replica, commit, spotInterruptionRate } = this.dependencies;
    const modRevision = replica.get(SPOT_INTERRUPTIONS_KEY)?.modRevision ?? 0;
    void commit(
      [{ key: SPOT_INTERRUPTIONS_KEY, modRevision }],
      [{ key: SPOT_INTERRUPTIONS_KEY, value: spotInterruptionRate.toRecord() }],
    );
  }
}
