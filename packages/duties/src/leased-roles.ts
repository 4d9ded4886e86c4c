/** The entry point to the leased roles of one controller. It combines role leases, intent execution and cleanup. */
import type { Clock } from '@pumicehinge/runtime';
import type { Logger } from 'pino';
import { ACTOR_RESTART_DELAY_MS } from './constants.js';
import { IntentExecutor } from './intent-executor.js';
import { IntentIndex } from './intent-index.js';
import { IntentLog, type IntentLogTerm } from './intent-log.js';
import type { CloudProvider, CurrentLeader, RoleStore } from './ports.js';
import { RecordGarbageCollector, type ObsoleteRecord } from './record-garbage-collector.js';
import { RoleLeases, type RoleGrant } from './role-leases.js';
import { ROLES, type IntentRole, type Role } from './roles.js';

/** Dependencies of `LeasedRoles`. */
export interface LeasedRolesOptions {
  /** This controller's name. */
  readonly member: string;
  readonly store: RoleStore;
  readonly cloudProvider: CloudProvider;
  readonly currentLeader: () => CurrentLeader | undefined;
  /** Finds at most `limit` obsolete records other than intents. */
  readonly findObsoleteRecords: (limit: number) => ObsoleteRecord[];
  /** Limit of puts and deletes in one transaction of the state store. */
  readonly maxTransactionOperations: number;
  /** Rate limit of the calls to the cloud, by role. */
  readonly cloudRequestsPerSecond: Readonly<Record<IntentRole, number>>;
  readonly clock: Clock;
  /** Returns a random number, uniformly distributed in [0, 1). */
  readonly random: () => number;
  readonly log: Logger;
}

/** The actors that share the role leases of this process. If one of them fails, all of them are restarted. */
interface RoleActors {
  readonly leases: RoleLeases;
  readonly executors: readonly IntentExecutor[];
  readonly garbageCollector: RecordGarbageCollector;
}

/** Campaigns for vacant roles on behalf of one controller, and does the work of the roles that the controller holds. */
export class LeasedRoles {
  private readonly intentIndex: IntentIndex;
  private actors: RoleActors;

  /** Creates the actors, and follows the stored intents at once. The actors do nothing before `start`. */
  constructor(private readonly options: LeasedRolesOptions) {
    this.intentIndex = new IntentIndex(options.store, options.log);
    this.actors = this.createActors();
  }

  /** Starts to campaign for roles and to do the work of held ones. */
  start(): void {
    for (const actor of this.listActors()) actor.start();
  }

  /** Stops all work. Held roles become vacant when the lease expires. */
  stop(): void {
    for (const actor of this.listActors()) actor.stop();
  }

  /** Lists the roles that this process holds according to its replica. */
  listHeldRoles(): RoleGrant[] {
    return ROLES.map((role) => this.actors.leases.currentGrant(role)).filter((grant) => grant !== undefined);
  }

  /** Resigns a held role. This process does not campaign for it again before a cooldown has passed. */
  resign(role: Role, reason: string): void {
    this.actors.leases.resign(role, reason);
  }

  /** Opens the intent log of a term that this process leads. The caller stops the log when the term ends. */
  openIntentLog(term: IntentLogTerm, onFailure: (error: unknown) => void): IntentLog {
    const { store, clock, log } = this.options;
    // The leases are looked up at each call because a restart replaces them.
    const roleLeases = { currentGrant: (role: Role) => this.actors.leases.currentGrant(role) };
    return new IntentLog(
      { ...term, intentIndex: this.intentIndex, roleLeases, store, clock, log },
      onFailure,
    );
  }

  private listActors(): (RoleLeases | IntentExecutor | RecordGarbageCollector)[] {
    const { leases, executors, garbageCollector } = this.actors;
    return [leases, ...executors, garbageCollector];
  }

  private createActors(): RoleActors {
    const { member, store, currentLeader, clock, random, log } = this.options;
    const { cloudProvider, cloudRequestsPerSecond, findObsoleteRecords, maxTransactionOperations } =
      this.options;
    const onFailure = (): void => this.restart();
    const leases = new RoleLeases({ member, store, currentLeader, clock, random, log }, onFailure);
    const commonOptions = {
      roleLeases: leases,
      intentIndex: this.intentIndex,
      store,
      currentLeader,
      clock,
      log,
    };
    const executors = ROLES.filter((role) => role !== 'cleanup').map((role) => {
      const requestsPerSecond = cloudRequestsPerSecond[role];
      return new IntentExecutor(
        { ...commonOptions, role, cloudProvider, cloudRequestsPerSecond: requestsPerSecond },
        onFailure,
      );
    });
    const garbageCollector = new RecordGarbageCollector(
      { ...commonOptions, findObsoleteRecords, maxTransactionOperations },
      onFailure,
    );
    return { leases, executors, garbageCollector };
  }

  /**
   * Replaces all actors. The new actors use a new lease session. They find the roles of the previous session in the
   * state store, and release them.
   */
  private restart(): void {
    this.stop();
    this.actors = this.createActors();
    this.options.clock.setTimer(ACTOR_RESTART_DELAY_MS, () => this.start());
  }
}
