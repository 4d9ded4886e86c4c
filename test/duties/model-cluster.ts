/** Several controllers with leased roles that run against a simulated state service and cloud, on simulated time. */
import assert from 'node:assert/strict';
import { pino } from 'pino';
import { decodeIntent, INTENT_KEY_PREFIX, LeasedRoles, ROLES, type Intent } from '@pumicehinge/duties';
import { SimulatedClock } from '@pumicehinge/runtime/simulated-clock';
import { HttpCloudProvider } from '../../src/duties/http-cloud-provider.js';
import { ControllerRoleStore } from '../../src/duties/controller-role-store.js';
import { readCurrentLeader } from '../../src/duties/current-leader.js';
import { HttpCallError, type HttpClient, type HttpResponse } from '../../src/http/message.js';
import { SimulatedCloud } from '../../src/simulation/cloud.js';
import { RoleActionLog, removeFencingConditions } from '../../src/simulation/role-action-log.js';
import type { SimulatedHandler } from '../../src/simulation/network.js';
import { SimulatedStateService } from '../../src/simulation/state-service.js';
import type { SimulatedWorker } from '../../src/simulation/simulated-worker.js';
import { StoreClient } from '../../src/state/store-client.js';
import { StateReplica } from '../../src/state/state-replica.js';
import { encodeLeader, LEADER_KEY, ROOT_PREFIX } from '../../src/state/records.js';
import { TransactionBatcher } from '../../src/state/transaction-batcher.js';
import { ModelLeader } from './model-leader.js';
import { ModelProcess } from './model-process.js';

const LIMITS = { requestsPerSecond: 1_000, writesPerSecond: 1_000, maxTransactionOperations: 12 };
const silentLogger = pino({ level: 'silent' });

/** The delivery of one message: the delays of the request and of its answer, and whether the answer is lost. */
export interface MessageDelivery {
  requestDelayMs: number;
  responseDelayMs: number;
  isResponseLost: boolean;
}

/** Decides how each message is delivered. */
export type DeliveryPolicy = () => MessageDelivery;

/** Delivers every message after a short delay, and loses none. */
export const PROMPT_DELIVERY: DeliveryPolicy = () => ({
  requestDelayMs: 5,
  responseDelayMs: 5,
  isResponseLost: false,
});

interface ModelController {
  process: ModelProcess;
  replica: StateReplica;
  roles: LeasedRoles;
}

/**
 * Injects faults into the controllers, and detects broken rules from the requests that the simulated services received.
 */
export class ModelCluster {
  readonly clock = new SimulatedClock();
  readonly state: SimulatedStateService;
  readonly cloud: SimulatedCloud;
  readonly log: RoleActionLog;
  /** Members whose requests don't reach the cloud. */
  readonly partitionedFromCloud = new Set<string>();
  /** Names of nodes that were terminated while the leader of that time considered them usable. */
  readonly terminatedWhileUsable: string[] = [];
  /** Whether the state service checks the conditions on the records of the roles. */
  isFencingEnabled = true;
  /** The number of nodes that the leader wants. */
  targetNodes = 4;
  /** Called whenever a process reads the current leader. It may throw to simulate a bug in the program. */
  onLeaderRead: (member: string) => void = () => undefined;
  private readonly handlers = new Map<string, SimulatedHandler>();
  private readonly controllers = new Map<string, ModelController>();
  private electedLeader: { leader: ModelLeader; term: number } | undefined;

  constructor(
    readonly members: readonly string[],
    private readonly random: () => number,
    public deliveryPolicy: DeliveryPolicy,
  ) {
    this.state = new SimulatedStateService(this.clock, random);
    const types = [{ sku: 'm4', cpus: 4, memGb: 16, bootS: 1, price: 1 }];
    const noWorker = { kill: () => undefined } as unknown as SimulatedWorker;
    this.cloud = new SimulatedCloud(this.clock, types, ['east'], Infinity, () => noWorker);
    this.log = new RoleActionLog(this.state, this.cloud, () => this.clock.steadyMs());
    this.handlers.set(
      'state:1',
      this.log.wrap('state', (from, method, target, body) =>
        this.state.handle(
          from,
          method,
          target,
          this.isFencingEnabled || !body ? body : removeFencingConditions(body),
        ),
      ),
    );
    this.handlers.set(
      'cloud:1',
      this.log.wrap('cloud', (...request) => this.recordTerminations(() => this.cloud.handle(...request))),
    );
    for (const member of members) this.startProcess(member);
  }

  startProcess(member: string): void {
    const process = new ModelProcess(this.clock);
    const clock = process.visibleClock;
    const httpClient: HttpClient = {
      call: (...request) => this.call(member, process, request),
    };
    const client = new StoreClient({
      httpClient,
      address: 'state:1',
      clock,
      limits: LIMITS,
      controllerCount: 1,
    });
    client.setIsLeader(true);
    const replica = new StateReplica(client, ROOT_PREFIX, clock, silentLogger);
    const roles = new LeasedRoles({
      member,
      store: new ControllerRoleStore(
        replica,
        new TransactionBatcher(client, replica, clock, silentLogger),
        client,
      ),
      cloudProvider: new HttpCloudProvider(httpClient, 'cloud:1'),
      currentLeader: () => {
        this.onLeaderRead(member);
        return readCurrentLeader(replica);
      },
      findObsoleteRecords: () => [],
      maxTransactionOperations: LIMITS.maxTransactionOperations,
      cloudRequestsPerSecond: { rent: 4, return: 4, reclaim: 4 },
      ...{ clock, random: this.random, log: silentLogger },
    });
    this.controllers.set(member, { process, replica, roles });
    void replica.run();
    roles.start();
  }

  private requireController(member: string): ModelController {
    const controller = this.controllers.get(member);
    assert.ok(controller, `${member} is not in the cluster`);
    return controller;
  }

  requireProcess(member: string): ModelProcess {
    return this.requireController(member).process;
  }

  requireRoles(member: string): LeasedRoles {
    return this.requireController(member).roles;
  }

  listIntents(): Intent[] {
    return this.state
      .listKeys(INTENT_KEY_PREFIX)
      .map((key) => decodeIntent(key, this.state.getValue(key)))
      .filter((intent) => intent !== undefined);
  }

  /** Returns the revision of a key. */
  readModRevision(key: string): number {
    return this.state.getRevision(key);
  }

  /** Writes a key without any condition, which no controller does. */
  async writeUnconditionally(key: string, value: unknown): Promise<boolean> {
    const body = JSON.stringify({ apply: [{ put: key, v: value }] });
    return (await this.state.handle('test', 'POST', '/multi', body))?.status === 200;
  }

  crash(member: string, restartDelayMs: number): void {
    if (!this.requireProcess(member).clock.isAlive) return;
    this.requireProcess(member).clock.kill();
    this.clock.setTimer(restartDelayMs, () => this.startProcess(member));
  }

  pause(member: string, durationMs: number): void {
    const process = this.requireProcess(member);
    process.pause();
    this.clock.setTimer(durationMs, () => process.resume());
  }

  /** Makes a controller the leader of a new term. */
  async elect(member: string, { delegates = true } = {}): Promise<void> {
    const { process, replica, roles } = this.requireController(member);
    const term = this.term + 1;
    if (
      !(await this.writeUnconditionally(
        LEADER_KEY,
        encodeLeader({ member, term, delegatesCloudCalls: delegates }),
      ))
    )
      return;
    this.electedLeader = undefined;
    if (!delegates) return;
    for (let hasReadOwnRecord = false; !hasReadOwnRecord;)
      try {
        await replica.linearizableRead();
        hasReadOwnRecord =
          Number((replica.get(LEADER_KEY)?.value as { term: number } | undefined)?.term) >= term;
      } catch {
        await new Promise<void>((resolve) => process.clock.setTimer(300, resolve));
      }
    if (this.term !== term || !process.clock.isAlive) return;
    const stored = replica.get(LEADER_KEY);
    assert.ok(stored, 'there is no leader');
    const modRevision = Number(stored.modRevision);
    const nodeNames = this.cloud.machines.keys();
    const readTargetNodes = (): number => this.targetNodes;
    const { clock } = process;
    this.electedLeader = {
      leader: new ModelLeader({
        term,
        modRevision,
        clock,
        roles,
        nodeNames,
        readTargetNodes,
      }),
      term,
    };
  }

  get term(): number {
    return (this.state.getValue(LEADER_KEY) as { term: number } | undefined)?.term ?? 0;
  }

  /** Lists the broken rules. They are detected in the simulated services, independently of the code under test. */
  listViolations(): string[] {
    const uncoveredActions = this.log.actions.filter(
      ({ result, hasCommittedIntent }) => result === 'effect' && !hasCommittedIntent,
    );
    return [
      ...this.log
        .summarizeStaleActions()
        .acceptedActions.map(
          ({ sender, role, subject }) => `accepted from replaced holder ${sender}: ${role} ${subject}`,
        ),
      ...uncoveredActions.map(
        ({ sender, role, subject }) => `took effect without commitment: ${sender} ${role} ${subject}`,
      ),
      ...this.log.violations,
      ...this.terminatedWhileUsable.map(
        (name) => `${name} was terminated while the leader considered it usable`,
      ),
    ];
  }

  /** Lists what is still unfinished. The list must be empty some time after the last fault. */
  listUnfinished(): string[] {
    const isOpen = ({ state, id }: Intent): boolean =>
      state === 'committed' || (state === 'requested' && id.term === this.term);
    const areNodesMissing = this.cloud.machines.size < this.targetNodes;
    return [
      ...ROLES.filter((role) => this.log.getHolder(role) === undefined).map((role) => `nobody holds ${role}`),
      ...this.listIntents()
        .filter(isOpen)
        .map(({ role, id }) => `${role} intent ${id.term}-${id.sequence} is still open`),
      ...(areNodesMissing ? [`only ${this.cloud.machines.size} of ${this.targetNodes} nodes exist`] : []),
    ];
  }

  private async recordTerminations(execute: () => Promise<HttpResponse>): Promise<HttpResponse> {
    const namesBefore = [...this.cloud.machines.keys()];
    const response = await execute();
    const { electedLeader } = this;
    for (const name of namesBefore)
      if (
        !this.cloud.machines.has(name) &&
        electedLeader?.term === this.term &&
        electedLeader.leader.usableNodes.has(name)
      )
        this.terminatedWhileUsable.push(name);
    return response;
  }

  /** Sends one request. It is executed when it arrives, even if its sender has already timed out. */
  private call(
    member: string,
    process: ModelProcess,
    [address, method, target, body, timeoutMs]: Parameters<HttpClient['call']>,
  ): Promise<HttpResponse> {
    const { requestDelayMs, responseDelayMs, isResponseLost } = this.deliveryPolicy();
    return new Promise((resolve, reject) => {
      const runInProcessAfter = (ms: number, run: () => void): void =>
        void this.clock.setTimer(ms, () => process.run(run));
      runInProcessAfter(timeoutMs, () => reject(new HttpCallError('unclear', 'no answer')));
      if (address === 'cloud:1' && this.partitionedFromCloud.has(member)) return;
      this.clock.setTimer(requestDelayMs, () => {
        void this.handlers.get(address)!(member, method, target, body).then((response) => {
          if (response && !isResponseLost) runInProcessAfter(responseDelayMs, () => resolve(response));
        });
      });
    });
  }
}
