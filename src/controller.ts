import type { Logger } from 'pino';
import { Duties } from '@pumicehinge/duties';
import type { Clock } from '@pumicehinge/runtime';
import {
  CLOUD_RATE_USED,
  DELEGATED_CLOUD_SHARES,
  PEER_BEAT_MS,
  RELAY_FRESH_MS,
  STATE_RETRY_MS,
  WAITING_REPORTS_SHARE,
} from './constants.js';
import { CloudCalls } from './duties/cloud-actions.js';
import { ControllerDutyStore } from './duties/duty-store.js';
import { leaderView } from './duties/leader-view.js';
import { removableRows } from './duties/removable-rows.js';
import { readReport, type Report } from './fleet/codec.js';
import { UserApi } from './user-api/user-api.js';
import type { HttpCaller, HttpRequest, Respond } from './http/message.js';
import { Deputy } from './leadership/deputy.js';
import { Election, type Term } from './leadership/election.js';
import { Leader } from './leadership/leader.js';
import { LeaderRelief } from './leadership/leader-relief.js';
import { answerWithinMs, Knowledge } from './leadership/knowledge.js';
import type { PeerChannel } from './leadership/peers.js';
import { Relay } from './leadership/relay.js';
import { Dependencies } from './pipeline/dependencies.js';
import { MemoryGuard } from './memory-guard.js';
import type { Settings } from './settings.js';
import { shareMemory } from './sizing.js';
import { StateClient } from './state/client.js';
import { Mirror } from './state/mirror.js';
import { isJobKey, jobKey, keyId, PREFIX, storedMember } from './state/records.js';
import { Writer } from './state/writer.js';

/** What a controller needs of the world; the program gives it sockets, the tests a simulation. */
export interface World {
  settings: Settings;
  clock: Clock;
  random: () => number;
  /** Steady ms at which this process began. */
  bornMs: number;
  /** Bytes of heap and buffers in use. */
  memoryUsedBytes: () => number;
  /** For the state service and the cloud. */
  caller: HttpCaller;
  /** For the workers. */
  workerCaller: HttpCaller;
  peers: PeerChannel;
  log: Logger;
}

/** One controller: the users' interface, and the leader while it holds a term. */
export class Controller {
  private readonly mirror: Mirror;
  private readonly writer: Writer;
  private readonly election: Election;
  private readonly knowledge: Knowledge;
  private readonly dependencies: Dependencies;
  private readonly client: StateClient;
  private readonly deputy: Deputy;
  private readonly userApi: UserApi;
  private readonly memory: MemoryGuard;
  private readonly relay: Relay;
  private readonly duties: Duties | undefined;
  private leader: Leader | undefined;
  private relief: LeaderRelief | undefined;
  private counts: Record<string, number> = {};

  constructor(private readonly world: World) {
    const { settings, clock, caller, log, peers } = world;
    const client = (this.client = new StateClient(
      caller,
      settings.stateAddress,
      clock,
      settings.state,
      settings.controllers,
    ));
    this.mirror = new Mirror(client, PREFIX, clock, log);
    this.knowledge = new Knowledge(answerWithinMs(settings.cancelS, settings.leaseS));
    const valueOf = (key: string): unknown => this.mirror.get(key)?.value;
    this.dependencies = new Dependencies((uid) => storedMember(valueOf(jobKey(uid)), valueOf));
    // Before all others that look at jobs.
    this.mirror.onChange(({ key, value }) => {
      const member = isJobKey(key) ? storedMember(value, valueOf) : undefined;
      if (member) this.dependencies.update(keyId(key), member);
    });
    this.mirror.onRead((askedMs) => this.knowledge.learned(askedMs));
    this.writer = new Writer(client, this.mirror, clock, log);
    this.election = new Election(
      { member: settings.member, zone: settings.zone, delegates: settings.operator.duties.enabled },
      settings.peers,
      client,
      this.mirror,
      peers,
      { elected: (term) => void this.lead(term), lost: () => this.dropLeader() },
      clock,
      world.random,
      this.knowledge,
      settings.state.valueBytes,
      world.bornMs,
      log,
    );
    if (settings.operator.duties.enabled) this.duties = this.createDuties();
    this.deputy = new Deputy({
      member: settings.member,
      valueBytes: settings.state.valueBytes,
      mirror: this.mirror,
      writer: this.writer,
      clock,
      log,
      refuses: (member) => peers.refuses(member),
      heardMs: (member) => this.election.others.heardOfMs(member),
    });
    const { shedAbove } = shareMemory(settings.memoryBytes, settings.peers.length);
    this.memory = new MemoryGuard(clock, world.memoryUsedBytes, shedAbove, log);
    this.userApi = new UserApi({
      teams: settings.teams,
      mirror: this.mirror,
      dependencies: this.dependencies,
      limits: settings.state,
      random: world.random,
      writer: this.writer,
      clock,
      log,
      running: (uid) => this.counts[uid] ?? 0,
      isServed: () => client.isServed,
      isHealthy: () => this.election.isHealthy,
      isShortOfMemory: () => this.memory.isShort,
      report: (report, body, respond) => this.takeReport(report, body, respond),
    });
    this.relay = new Relay({
      clock,
      channel: peers,
      log,
      random: world.random,
      mostWaiting: Math.ceil(settings.sockets.forClients * WAITING_REPORTS_SHARE),
      leader: () => this.election.reachableLeader(),
      refusingLeader: () => {
        const leader = this.election.knowsLeader ? this.election.leader() : undefined;
        return leader !== undefined && peers.refuses(leader) ? leader : undefined;
      },
      elsewhere: (body, respond) => {
        const taker = this.leader ?? (this.deputy.wants() ? this.deputy : undefined);
        const report = taker && readReport(body);
        if (report) taker.send({ kind: 'report', report, respond, via: settings.member, heldMs: 0 });
        return report !== undefined;
      },
    });
    peers.onMessage((member, message) => {
      if (message.kind === 'relay') this.takeRelayed(member, message.id, message.body);
    });
    peers.onMessage((_member, message) => {
      if (message.kind === 'counts' && !this.leader) this.counts = message.running;
    });
    this.mirror.onChange((change) => this.leader?.send({ kind: 'changed', change }));
  }

  start(): void {
    void this.mirror.run();
    this.election.start();
    this.deputy.start();
    this.memory.start();
    this.duties?.start();
    this.shareCounts();
  }

  handle(request: HttpRequest, respond: Respond): void {
    this.userApi.handle(request, respond);
  }

  /** An error nobody caught: the leader is given up and built anew from the state service. */
  recover(): void {
    this.election.resign();
  }

  private createDuties(): Duties {
    const { settings, clock, random, log, caller } = this.world;
    const { mirror, writer, client } = this;
    const usableRps = settings.cloud.rps * CLOUD_RATE_USED;
    const { rent, return: returning, reclaim } = DELEGATED_CLOUD_SHARES;
    return new Duties({
      member: settings.member,
      store: new ControllerDutyStore(mirror, writer, client),
      cloud: new CloudCalls(caller, settings.cloudAddress),
      leader: () => leaderView(mirror),
      removable: (most) => removableRows(mirror, most),
      txnOps: settings.state.txnOps,
      cloudRps: { rent: usableRps * rent, return: usableRps * returning, reclaim: usableRps * reclaim },
      ...{ clock, random, log },
    });
  }

  private async lead(term: Term): Promise<void> {
    // Everything that earlier terms wrote must be seen before anything is decided.
    for (;;) {
      try {
        await this.mirror.sync();
        break;
      } catch {
        await new Promise<void>((resolve) => this.world.clock.after(STATE_RETRY_MS, resolve));
      }
    }
    if (!this.election.holdsTerm(term)) return;
    const { settings, clock, log } = this.world;
    this.relief = new LeaderRelief(clock.steadyMs());
    this.leader = new Leader({
      settings,
      term,
      knowledge: this.knowledge,
      dependencies: this.dependencies,
      isServed: () => !this.client.failing,
      mirror: this.mirror,
      writer: this.writer,
      caller: this.world.caller,
      workerCaller: this.world.workerCaller,
      clock,
      log,
      duties: this.duties,
      onFailure: () => this.election.resign(),
      zoneSilent: (zone) => this.election.zoneSilent(zone),
    });
  }

  /** Workers are taken in their own zone: there they stay when zones are cut from each other. */
  private takeReport(report: Report, body: string, respond: Respond): true | string | undefined {
    const near = this.betterTargets(report);
    // Another each time: the one named before may be out of the worker's reach.
    if (near.length > 0) return near[(spread(report.node) + Number(report.tick)) % near.length];
    if (this.leader) {
      this.leader.send({ kind: 'report', report, respond, via: this.world.settings.member, heldMs: 0 });
      return true;
    }
    if (this.deputy.wants()) {
      this.deputy.send({ kind: 'report', report, respond });
      return true;
    }
    const leader = this.election.knowsLeader ? this.election.leader() : undefined;
    if (leader === undefined && !this.election.isElecting) return undefined;
    if (leader !== undefined && this.world.peers.refuses(leader)) return leader;
    // While there is no leader the relay keeps the report for a moment: a worker sent on loses a second each time, and
    // its lease runs. One that leads but is not ready yet is waited for likewise.
    this.relay.send({ kind: 'report', body, respond });
    return true;
  }

  /** Who had better take the report: controllers of its own zone, and there rather a relay than a busy leader. */
  private betterTargets({ zone, node }: Report): string[] {
    const targets = this.election.reportTargets(zone);
    if (zone !== this.world.settings.zone) return targets;
    return this.relief?.sendsOn(node, targets.length, this.world.clock.steadyMs()) ? targets : [];
  }

  private takeRelayed(member: string, id: number, body: string): void {
    const respond: Respond = (response) =>
      this.world.peers.send(member, { kind: 'relayed', id, status: response.status, body: response.body });
    const report = this.leader && readReport(body);
    if (report) this.leader!.send({ kind: 'report', report, respond, via: member, heldMs: RELAY_FRESH_MS });
    else respond({ status: 503, body: '{}' });
  }

  private dropLeader(): void {
    this.leader?.stop();
    this.leader = undefined;
    this.relief = undefined;
  }

  private shareCounts(): void {
    if (this.leader) {
      this.counts = this.leader.runningCounts();
      for (const peer of this.world.settings.peers)
        this.world.peers.send(peer.member, { kind: 'counts', running: this.counts });
    }
    this.world.clock.after(PEER_BEAT_MS, () => this.shareCounts());
  }
}

/** A number that spreads machines evenly over the controllers of their zone. */
function spread(name: string): number {
  let sum = 0;
  for (let i = 0; i < name.length; i++) sum = (sum * 31 + name.charCodeAt(i)) >>> 0;
  return sum;
}
