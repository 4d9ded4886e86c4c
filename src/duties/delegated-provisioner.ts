/** The leader's provisioner for the case that role holders, instead of the leader, make the calls to the cloud. */
import type {
  InheritedIntents,
  IntentEvent,
  IntentLog,
  LeasedRoles,
  TerminationRole,
} from '@pumicehinge/duties';
import { assertNever } from '@pumicehinge/runtime';
import type { CloudEvent } from '../autoscaler/cloud-client.js';
import type { LaunchRequest } from '../autoscaler/cloud-codec.js';
import type { Provisioner } from '../autoscaler/provisioner.js';
import { LEADER_KEY } from '../state/records.js';
import type { WireInt } from '../wire/json.js';

/** Dependencies of `DelegatedProvisioner`. */
export interface DelegatedProvisionerOptions {
  readonly roles: LeasedRoles;
  readonly term: {
    /** Number of the term. */
    readonly fencingToken: number;
    /** Revision at which the leader wrote its key. */
    readonly leaderKeyRevision: WireInt;
  };
  /** Size limit of one value in the state store. */
  readonly maxValueBytes: number;
  /** Called with the result of each request, as if the leader had called the cloud itself. */
  readonly onEvent: (event: CloudEvent) => void;
  /** Called when the intent log fails. */
  readonly onFailure: (error: unknown) => void;
}

/** Records the leader's requests as intents, which the holders of leased roles execute. */
export class DelegatedProvisioner implements Provisioner {
  private readonly intents: IntentLog;

  /** Opens the intent log of the term. */
  constructor({ roles, term, maxValueBytes, onEvent, onFailure }: DelegatedProvisionerOptions) {
    const fence = { key: LEADER_KEY, modRevision: term.leaderKeyRevision };
    this.intents = roles.openIntentLog(
      {
        term: term.fencingToken,
        fence,
        maxValueBytes,
        onEvent: (event) => onEvent(toCloudEvent(event)),
      },
      onFailure,
    );
  }

  /** Returns the intents that earlier terms have irrevocably begun. */
  listInheritedIntents(): InheritedIntents {
    return this.intents.listInheritedIntents();
  }

  /** Closes the intent log. Role holders still execute the recorded intents. */
  stop(): void {
    this.intents.stop();
  }

  /** Records an intent to launch nodes. */
  launch({ requestName, offering, nodeCount }: LaunchRequest): void {
    this.intents.send({ kind: 'launch', request: { requestName, offering, nodeCount } });
  }

  /** Records an intent to terminate nodes. */
  terminate(role: TerminationRole, names: string[]): void {
    this.intents.send({ kind: 'terminate', role, names });
  }
}

/** Converts the result of an intent to the event that the leader gets for a call of its own. */
function toCloudEvent(event: IntentEvent): CloudEvent {
  switch (event.kind) {
    case 'launched':
      return { kind: 'launched', request: event.request, names: event.names };
    case 'launchRefused':
      return { kind: 'launchFailed', request: event.request, reason: event.reason };
    case 'terminated':
      return { kind: 'terminated', names: event.names };
    default:
      return assertNever(event);
  }
}
