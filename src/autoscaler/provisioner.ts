/** How a leader gets instances launched and terminated: by its own calls, or through the holders of leased roles. */
import type { TerminationRole, InheritedIntents } from '@pumicehinge/duties';
import type { CloudClient } from './cloud-client.js';
import type { LaunchRequest } from './cloud-codec.js';

/** Launches and terminates instances for a leader. The outcomes arrive as cloud events. */
export interface Provisioner {
  /** Requests instances. */
  launch(request: LaunchRequest): void;
  /** Requests the termination of instances. `role` is the leased role that is responsible for it. */
  terminate(role: TerminationRole, names: string[]): void;
  /** Launches and terminations that earlier terms have irrevocably started. */
  listInheritedIntents(): InheritedIntents;
  /** Stops requesting launches and terminations. */
  stop(): void;
}

/** Lets the leader call the cloud itself. */
export class DirectProvisioner implements Provisioner {
  constructor(private readonly cloud: CloudClient) {}

  /** Sends the request to the cloud client. */
  launch(request: LaunchRequest): void {
    this.cloud.send({ kind: 'launch', request });
  }

  /** Sends the request to the cloud client, regardless of the role. */
  terminate(_role: TerminationRole, names: string[]): void {
    this.cloud.send({ kind: 'terminate', names });
  }

  /** Returns no intents, because the instance list shows what an earlier leader requested. */
  listInheritedIntents(): InheritedIntents {
    return { launchesInProgress: [], completedLaunches: [], nodesBeingTerminated: [], terminatedNodes: [] };
  }

  /** Does nothing, because the leader owns the cloud client and stops it. */
  stop(): void {
    // Intentionally empty.
  }
}
