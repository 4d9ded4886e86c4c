/**
 * Calls the cloud for the leader: launches and terminates instances, and reads the catalog and the instance list, all
 * within the cloud's request rate.
 */
import type { Logger } from 'pino';
import type { LaunchRefusalReason } from '@pumicehinge/duties';
import { Actor, RateLimiter, type Clock } from '@pumicehinge/runtime';
import {
  CATALOG_INTERVAL_MS,
  CLOUD_CALL_TIMEOUT_MS,
  CLOUD_RATE_SHARE,
  DELEGATED_CLOUD_RATE_SHARES,
  DELEGATED_INSTANCE_LIST_RATE_SHARE,
  INSTANCE_LIST_INTERVAL_MS,
  INSTANCE_LIST_RATE_SHARE,
  MAX_INSTANCES_PER_TERMINATION,
  STATE_RETRY_DELAY_MS,
} from '../constants.js';
import type { HttpClient, HttpResponse } from '../http/message.js';
import { formatJson } from '../wire/json.js';
import {
  CATALOG_TARGET,
  decodeCatalog,
  decodeInstancePage,
  decodeLaunchedNames,
  decodeRefusalReason,
  encodeLaunch,
  encodeTermination,
  formatInstanceListTarget,
  LAUNCH_TARGET,
  TERMINATE_TARGET,
  type CloudInstance,
  type InstanceType,
  type LaunchRequest,
} from './cloud-codec.js';

/** The part of the cloud's request rate that a leader may use. */
export interface CloudRates {
  /** Requests per second. */
  readonly rps: number;
  /** Share of these requests for reading the instance list. */
  readonly listShare: number;
}

/**
 * The request rates of a leader. It uses the whole usable rate, or only its share of it if the holders of leased roles
 * launch and terminate instances.
 */
export function computeLeaderCloudRates(rps: number, hasRoleHolders: boolean): CloudRates {
  const usableRps = rps * CLOUD_RATE_SHARE;
  return hasRoleHolders
    ? { rps: usableRps * DELEGATED_CLOUD_RATE_SHARES.leader, listShare: DELEGATED_INSTANCE_LIST_RATE_SHARE }
    : { rps: usableRps, listShare: INSTANCE_LIST_RATE_SHARE };
}

/**
 * A response of the cloud. `launchFailed` means that the cloud launched nothing, because it has no capacity or
 * because of a fault.
 */
export type CloudEvent =
  | { readonly kind: 'catalog'; readonly instanceTypes: InstanceType[] }
  | { readonly kind: 'listed'; readonly instances: readonly CloudInstance[]; readonly requestedMs: number }
  | { readonly kind: 'launched'; readonly request: LaunchRequest; readonly names: string[] }
  | { readonly kind: 'launchFailed'; readonly request: LaunchRequest; readonly reason: LaunchRefusalReason }
  | { readonly kind: 'terminated'; readonly names: string[] };

/** Dependencies of CloudClient. */
export interface CloudClientDependencies {
  readonly httpClient: HttpClient;
  /** Host and port of the cloud. */
  readonly address: string;
  readonly rates: CloudRates;
  readonly clock: Clock;
  readonly onEvent: (event: CloudEvent) => void;
  /**
   * Whether calls are still allowed. This is checked right before each call, because after a pause of the process
   * another controller may lead, and decisions from before the pause are void.
   */
  readonly mayCall: () => boolean;
  readonly log: Logger;
  readonly onFailure: (error: unknown) => void;
}

type Message =
  | { readonly kind: 'launch'; readonly request: LaunchRequest }
  | { readonly kind: 'terminate'; readonly names: readonly string[] }
  /** The timer for the next calls has expired. */
  | { readonly kind: 'tick' }
  | { readonly kind: 'callCompleted'; readonly call: Call; readonly response: HttpResponse | undefined };

/** A request for one page of the instance list, with the instances of the previous pages. */
interface ListCall {
  readonly kind: 'list';
  /** Name of the last instance read so far. Empty for the first page. */
  readonly afterName: string;
  readonly instances: readonly CloudInstance[];
  /** Steady time in milliseconds at which the first page was requested. */
  readonly requestedMs: number;
  readonly pageCount: number;
}

type Call =
  | { readonly kind: 'launch'; readonly request: LaunchRequest }
  | { readonly kind: 'terminate'; readonly names: readonly string[] }
  | ListCall
  | { readonly kind: 'catalog' };

/**
 * Calls the cloud within its request rate. Terminations come first, then the catalog, further pages of an instance list
 * that is being read, launches, and last a new read of the instance list.
 */
export class CloudClient extends Actor<Message> {
  private readonly rateLimiter: RateLimiter;
  private readonly pendingLaunches: LaunchRequest[] = [];
  private readonly pendingTerminations = new Set<string>();
  private isTerminating = false;
  /** Steady time in milliseconds at which the instance list is to be read again. */
  private listDueMs = 0;
  /** The request for the next page of the list that is being read. */
  private nextPage: ListCall | undefined;
  /** Steady time in milliseconds at which the catalog is to be read again. */
  private catalogDueMs = 0;
  private cancelTimer: (() => void) | undefined;

  constructor(private readonly dependencies: CloudClientDependencies) {
    super(dependencies.log, dependencies.onFailure);
    this.rateLimiter = new RateLimiter(dependencies.clock, dependencies.rates.rps);
  }

  /** Stops making calls. The responses to calls in flight are dropped. */
  override stop(): void {
    super.stop();
    this.cancelTimer?.();
  }

  protected receive(message: Message): void {
    switch (message.kind) {
      case 'launch':
        this.pendingLaunches.push(message.request);
        break;
      case 'terminate':
        this.requestTermination(message.names);
        break;
      case 'tick':
        break;
      case 'callCompleted':
        this.handleResponse(message.call, message.response);
    }
    this.makeDueCalls();
  }

  private requestTermination(names: readonly string[]): void {
    for (const name of names) this.pendingTerminations.add(name);
  }

  private makeDueCalls(): void {
    const { clock, mayCall } = this.dependencies;
    this.cancelTimer?.();
    while (mayCall() && this.rateLimiter.computeWaitMs(1) === 0) {
      const call = this.takeNextCall();
      if (!call) break;
      this.rateLimiter.consume(1);
      this.startCall(call);
    }
    const waitMs = Math.max(this.rateLimiter.computeWaitMs(1), STATE_RETRY_DELAY_MS);
    this.cancelTimer = clock.setTimer(waitMs, () => this.send({ kind: 'tick' }));
  }

  /** Takes the most urgent call that is due. The caller has to start it. Undefined if none is due. */
  private takeNextCall(): Call | undefined {
    const nowMs = this.dependencies.clock.steadyMs();
    return (
      this.takeTermination() ??
      this.takeCatalogCall(nowMs) ??
      this.takeListPage() ??
      this.takeLaunch() ??
      this.takeListCall(nowMs)
    );
  }

  private takeTermination(): Call | undefined {
    if (this.pendingTerminations.size === 0 || this.isTerminating) return undefined;
    const names = [...this.pendingTerminations].slice(0, MAX_INSTANCES_PER_TERMINATION);
    for (const name of names) this.pendingTerminations.delete(name);
    this.isTerminating = true;
    return { kind: 'terminate', names };
  }

  private takeCatalogCall(nowMs: number): Call | undefined {
    if (nowMs < this.catalogDueMs) return undefined;
    this.catalogDueMs = nowMs + CATALOG_INTERVAL_MS;
    return { kind: 'catalog' };
  }

  private takeListPage(): Call | undefined {
    const page = this.nextPage;
    this.nextPage = undefined;
    return page;
  }

  private takeLaunch(): Call | undefined {
    const request = this.pendingLaunches.shift();
    return request && { kind: 'launch', request };
  }

  private takeListCall(nowMs: number): Call | undefined {
    if (nowMs < this.listDueMs) return undefined;
    this.listDueMs = nowMs + INSTANCE_LIST_INTERVAL_MS;
    return { kind: 'list', afterName: '', instances: [], requestedMs: nowMs, pageCount: 1 };
  }

  private startCall(call: Call): void {
    const complete = (response: HttpResponse | undefined): void =>
      this.send({ kind: 'callCompleted', call, response });
    this.sendRequest(call).then(complete, () => complete(undefined));
  }

  private sendRequest(call: Call): Promise<HttpResponse> {
    switch (call.kind) {
      case 'launch':
        return this.post(LAUNCH_TARGET, encodeLaunch(call.request));
      case 'terminate':
        return this.post(TERMINATE_TARGET, encodeTermination(call.names));
      case 'catalog':
        return this.get(CATALOG_TARGET);
      case 'list':
        return this.get(formatInstanceListTarget(call.afterName));
    }
  }

  private get(target: string): Promise<HttpResponse> {
    const { httpClient, address } = this.dependencies;
    return httpClient.call(address, 'GET', target, undefined, CLOUD_CALL_TIMEOUT_MS);
  }

  private post(target: string, body: unknown): Promise<HttpResponse> {
    const { httpClient, address } = this.dependencies;
    return httpClient.call(address, 'POST', target, formatJson(body), CLOUD_CALL_TIMEOUT_MS);
  }

  /** Handles the end of a call. `response` is undefined if the cloud did not respond. */
  private handleResponse(call: Call, response: HttpResponse | undefined): void {
    switch (call.kind) {
      case 'launch':
        return this.handleLaunchResponse(call.request, response);
      case 'terminate':
        return this.handleTerminationResponse([...call.names], response);
      case 'catalog':
        return this.handleCatalogResponse(response);
      case 'list':
        if (response?.status === 200) this.handleListPage(call, response.body);
    }
  }

  private handleLaunchResponse(request: LaunchRequest, response: HttpResponse | undefined): void {
    const { onEvent } = this.dependencies;
    if (response?.status === 200)
      onEvent({ kind: 'launched', request, names: decodeLaunchedNames(response.body) });
    else if (response?.status === 503 || response?.status === 400)
      onEvent({ kind: 'launchFailed', request, reason: decodeRefusalReason(response.body) });
    // The launch may have been carried out, or may still be. Only a request under the same name may be sent again,
    // because the cloud carries it out only once.
    else this.pendingLaunches.push(request);
  }

  private handleTerminationResponse(names: string[], response: HttpResponse | undefined): void {
    this.isTerminating = false;
    if (response?.status === 200) this.dependencies.onEvent({ kind: 'terminated', names });
    else this.requestTermination(names);
  }

  private handleCatalogResponse(response: HttpResponse | undefined): void {
    const { clock, onEvent } = this.dependencies;
    if (response?.status === 200) onEvent({ kind: 'catalog', instanceTypes: decodeCatalog(response.body) });
    else this.catalogDueMs = clock.steadyMs() + INSTANCE_LIST_INTERVAL_MS / 2;
  }

  private handleListPage(call: ListCall, body: string): void {
    const { rates, onEvent } = this.dependencies;
    const page = decodeInstancePage(body);
    const instances = [...call.instances, ...page.instances];
    const lastInstance = page.instances.at(-1);
    if (page.hasMore && lastInstance) {
      this.nextPage = { ...call, afterName: lastInstance.name, instances, pageCount: call.pageCount + 1 };
      return;
    }
    // The list of a large fleet takes many requests, but only a share of the rate is meant for the list.
    const minIntervalMs = (call.pageCount * 1000) / (rates.rps * rates.listShare);
    this.listDueMs = Math.max(this.listDueMs, call.requestedMs + minIntervalMs);
    onEvent({ kind: 'listed', instances, requestedMs: call.requestedMs });
  }
}
