/**
 * A simulated network. It carries the HTTP requests and the peer messages of a `SimulatedDeployment`. Tests and
 * scripts inject faults into it, such as partitions, paused hosts, and lost, late or duplicated messages.
 */
import { HttpCallError, type HttpClient, type HttpResponse } from '../http/message.js';
import type { PeerMessage } from '../peers/peer-messages.js';
import type { PeerTransport } from '../peers/peer-transport.js';
import type { SimulatedClock } from '@pumicehinge/runtime/simulated-clock';
import { NO_OBSERVER, type ObservedRequest, type TrafficObserver } from './traffic-observer.js';

/** Handles a request that arrives at a simulated host. Resolves to undefined if the caller gets no answer. */
export type SimulatedHandler = (
  from: string,
  method: string,
  target: string,
  body: string | undefined,
) => Promise<HttpResponse | undefined>;

/** A broken link in one direction, with the deliveries that wait for it to heal. */
interface Partition {
  from: string;
  to: string;
  heldMessages: (() => void)[];
}

/** Which executed requests arrive once more, and when. */
export interface ExecutedRequestCopies {
  /** Whether the request is copied. It is asked once for each request that was answered with status 200. */
  readonly select: (request: ObservedRequest) => boolean;
  /**
   * Draws the times in milliseconds from the answer until each copy arrives. A copy with the time Infinity is held until
   * `releaseHeldCopies`.
   */
  readonly drawDelaysMs: () => readonly number[];
}

const formatLink = (from: string, to: string): string => `${from} > ${to}`;

/** Carries messages between named hosts. A partition holds messages back and delivers them in order when it heals. */
export class SimulatedNetwork {
  private readonly handlers = new Map<string, SimulatedHandler>();
  /** Active partitions, by the sender and receiver of the link. */
  private readonly partitions = new Map<string, Partition>();
  private readonly zonesByHost = new Map<string, string>();
  private areZonesPartitioned = false;
  /** Hosts to which nothing is delivered, while their own messages arrive. */
  private readonly hostsWithoutInbound = new Set<string>();
  /** For each host whose requests are duplicated, a function that draws the delay of a duplicate in milliseconds. */
  private readonly duplicateDelays = new Map<string, () => number>();
  /** Which executed requests are copied. Undefined if none is. */
  private executedRequestCopies: ExecutedRequestCopies | undefined;
  /** Copies of executed requests that wait for `releaseHeldCopies`. */
  private heldCopies: ObservedRequest[] = [];
  private deliveredCopies = 0;
  /** Hosts whose own requests are lost, while requests to them arrive and are answered. */
  private readonly hostsWithoutOwnRequests = new Set<string>();
  private readonly hostsByAddress = new Map<string, string>();
  /** Paused hosts, with the actions to run when they resume. */
  private readonly pausedHostActions = new Map<string, (() => void)[]>();
  /** Hosts whose outbound messages are held back, with those messages. */
  private readonly heldOutboundMessages = new Map<string, (() => void)[]>();

  constructor(
    private readonly clock: SimulatedClock,
    private readonly random: () => number,
    /** Receives every message. */
    readonly observer: TrafficObserver = NO_OBSERVER,
  ) {}

  /** Registers the handler of a host and the address at which it is reached. */
  attach(host: string, address: string, handler: SimulatedHandler): void {
    this.handlers.set(host, handler);
    this.hostsByAddress.set(address, host);
  }

  /** Removes a host. Requests to it are refused. */
  detach(host: string): void {
    this.handlers.delete(host);
  }

  /** Breaks the link between two hosts in both directions. */
  partition(a: string, b: string): void {
    this.addPartition(a, b);
    this.addPartition(b, a);
  }

  /**
   * Drops what partitions hold back on its way to the host. The host has restarted, and a new process has none of the
   * connections of the former one.
   */
  dropHeldRequests(host: string): void {
    for (const partition of this.partitions.values())
      if (partition.to === host) partition.heldMessages.length = 0;
  }

  /** Drops everything that is sent to the host, responses included. The host's own messages still arrive. */
  dropInbound(host: string): void {
    this.hostsWithoutInbound.add(host);
  }

  /** Drops the host's own requests. Requests to the host still arrive and are answered. */
  dropOwnRequests(host: string): void {
    this.hostsWithoutOwnRequests.add(host);
  }

  /** Delivers a duplicate of each request of the host, after a delay that `drawDelayMs` draws. */
  duplicateRequests(host: string, drawDelayMs: () => number): void {
    this.duplicateDelays.set(host, drawDelayMs);
  }

  /**
   * From now on, copies of each selected request that was executed and answered with status 200 arrive late. They reach
   * whatever process runs on the host by then, and nobody receives their answers. Replaces what an earlier call selected.
   */
  copyExecutedRequests(copies: ExecutedRequestCopies): void {
    this.executedRequestCopies = copies;
  }

  /** Delivers the copies of executed requests that are held. */
  releaseHeldCopies(): void {
    const copies = this.heldCopies;
    this.heldCopies = [];
    for (const request of copies) this.deliverCopy(request);
  }

  /** Number of copies of executed requests that have arrived at a host. */
  get deliveredCopyCount(): number {
    return this.deliveredCopies;
  }

  private copyIfSelected(request: ObservedRequest): void {
    const copies = this.executedRequestCopies;
    if (!copies?.select(request)) return;
    for (const delayMs of copies.drawDelaysMs()) {
      if (delayMs === Infinity) this.heldCopies.push(request);
      else this.clock.setTimer(delayMs, () => this.deliverCopy(request));
    }
  }

  private deliverCopy(request: ObservedRequest): void {
    const { from, to, method, target, body } = request;
    this.runOnHost(to, () => {
      const handler = this.handlers.get(to);
      if (!handler) return;
      this.deliveredCopies++;
      void handler(from, method, target, body);
    });
  }

  /** Holds back everything that the host sends from now on, until `resumeHost`. */
  holdOutbound(host: string): void {
    if (!this.heldOutboundMessages.has(host)) this.heldOutboundMessages.set(host, []);
  }

  /** Pauses the host. Its clock runs on, and arriving messages and due timers wait. */
  pauseHost(host: string): void {
    if (!this.pausedHostActions.has(host)) this.pausedHostActions.set(host, []);
  }

  /** Resumes the host. Everything that waited happens without further delay, and messages held back are sent. */
  resumeHost(host: string): void {
    const pendingActions = [
      this.pausedHostActions.get(host) ?? [],
      this.heldOutboundMessages.get(host) ?? [],
    ].flat();
    this.pausedHostActions.delete(host);
    this.heldOutboundMessages.delete(host);
    for (const run of pendingActions) this.clock.setTimer(1 + this.random() * 3, run);
  }

  /** Runs an action on a host, after the end of its pause if it is paused. */
  runOnHost(host: string, run: () => void): void {
    const pendingActions = this.pausedHostActions.get(host);
    if (pendingActions) pendingActions.push(run);
    else run();
  }

  /** Assigns a host to a zone. */
  setZone(host: string, zone: string): void {
    this.zonesByHost.set(host, zone);
  }

  /** Partitions all zones from each other. Hosts without a zone stay reachable. */
  partitionZones(): void {
    this.areZonesPartitioned = true;
  }

  private findPartition(from: string, to: string): Partition | undefined {
    const existing = this.partitions.get(formatLink(from, to));
    if (existing || !this.areZonesPartitioned) return existing;
    const [a, b] = [this.zonesByHost.get(from), this.zonesByHost.get(to)];
    if (a === undefined || b === undefined || a === b) return undefined;
    return this.addPartition(from, to);
  }

  private addPartition(from: string, to: string): Partition {
    const existing = this.partitions.get(formatLink(from, to));
    if (existing) return existing;
    const partition: Partition = { from, to, heldMessages: [] };
    this.partitions.set(formatLink(from, to), partition);
    return partition;
  }

  /** Heals all partitions, delivers the messages that they held back, and stops dropping messages. */
  heal(): void {
    this.areZonesPartitioned = false;
    this.hostsWithoutInbound.clear();
    this.hostsWithoutOwnRequests.clear();
    const partitions = [...this.partitions.values()];
    this.partitions.clear();
    for (const partition of partitions)
      for (const deliver of partition.heldMessages) this.clock.setTimer(1, deliver);
  }

  /** Delivers a message after a random delay, unless a fault drops it or holds it back. */
  deliver(from: string, to: string, run: () => void): void {
    if (this.hostsWithoutInbound.has(to)) return;
    const partition = this.findPartition(from, to);
    const heldMessages = partition?.heldMessages ?? this.heldOutboundMessages.get(from);
    if (heldMessages) heldMessages.push(run);
    else this.clock.setTimer(1 + this.random() * 3, () => this.runOnHost(to, run));
  }

  /** Creates an HTTP client of a host. Responses are ignored once `isAlive` returns false. */
  createHttpClient(from: string, isAlive: () => boolean): HttpClient {
    return {
      call: (address, method, target, body, timeoutMs) =>
        new Promise((resolve, reject) => {
          const to = this.hostsByAddress.get(address) ?? address;
          const request: ObservedRequest = { from, to, method, target, body };
          let isSettled = false;
          const settleOnce = (run: () => void): void => {
            if (isSettled || !isAlive()) return;
            isSettled = true;
            run();
          };
          this.clock.setTimer(timeoutMs, () =>
            this.runOnHost(from, () =>
              settleOnce(() => {
                this.observer.callFailed(request, 'timed out');
                reject(new HttpCallError('unclear', 'timed out'));
              }),
            ),
          );
          this.observer.requestSent(request);
          if (this.hostsWithoutOwnRequests.has(from)) return;
          const drawDelayMs = this.duplicateDelays.get(from);
          if (drawDelayMs)
            this.clock.setTimer(
              drawDelayMs(),
              () => void this.handlers.get(to)?.(from, method, target, body),
            );
          this.deliver(from, to, () => {
            const handler = this.handlers.get(to);
            if (!handler) {
              settleOnce(() => {
                this.observer.callFailed(request, 'refused');
                reject(new HttpCallError('unsent', 'refused'));
              });
              return;
            }
            this.observer.requestArrived(request);
            void handler(from, method, target, body).then((response) => {
              if (!response) return;
              if (response.status === 200) this.copyIfSelected(request);
              this.deliver(to, from, () =>
                settleOnce(() => {
                  this.observer.responseArrived(request, response.status, response.body);
                  resolve(response);
                }),
              );
            });
          });
        }),
    };
  }
}

/** The message as the version without forwarding of cancellations would send it. Undefined if it would send none. */
function toFormerVersion(message: PeerMessage): PeerMessage | undefined {
  if (message.kind === 'cancellations') return undefined;
  if (message.kind === 'leaseVoteRequest')
    return { kind: 'leaseVoteRequest', round: message.round, term: message.term };
  if (message.kind !== 'leaseVote') return message;
  return { kind: 'leaseVote', round: message.round, term: message.term, isGranted: message.isGranted };
}

/** Carries messages between controllers over the simulated network. */
export class SimulatedPeerNetwork {
  private readonly listeners = new Map<string, (member: string, message: PeerMessage) => void>();
  /** Controllers that send only what the version without forwarding of cancellations sends. */
  readonly formerVersionMembers = new Set<string>();

  constructor(private readonly network: SimulatedNetwork) {}

  /** Creates the transport of a controller's process. */
  createTransport(member: string, isAlive: () => boolean): PeerTransport {
    const ownListeners: ((member: string, message: PeerMessage) => void)[] = [];
    this.listeners.set(member, (from, message) => {
      if (isAlive()) for (const listener of ownListeners) listener(from, message);
    });
    return {
      send: (to, message) => {
        const sent = this.formerVersionMembers.has(member) ? toFormerVersion(message) : message;
        if (isAlive() && sent) {
          this.network.observer.peerMessageSent(member, to, sent);
          this.network.deliver(member, to, () => this.listeners.get(to)?.(member, sent));
        }
        return true;
      },
      refusesConnections: () => false,
      onMessage: (listener) => ownListeners.push(listener),
    };
  }
}
