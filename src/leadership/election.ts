import type { Logger } from 'pino';
import { Actor, type Clock } from '@pumicehinge/runtime';
import {
  PROMISE_ASK_MS,
  PROMISE_MS,
  HANDOVER_AFTER_MS,
  HANDOVER_PAUSE_MS,
  HANDOVER_TERM_MS,
  LEADER_TOUCH_MS,
  LEADER_TTL_MS,
  PEER_BEAT_MS,
  CANDIDACY_JITTER_MS,
  CANDIDACY_FAR_MS,
  STATE_CALL_MS,
  STATE_FAILING_MS,
} from '../constants.js';
import type { Row, StateClient, TxnResult } from '../state/client.js';
import type { Mirror } from '../state/mirror.js';
import {
  decodeJob,
  decodeLeader,
  encodeLeader,
  isCancelled,
  isJobKey,
  LEADER_KEY,
  TERM_KEY,
} from '../state/records.js';
import { isObject, type WireInt } from '../wire/json.js';
import { Authority } from './authority.js';
import type { LogPosition } from './cancellation-log.js';
import type { Knowledge } from './knowledge.js';
import { MachineZones } from './machine-zones.js';
import type { PeerMessage } from './peer-codec.js';
import { PeerPresence } from './peer-presence.js';
import type { Peer, PeerChannel } from './peers.js';
import { PromiseRound } from './promise-round.js';
import { Promiser } from './promiser.js';

/** A term that this controller holds. */
export interface Term {
  number: number;
  /** Stamp of the leader's key: condition of every write of this term. */
  stamp: WireInt;
  authority: Authority;
}

export interface ElectionEvents {
  elected(term: Term): void;
  lost(): void;
}

type Message =
  | { kind: 'tick' }
  | { kind: 'leaderChanged' }
  | { kind: 'candidacyEnded'; askedMs: number; hold: WireInt; number: number; result: TxnResult }
  | { kind: 'candidacyFailed' }
  | { kind: 'touched'; askedMs: number; hold: WireInt; alive: boolean }
  | { kind: 'touchFailed' }
  | { kind: 'peer'; member: string; message: PeerMessage }
  | { kind: 'resign' };

interface Leading {
  term: Term;
  hold: WireInt;
  touching: boolean;
  sinceMs: number;
}

/**
 * One leader at a time. Its key in the state service hangs on a lease; whoever finds the key gone raises the term
 * by a conditional write. While the state service answers nobody, the promises of all other controllers carry the
 * leader's authority on (docs/design.md argues why that is safe).
 */
export class Election extends Actor<Message> {
  private state: 'following' | 'candidate' | 'leading' = 'following';
  private leading: Leading | undefined;
  private nextCandidacyMs: number;
  private steppedDownUntilMs = -Infinity;
  private nextHandOverMs = -Infinity;
  private readonly presence: PeerPresence;
  private readonly promiser: Promiser;
  private askId = 0;
  private round: PromiseRound | undefined;
  /** How far each other controller's log has been taken into our copy. */
  private readonly logsRead = new Map<string, LogPosition>();

  constructor(
    private readonly self: { member: string; zone: string; delegates?: boolean },
    private readonly peers: Peer[],
    private readonly client: StateClient,
    private readonly mirror: Mirror,
    private readonly channel: PeerChannel,
    private readonly events: ElectionEvents,
    private readonly clock: Clock,
    private readonly random: () => number,
    private readonly knowledge: Knowledge,
    valueBytes: number,
    /** Steady ms at which this process began. */
    bornMs: number,
    log: Logger,
  ) {
    super(log);
    this.presence = new PeerPresence(peers, () => clock.steadyMs());
    this.promiser = new Promiser(
      {
        client,
        mirror,
        channel,
        nowMs: () => clock.steadyMs(),
        random,
        valueBytes,
        isFollowing: () => this.state === 'following',
      },
      peers.length > 0 ? bornMs : undefined,
    );
    this.nextCandidacyMs = this.promiser.boundUntilMs + this.candidacyDelayMs();
    mirror.onChange((change) => {
      this.promiser.noteChange(change);
      if (change.key === LEADER_KEY) this.send({ kind: 'leaderChanged' });
    });
    channel.onMessage((member, message) => this.send({ kind: 'peer', member, message }));
  }

  start(): void {
    const beat = (): void => {
      this.send({ kind: 'tick' });
      this.clock.after(this.beatMs(), beat);
    };
    beat();
    this.tellAble();
  }

  private tellAble(): void {
    const now = this.clock.steadyMs();
    const able = this.client.isServed && now >= this.steppedDownUntilMs;
    const leader = this.leader();
    const relays = leader !== undefined && this.presence.hears(leader) ? leader : null;
    for (const peer of this.peers) this.channel.send(peer.member, { kind: 'able', able, relays });
    this.clock.after(PEER_BEAT_MS, () => this.tellAble());
  }

  /** What is known of the other controllers. */
  get others(): PeerPresence {
    return this.presence;
  }

  /**
   * Whether this controller can do something for users. One that the state service does not serve can't, and says so
   * while another can, or while it hears of no other at all. In an outage that all share it stays healthy: a load
   * balancer that lost all controllers would bring them back only after a growing pause.
   */
  get isHealthy(): boolean {
    if (!this.mirror.isLoaded) return false;
    if (this.client.isServed || this.peers.length === 0) return true;
    return this.presence.hearsAnyone() && !this.presence.hearsAbleOne();
  }

  /** Whether there is surely no leader at this moment, so that one can be expected soon. */
  get isElecting(): boolean {
    return this.mirror.isLoaded && this.client.isServed && this.leader() === undefined;
  }

  /** Whether the leader that this controller knows of may be named to workers: not on stale knowledge. */
  get knowsLeader(): boolean {
    const leader = this.leader();
    return leader !== undefined && (this.client.isServed || this.presence.hears(leader));
  }

  /** The leader, if it is heard of and not this controller. */
  reachableLeader(): string | undefined {
    const leader = this.leader();
    return leader !== undefined && leader !== this.self.member && this.presence.hears(leader)
      ? leader
      : undefined;
  }

  /** The controllers of a zone that take reports for the leader, or lead; in a fixed order. */
  reportTargets(zone: string): string[] {
    const leader = this.leader();
    return leader === undefined ? [] : this.presence.reportTargets(zone, leader);
  }

  /** Whether another zone has controllers and none of them was heard of lately. */
  zoneSilent(zone: string): boolean {
    return zone !== this.self.zone && this.presence.isZoneSilent(zone);
  }

  private beatMs(): number {
    if (this.state !== 'leading') return CANDIDACY_JITTER_MS;
    return this.client.failing ? PROMISE_ASK_MS : LEADER_TOUCH_MS;
  }

  /** Who leads as far as this controller knows. */
  leader(): string | undefined {
    return decodeLeader(this.mirror.get(LEADER_KEY)?.value)?.member;
  }

  private leaderValue(term: number): unknown {
    const { member, delegates = false } = this.self;
    return encodeLeader({ member, term, delegates });
  }

  holdsTerm(term: Term): boolean {
    return this.leading?.term === term;
  }

  resign(): void {
    this.send({ kind: 'resign' });
  }

  protected receive(message: Message): void {
    switch (message.kind) {
      case 'tick':
        if (this.state === 'leading') this.renew();
        else this.maybeBecomeCandidate();
        if (this.state === 'leading') this.maybeHandOver();
        return;
      case 'leaderChanged':
        return this.onLeaderChanged();
      case 'candidacyEnded':
        return this.onCandidacyEnded(message);
      case 'candidacyFailed':
        return this.follow(STATE_FAILING_MS);
      case 'touched':
        return this.onTouched(message);
      case 'touchFailed':
        if (this.leading) this.leading.touching = false;
        return;
      case 'peer':
        return this.onPeer(message.member, message.message);
      case 'resign':
        if (!this.leading) return;
        this.lose('resigned');
        // Others first: what made us resign may still be there.
        this.stepDown();
    }
  }

  private follow(pauseMs: number): void {
    this.state = 'following';
    this.nextCandidacyMs = this.clock.steadyMs() + pauseMs * (0.5 + this.random());
  }

  private onLeaderChanged(): void {
    if (this.state === 'leading') {
      const row = this.mirror.get(LEADER_KEY);
      if (row?.stamp !== this.leading!.term.stamp) this.lose('another leads');
      return;
    }
    if (this.state === 'following' && !this.mirror.get(LEADER_KEY)) {
      const soonMs = this.clock.steadyMs() + this.candidacyDelayMs() + this.random() * CANDIDACY_JITTER_MS;
      this.nextCandidacyMs = Math.max(soonMs, this.steppedDownUntilMs);
      this.clock.after(this.nextCandidacyMs - this.clock.steadyMs() + 1, () => this.send({ kind: 'tick' }));
    }
  }

  private candidacyDelayMs(): number {
    return MachineZones.read(this.mirror).isFar(this.self.zone) ? CANDIDACY_FAR_MS : 0;
  }

  /** A leader far from the machines makes way for a controller among them that is heard of. */
  private maybeHandOver(): void {
    const now = this.clock.steadyMs();
    // Seldom, and only to one that says it could lead: a peer may be heard that the state service does not serve.
    if (now - this.leading!.sinceMs < HANDOVER_TERM_MS || now < this.nextHandOverMs || this.client.failing)
      return;
    const machines = MachineZones.read(this.mirror);
    if (!machines.isFar(this.self.zone)) return;
    const better = this.peers.find(
      ({ member, zone }) => this.presence.isReadyToLead(member, HANDOVER_AFTER_MS) && !machines.isFar(zone),
    );
    if (!better) return;
    this.nextHandOverMs = now + HANDOVER_PAUSE_MS;
    this.lose('handing over to a better placed controller');
    this.stepDown();
  }

  private stepDown(): void {
    this.steppedDownUntilMs = this.clock.steadyMs() + HANDOVER_AFTER_MS;
    this.nextCandidacyMs = this.steppedDownUntilMs;
  }

  private maybeBecomeCandidate(): void {
    const now = this.clock.steadyMs();
    if (this.state !== 'following' || !this.mirror.isLoaded || now < this.nextCandidacyMs) return;
    const row = this.mirror.get(LEADER_KEY);
    if (row) {
      // A key that names us while we don't lead is our former self's, or a candidacy that was applied late.
      // That process or attempt is surely over, so nobody has to wait for its lease to run out.
      if (this.leader() === this.self.member) {
        this.nextCandidacyMs = now + STATE_CALL_MS;
        void this.client.multi(
          [{ key: LEADER_KEY, stamp: row.stamp }],
          [{ key: LEADER_KEY, value: undefined }],
        );
      }
      return;
    }
    if (now < this.promiser.boundUntilMs) return;
    this.state = 'candidate';
    void this.campaign();
  }

  private async campaign(): Promise<void> {
    try {
      const known = this.mirror.get(TERM_KEY);
      const number = (isObject(known?.value) ? Number(known.value.term) : 0) + 1;
      const askedMs = this.clock.steadyMs();
      const hold = await this.client.lease(LEADER_TTL_MS);
      const result = await this.client.multi(
        [
          { key: LEADER_KEY, stamp: 0 },
          { key: TERM_KEY, stamp: known?.stamp ?? 0 },
        ],
        [
          { key: LEADER_KEY, value: this.leaderValue(number), hold },
          { key: TERM_KEY, value: { term: number } },
        ],
      );
      this.send({ kind: 'candidacyEnded', askedMs, hold, number, result });
    } catch (error) {
      this.log.info({ err: error }, 'candidacy failed');
      this.send({ kind: 'candidacyFailed' });
    }
  }

  private onCandidacyEnded({
    askedMs,
    hold,
    number,
    result,
  }: Extract<Message, { kind: 'candidacyEnded' }>): void {
    if (result.outcome !== 'applied') {
      // An unclear stand may still be applied: nobody ever acts on it, and ending its lease removes it.
      void this.client.endLease(hold).catch(() => undefined);
      this.follow(CANDIDACY_JITTER_MS);
      return;
    }
    const authority = new Authority();
    authority.renewed(askedMs, LEADER_TTL_MS);
    this.state = 'leading';
    this.leading = {
      term: { number, stamp: result.epoch, authority },
      hold,
      touching: false,
      sinceMs: this.clock.steadyMs(),
    };
    this.mirror.confirm(LEADER_KEY, this.leaderValue(number), result.epoch);
    this.mirror.confirm(TERM_KEY, { term: number }, result.epoch);
    this.client.setLeading(true);
    this.log.info({ term: number }, 'leading');
    this.events.elected(this.leading.term);
  }

  private renew(): void {
    const leading = this.leading!;
    const now = this.clock.steadyMs();
    if (!leading.touching) {
      leading.touching = true;
      this.client.touch(leading.hold, LEADER_TTL_MS / 2).then(
        (alive) => this.send({ kind: 'touched', askedMs: now, hold: leading.hold, alive }),
        () => this.send({ kind: 'touchFailed' }),
      );
    }
    if (this.client.failing) this.askPromises(now);
  }

  private askPromises(now: number): void {
    const id = ++this.askId;
    const others = this.peers.map((peer) => peer.member);
    this.round = new PromiseRound(id, now, others);
    const term = this.leading!.term.number;
    const since = this.mirror.completeTo;
    for (const member of others)
      this.channel.send(member, { kind: 'ask', id, term, since, read: this.logsRead.get(member) });
  }

  private onTouched({ askedMs, hold, alive }: Extract<Message, { kind: 'touched' }>): void {
    if (!this.leading || this.leading.hold !== hold) return;
    this.leading.touching = false;
    if (alive) this.leading.term.authority.renewed(askedMs, LEADER_TTL_MS);
    else this.lose('lease ended');
  }

  private lose(reason: string): void {
    const { term, hold } = this.leading!;
    term.authority.ended();
    this.client.setLeading(false);
    this.leading = undefined;
    this.round = undefined;
    this.log.info({ term: term.number, reason }, 'no longer leading');
    this.follow(CANDIDACY_JITTER_MS);
    void this.client.endLease(hold).catch(() => undefined);
    this.events.lost();
  }

  private onPeer(member: string, message: PeerMessage): void {
    this.presence.noteMessage(member);
    switch (message.kind) {
      case 'able':
        return this.presence.noteAbility(member, message);
      case 'ask':
        return this.promiser.answer(member, message);
      case 'cancellations':
        return this.onCancellations(member, message);
      case 'promise':
        return this.onPromise(member, message);
    }
  }

  private onCancellations(
    member: string,
    { id, term, rows }: Extract<PeerMessage, { kind: 'cancellations' }>,
  ): void {
    const round = this.currentRound(id, term);
    if (!round || !rows.every(isCancelledJob)) return;
    for (const row of rows) this.mirror.learn(row);
    this.learnFrom(round, member, round.takeCancellations(member));
  }

  private onPromise(member: string, message: Extract<PeerMessage, { kind: 'promise' }>): void {
    const round = this.currentRound(message.id, message.term);
    if (!round || !message.given) return;
    if (round.takePromise(member))
      this.leading!.term.authority.extended(round.askedMs, PROMISE_MS, this.clock.steadyMs());
    this.learnFrom(round, member, round.takeExtent(member, message.informs));
  }

  /** A late one to a former process of ours, which led an earlier term, may bear the same number. */
  private currentRound(id: number, term: number): PromiseRound | undefined {
    return this.leading?.term.number === term && this.round?.id === id ? this.round : undefined;
  }

  /** A promise informs us only once all that belongs to it is in our copy. */
  private learnFrom(round: PromiseRound, member: string, completeTo: LogPosition | undefined): void {
    if (completeTo === undefined) return;
    this.logsRead.set(member, completeTo);
    if (round.takeInformed(member)) this.knowledge.learned(round.askedMs);
  }
}

function isCancelledJob(row: Row): boolean {
  return isJobKey(row.key) && isCancelled(row.value) && decodeJob(row.value) !== undefined;
}
