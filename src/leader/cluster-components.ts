/**
 * The components of a leader that manage its jobs and nodes and send commands to workers. They are built in the order
 * of their dependencies. Where two components need each other, one of them is reached through a closure.
 */
import { ClusterState, type Resources } from '../cluster/cluster-state.js';
import { NodeHealth } from '../cluster/node-health.js';
import { NodeRecords } from '../cluster/node-records.js';
import type { CommandResponse } from '../workers/command-call.js';
import { CommandDispatcher } from '../workers/command-dispatcher.js';
import { InstanceCatalog } from './instance-catalog.js';
import { JobStore } from './job-store.js';
import type { LeaderDependencies, LeaderMailbox } from './leader-dependencies.js';
import { TaskLifecycle } from './task-lifecycle.js';
import { createCommitInTerm, type CommitInTerm } from './term-transactions.js';
import { DependencyListWriter } from '../state/dependency-list-writer.js';
import { TermReconciliation } from './term-reconciliation.js';

/** Options of `ClusterComponents`. */
export interface ClusterComponentsOptions {
  readonly dependencies: LeaderDependencies;
  readonly mailbox: LeaderMailbox;
  /** Applies the status that a worker sent in response to commands. */
  readonly handleCommandResponse: (response: CommandResponse) => void;
}

/** The components that manage the jobs and nodes of one term. */
export class ClusterComponents {
  /** The nodes, and the attempts that are allocated on them. */
  readonly clusterState: ClusterState;
  /** Commits writes to the state store as long as this term lasts. */
  readonly commit: CommitInTerm;
  /** The jobs of the term. */
  readonly jobStore: JobStore;
  /** The instance types that the cloud offers. */
  readonly instanceCatalog: InstanceCatalog;
  /** Sends commands to workers. */
  readonly commandDispatcher: CommandDispatcher;
  /** Tracks the nodes on which tasks of earlier terms may still run. */
  readonly reconciliation: TermReconciliation;
  /** Judges whether nodes are alive and can run tasks. */
  readonly nodeHealth: NodeHealth;
  /** Stores the nodes in the state store. */
  readonly nodeRecords: NodeRecords;
  /** Steady time in ms at which the term began. */
  readonly termStartMs: number;

  /** Decides which attempts may be started, and handles their ends. */
  readonly taskLifecycle: TaskLifecycle;
  private readonly dependencies: LeaderDependencies;
  private readonly mailbox: LeaderMailbox;

  constructor({ dependencies, mailbox, handleCommandResponse }: ClusterComponentsOptions) {
    this.dependencies = dependencies;
    this.mailbox = mailbox;
    const { replica, log } = dependencies;
    this.termStartMs = this.nowMs();
    this.clusterState = this.createClusterState();
    this.commit = createCommitInTerm(dependencies.term, dependencies.transactionBatcher);
    this.jobStore = this.createJobStore();
    this.instanceCatalog = new InstanceCatalog({ replica, commit: this.commit, log });
    this.commandDispatcher = this.createCommandDispatcher(handleCommandResponse);
    this.reconciliation = this.createReconciliation();
    this.taskLifecycle = this.createTaskLifecycle();
    this.nodeHealth = this.createNodeHealth();
    this.nodeRecords = this.createNodeRecords();
  }

  /** Returns the current steady time in ms. */
  readonly nowMs = (): number => this.dependencies.clock.steadyMs();

  /** Returns the resources of a node of this instance type, or zero resources if the type is unknown. */
  readonly getCapacity = (typeName: string): Resources => this.instanceCatalog.getCapacity(typeName);

  private createClusterState(): ClusterState {
    return new ClusterState({
      onExited: (attempt, cause) => this.taskLifecycle.handleExited(attempt, cause),
      onReleased: (attempt) => this.taskLifecycle.handleReleased(attempt),
      onTaskSlotFreed: this.mailbox.requestSchedulingCycle,
    });
  }

  private createJobStore(): JobStore {
    const { settings, replica, clock, log } = this.dependencies;
    return new JobStore({
      replica,
      commit: this.commit,
      dependencyLists: this.createDependencyLists(),
      objectives: settings.deadlineObjectives,
      maxOperations: settings.stateLimits.maxTransactionOperations,
      wallMs: () => clock.wallMs(),
      log,
      onWriteEnded: (result) => this.mailbox.send({ kind: 'jobWriteEnded', result }),
      requestRefresh: (key) => this.refreshKey(key),
      onJobCancelled: (job) => {
        for (const attempt of job.attemptByTask.values())
          this.commandDispatcher.requestStop(attempt, { gracePeriodS: 0, reason: 'jobEnded' });
      },
    });
  }

  /** Creates the writer of dependency lists. The number of the term makes the ids of its lists unique. */
  private createDependencyLists(): DependencyListWriter {
    const { settings, term } = this.dependencies;
    let listCount = 0;
    return new DependencyListWriter({
      storeLimits: settings.stateLimits,
      commit: this.commit,
      createListId: () => `term-${term.fencingToken}-${++listCount}`,
    });
  }

  /** Applies the value of the key again once the replica has caught up with the state store. */
  private refreshKey(key: string): void {
    const { replica } = this.dependencies;
    replica.linearizableRead().then(
      () => {
        const change = replica.get(key);
        if (change) this.mailbox.send({ kind: 'keyChanged', change });
      },
      () => this.mailbox.requestSchedulingCycle(),
    );
  }

  private createCommandDispatcher(
    handleCommandResponse: ClusterComponentsOptions['handleCommandResponse'],
  ): CommandDispatcher {
    const { term, workerHttpClient, log } = this.dependencies;
    return new CommandDispatcher({
      term,
      clusterState: this.clusterState,
      httpClient: workerHttpClient,
      log,
      mayStart: (attempt) => this.taskLifecycle.mayStart(attempt),
      deliverCallResult: (result) => this.mailbox.send({ kind: 'commandCallEnded', result }),
      handleResponse: (response) => {
        handleCommandResponse(response);
        this.mailbox.requestSchedulingCycle();
      },
    });
  }

  private createReconciliation(): TermReconciliation {
    const { settings, term, replica, log } = this.dependencies;
    return new TermReconciliation({
      fencingToken: term.fencingToken,
      leaseS: settings.leaseDurationS,
      clusterState: this.clusterState,
      replica,
      commit: this.commit,
      nowMs: this.nowMs,
      log,
      onLeaseCheckEnded: (result) => this.mailbox.send({ kind: 'leaseCheckEnded', result }),
      requestSchedulingCycle: this.mailbox.requestSchedulingCycle,
    });
  }

  private createTaskLifecycle(): TaskLifecycle {
    const { settings, jobDependencies, cancellationWatermark, isStateStoreAvailable, log } =
      this.dependencies;
    return new TaskLifecycle({
      commandDispatcher: this.commandDispatcher,
      reconciliation: this.reconciliation,
      jobDependencies,
      cancellationWatermark,
      isStateStoreAvailable,
      nowMs: this.nowMs,
      termStartMs: this.termStartMs,
      heartbeatIntervalS: settings.heartbeatIntervalS,
      log,
      requestSchedulingCycle: this.mailbox.requestSchedulingCycle,
    });
  }

  private createNodeHealth(): NodeHealth {
    return new NodeHealth({
      clusterState: this.clusterState,
      heartbeatIntervalS: this.dependencies.settings.heartbeatIntervalS,
      termStartMs: this.termStartMs,
      findInstanceType: (typeName) => this.instanceCatalog.types.get(typeName),
      findJob: (uid) => this.jobStore.jobs.get(uid),
      isLeaseDelegated: (node) => this.reconciliation.isLeaseDelegated(node),
      isZoneUnreachable: this.dependencies.isZoneUnreachable,
    });
  }

  private createNodeRecords(): NodeRecords {
    const { settings, term, replica } = this.dependencies;
    return new NodeRecords({
      replica,
      termNumber: term.fencingToken,
      maxValueBytes: settings.stateLimits.valueBytes,
      maxOperations: settings.stateLimits.maxTransactionOperations,
      commit: this.commit,
      onWriteEnded: (result) => this.mailbox.send({ kind: 'nodeGroupWriteEnded', result }),
    });
  }
}
