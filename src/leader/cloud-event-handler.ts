/** Handles the cloud events of the leader: catalogs, launches, terminations and instance lists. */
import type { Logger } from 'pino';
import { assertNever } from '@pumicehinge/runtime';
import type { Autoscaler } from '../autoscaler/autoscaler.js';
import type { CloudEvent } from '../autoscaler/cloud-client.js';
import type { InstanceOffering } from '../autoscaler/cloud-codec.js';
import type { Provisioner } from '../autoscaler/provisioner.js';
import type { ClusterState } from '../cluster/cluster-state.js';
import type { NodeRecords } from '../cluster/node-records.js';
import type { FleetReconciler } from './fleet-reconciler.js';
import type { InstanceCatalog } from './instance-catalog.js';

/** Dependencies of `CloudEventHandler`. */
export interface CloudEventHandlerDependencies {
  readonly autoscaler: Autoscaler;
  readonly clusterState: ClusterState;
  readonly fleetReconciler: FleetReconciler;
  readonly instanceCatalog: InstanceCatalog;
  readonly nodeRecords: NodeRecords;
  readonly provisioner: Provisioner;
  readonly nowMs: () => number;
  readonly log: Logger;
  readonly requestSchedulingCycle: () => void;
}

type LaunchedEvent = Extract<CloudEvent, { kind: 'launched' }>;

/**
 * Applies cloud events, and the launches and terminations of earlier terms, to the cluster state and the autoscaler.
 */
export class CloudEventHandler {
  constructor(private readonly dependencies: CloudEventHandlerDependencies) {}

  /**
   * Adopts the launches and terminations that earlier terms committed. It is called once, before the leader decides
   * anything.
   */
  adoptInheritedIntents(): void {
    const { provisioner, fleetReconciler, autoscaler } = this.dependencies;
    const nowMs = this.dependencies.nowMs();
    const { launchesInProgress, completedLaunches, nodesBeingTerminated, terminatedNodes } =
      provisioner.listInheritedIntents();
    fleetReconciler.adoptTerminations(nodesBeingTerminated, terminatedNodes, nowMs);
    for (const { names, offering } of completedLaunches) this.addLaunchedNodes(names, offering, nowMs);
    for (const launch of launchesInProgress) autoscaler.adoptPendingLaunch(launch);
  }

  /** Applies one event. Every event except a new catalog requests a scheduling cycle. */
  handle(event: CloudEvent): void {
    const { autoscaler, fleetReconciler } = this.dependencies;
    const nowMs = this.dependencies.nowMs();
    switch (event.kind) {
      case 'catalog':
        return this.updateCatalog(event);
      case 'launched':
        this.handleLaunched(event, nowMs);
        break;
      case 'launchFailed':
        autoscaler.handleLaunchFailed(event.request, event.reason, nowMs);
        this.dependencies.log.info(
          { ...event.request.offering, reason: event.reason },
          'instance launch failed',
        );
        break;
      case 'terminated':
        fleetReconciler.handleTerminated(event.names, nowMs);
        break;
      case 'listed':
        autoscaler.recordInstanceListRead();
        fleetReconciler.reconcileListing(event, nowMs);
        break;
      default:
        assertNever(event);
    }
    this.dependencies.requestSchedulingCycle();
  }

  private updateCatalog({ instanceTypes }: Extract<CloudEvent, { kind: 'catalog' }>): void {
    const { clusterState, instanceCatalog } = this.dependencies;
    instanceCatalog.update(instanceTypes);
    for (const node of clusterState.nodes.values())
      clusterState.setCapacity(node, instanceCatalog.getCapacity(node.type));
  }

  private handleLaunched({ request: launch, names }: LaunchedEvent, nowMs: number): void {
    const { offering } = launch;
    this.dependencies.autoscaler.handleLaunched(launch, names.length, nowMs);
    this.addLaunchedNodes(names, offering, nowMs);
    this.dependencies.log.info({ ...offering, names }, 'nodes launched');
  }

  private addLaunchedNodes(names: readonly string[], offering: InstanceOffering, nowMs: number): void {
    const { clusterState, fleetReconciler, instanceCatalog, nodeRecords } = this.dependencies;
    const capacity = instanceCatalog.getCapacity(offering.type);
    const newNames = names.filter(
      (name) => !clusterState.nodes.has(name) && !fleetReconciler.wasRecentlyDeleted(name),
    );
    nodeRecords.addLaunched(
      newNames.map((name) => clusterState.addNode({ name, address: '', ...offering, capacity }, nowMs)),
    );
  }
}
