/**
 * Detects actions that were accepted from controllers that did not hold the leased role. Tests and scripts place it
 * in front of the simulated state service and cloud. They also remove the fencing conditions from transactions, to
 * show that such actions are then found.
 */
import {
  decodeHolder,
  decodeIntent,
  ROLES,
  roleHolderKey,
  INTENT_KEY_PREFIX,
  type Role,
  type Intent,
} from '@pumicehinge/duties';
import type { HttpResponse } from '../http/message.js';
import type { SimulatedCloud } from './cloud.js';
import type { SimulatedHandler } from './network.js';
import type { SimulatedStateService } from './state-service.js';

const TOKEN_KEY_PREFIX = 'ph/duty-token/';

/** One action of a leased role, as a simulated service received it. */
export interface RoleAction {
  receivedMs: number;
  role: Role;
  sender: string;
  /** The member that held the role when the action arrived. */
  holder: string | undefined;
  /** The key that a write changed, or the request name or machines of a call to the cloud. */
  subject: string;
  /** `record` if a write was accepted, `effect` if machines were rented or returned, `none` if nothing changed. */
  result: 'record' | 'effect' | 'none';
  /** Whether a committed intent for this action was stored before it arrived. */
  hasCommittedIntent: boolean;
}

/** Summary of the actions that arrived from members that did not hold the role. */
export interface StaleActionSummary {
  /** Stale actions that were wrongly accepted: stored writes, and effects for which no committed intent is stored. */
  acceptedActions: RoleAction[];
  /** Number of stale calls that changed nothing. */
  ineffectiveCallCount: number;
  /** Number of stale calls that were the first to carry out a committed intent. */
  committedEffectCount: number;
}

/** The part of a transaction's body that holds its operations. */
interface Transaction {
  apply?: { put?: string; drop?: string; v?: unknown }[];
}

/**
 * Logs what the simulated state service and cloud receive from holders of leased roles, and who held the role then.
 */
export class RoleActionLog {
  /** All actions received so far. */
  readonly actions: RoleAction[] = [];
  /** One line for each fencing token that did not increase and each request name that was used for two intents. */
  readonly violations: string[] = [];
  private readonly latestTokens = new Map<string, number>();
  private readonly intentKeysByRequestName = new Map<string, string>();
  private readonly committedIntents = new Map<string, Intent>();

  constructor(
    private readonly state: SimulatedStateService,
    private readonly cloud: SimulatedCloud,
    private readonly nowMs: () => number,
  ) {}

  /** Returns a handler that logs each request of the service and then passes it on. */
  wrap(service: 'state' | 'cloud', handler: SimulatedHandler): SimulatedHandler {
    return (from, method, target, body) => {
      if (service === 'state' && target === '/multi' && body !== undefined)
        return this.observeTransaction(from, body, () => handler(from, method, target, body));
      if (service === 'cloud' && method === 'POST' && body !== undefined)
        return this.observeCloudCall(from, target, body, () => handler(from, method, target, body));
      return handler(from, method, target, body);
    };
  }

  /** The member that holds the role. Undefined if nobody does. */
  getHolder(role: Role): string | undefined {
    return decodeHolder(this.state.getValue(roleHolderKey(role)))?.member;
  }

  /** The fencing token of the role's holder. Undefined if nobody holds the role. */
  getFencingToken(role: Role): number | undefined {
    return decodeHolder(this.state.getValue(roleHolderKey(role)))?.fencingToken;
  }

  /** The holder of each role, in the order of ROLES. */
  getHolders(): (string | undefined)[] {
    return ROLES.map((role) => this.getHolder(role));
  }

  /** Summarizes the actions whose sender did not hold the role when they arrived. */
  summarizeStaleActions(): StaleActionSummary {
    const stale = this.actions.filter(({ sender, holder }) => sender !== holder);
    return {
      acceptedActions: stale.filter(
        ({ result, hasCommittedIntent }) =>
          result === 'record' || (result === 'effect' && !hasCommittedIntent),
      ),
      ineffectiveCallCount: stale.filter(({ result }) => result === 'none').length,
      committedEffectCount: stale.filter(
        ({ result, hasCommittedIntent }) => result === 'effect' && hasCommittedIntent,
      ).length,
    };
  }

  private async observeTransaction(
    sender: string,
    body: string,
    execute: () => Promise<HttpResponse | undefined>,
  ): Promise<HttpResponse | undefined> {
    const holders = new Map(ROLES.map((role) => [role, this.getHolder(role)]));
    const receivedMs = this.nowMs();
    const response = await execute();
    if (response?.status !== 200) return response;
    for (const { put, drop, v } of (JSON.parse(body) as Transaction).apply ?? []) {
      if (put !== undefined) this.checkTokenAndRequestName(put, v);
      const intent = put === undefined ? undefined : decodeIntent(put, v);
      const role = drop?.startsWith(INTENT_KEY_PREFIX)
        ? 'cleanup'
        : intent?.state === 'requested'
          ? undefined
          : intent?.role;
      if (intent?.state === 'committed') this.committedIntents.set(put!, intent);
      if (role === undefined) continue;
      const subject = put ?? drop!;
      this.actions.push({
        ...{
          receivedMs,
          role,
          sender,
          subject,
          holder: holders.get(role),
          result: 'record',
          hasCommittedIntent: false,
        },
      });
    }
    return response;
  }

  private checkTokenAndRequestName(key: string, value: unknown): void {
    if (key.startsWith(TOKEN_KEY_PREFIX)) {
      const token = (value as { token: number }).token;
      if (token <= (this.latestTokens.get(key) ?? 0))
        this.violations.push(`${key} did not increase: ${token}`);
      this.latestTokens.set(key, token);
    }
    const intent = decodeIntent(key, value);
    if (intent?.role !== 'rent') return;
    if ((this.intentKeysByRequestName.get(intent.requestName) ?? key) !== key)
      this.violations.push(`request name ${intent.requestName} was used for two intents`);
    this.intentKeysByRequestName.set(intent.requestName, key);
  }

  private async observeCloudCall(
    sender: string,
    target: string,
    body: string,
    execute: () => Promise<HttpResponse | undefined>,
  ): Promise<HttpResponse | undefined> {
    const request = JSON.parse(body) as { ask?: string; hearths?: string[] };
    const isIntentOfRequest = (intent: Intent): boolean =>
      intent.role === 'rent'
        ? intent.requestName === request.ask
        : request.hearths?.every((name) => intent.nodeNames.includes(name)) === true;
    const committedIntent = [...this.committedIntents.values()].find(isIntentOfRequest);
    const role = committedIntent?.role ?? (target === '/hosts' ? 'rent' : 'return');
    const holder = this.getHolder(role);
    const receivedMs = this.nowMs();
    const countsBefore = { rented: this.cloud.rentedCount, hosts: this.cloud.machines.size };
    const response = await execute();
    const hasChangedMachines =
      this.cloud.rentedCount !== countsBefore.rented || this.cloud.machines.size < countsBefore.hosts;
    this.actions.push({
      ...{
        receivedMs,
        role,
        sender,
        holder,
        subject: request.ask ?? (request.hearths ?? []).join(' '),
      },
      result: hasChangedMachines ? 'effect' : 'none',
      hasCommittedIntent: committedIntent !== undefined,
    });
    return response;
  }
}

/**
 * Removes the fencing conditions from a transaction, which are those on the revisions of the keys of leased roles.
 * Conditions that a key must not exist are kept.
 */
export function removeFencingConditions(body: string): string {
  const transaction = JSON.parse(body) as { if?: { key: string; stamp: number }[] };
  const keptConditions = (transaction.if ?? []).filter(
    ({ key, stamp }) => stamp === 0 || !key.startsWith('ph/duty-'),
  );
  return JSON.stringify({ ...transaction, if: keptConditions });
}
