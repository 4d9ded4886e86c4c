import {
  CLOCK_DRIFT,
  LOG_NUMBERS,
  PEER_FRAME_BYTES,
  PROBE_MS,
  PROMISE_MARGIN_MS,
  PROMISE_MS,
  ROW_EXTRA_BYTES,
  STATE_FAILING_MS,
} from '../constants.js';
import type { Change, StateClient } from '../state/client.js';
import type { Mirror } from '../state/mirror.js';
import { isCancelled, isJobKey, TERM_KEY } from '../state/records.js';
import { isObject, type WireInt } from '../wire/json.js';
import { CancellationLog, type LogPosition } from './cancellation-log.js';
import type { PeerMessage } from './peer-codec.js';
import type { PeerChannel } from './peers.js';

/** A leader's request for a promise. */
type PromiseRequest = Extract<PeerMessage, { kind: 'ask' }>;

/** What the giving of promises needs of its controller. */
export interface PromiserDeps {
  client: Pick<StateClient, 'failing' | 'lastServedMs'>;
  mirror: Mirror;
  channel: PeerChannel;
  nowMs: () => number;
  /** From 0 to 1. */
  random: () => number;
  /** Bytes of a value in the state service. */
  valueBytes: number;
  /** Whether this controller neither leads nor is a candidate. */
  isFollowing: () => boolean;
}

/**
 * Promises a leader that the state service does not serve not to become a candidate for a while, and passes on the
 * cancellations that the leader lacks.
 */
export class Promiser {
  /** Steady ms until which this controller is bound. */
  private untilMs: number;
  /** Steady ms since when the state service is asked whether it serves us; undefined: it is not. */
  private probingMs: number | undefined;
  /** The cancelled jobs in our copy. */
  private readonly cancellations: CancellationLog;
  private readonly rowsPerMessage: number;

  constructor(
    private readonly deps: PromiserDeps,
    /** Steady ms at which a former process of this controller was surely over; undefined: it could promise nobody. */
    bornMs: number | undefined,
  ) {
    // A restarted controller does not know what its former self promised: it waits the longest promise out,
    // counted from when this process began.
    this.untilMs = bornMs === undefined ? deps.nowMs() : endOfPromise(bornMs);
    this.cancellations = new CancellationLog(Math.floor(deps.random() * LOG_NUMBERS));
    const rowBytes = deps.valueBytes + ROW_EXTRA_BYTES;
    this.rowsPerMessage = Math.max(1, Math.floor(PEER_FRAME_BYTES / 4 / rowBytes));
  }

  /** Until when this controller must not become a candidate. */
  get boundUntilMs(): number {
    return this.untilMs;
  }

  /** Takes note of each change of our copy. */
  noteChange({ key, value, stamp }: Change): void {
    if (isJobKey(key) && isCancelled(value)) this.cancellations.note(key, stamp);
  }

  /** Answers a leader's request. */
  answer(member: string, request: PromiseRequest): void {
    const { id, term } = request;
    if (!this.mayPromise(term)) {
      this.deps.channel.send(member, { kind: 'promise', id, term, given: false });
      return;
    }
    this.untilMs = Math.max(this.untilMs, endOfPromise(this.deps.nowMs()));
    const informs = this.inform(member, request);
    this.deps.channel.send(member, { kind: 'promise', id, term, given: true, informs });
  }

  /**
   * Passes on the cancellations that an asking leader lacks. Who does not know can't: a process whose copy is not
   * loaded could miss what its former self confirmed to users.
   */
  private inform(
    member: string,
    { id, term, since, read }: PromiseRequest,
  ): { parts: number; at: LogPosition } | undefined {
    const { mirror, channel } = this.deps;
    const keys = this.lackingKeys(since, read);
    if (!keys || !mirror.isLoaded) return undefined;
    const rows = keys.map((key) => mirror.get(key)).filter((row) => row !== undefined);
    let parts = 0;
    for (let from = 0; from < rows.length; from += this.rowsPerMessage, parts++) {
      const part = rows.slice(from, from + this.rowsPerMessage);
      channel.send(member, { kind: 'cancellations', id, term, rows: part });
    }
    return { parts, at: this.cancellations.position };
  }

  private lackingKeys(since: WireInt | undefined, read: LogPosition | undefined): string[] | undefined {
    return since === undefined ? undefined : this.cancellations.after(read, since);
  }

  /** Only who is not served either: with one that is, the leader alone is cut off and must make way. */
  private mayPromise(term: number): boolean {
    const { client, mirror } = this.deps;
    if (!this.deps.isFollowing()) return false;
    const known = mirror.get(TERM_KEY)?.value;
    if (isObject(known) && Number(known.term) > term) return false;
    if (client.failing) return true;
    const now = this.deps.nowMs();
    if (now - client.lastServedMs <= STATE_FAILING_MS) return false;
    // Its watch may only have had nothing to tell: it asks, and promises if that gets no answer either.
    if (this.probingMs === undefined) {
      this.probingMs = now;
      const end = (): void => {
        this.probingMs = undefined;
      };
      mirror.sync().then(end, end);
    }
    return now - this.probingMs > PROBE_MS;
  }
}

/** When a promise given now has surely ended, also by the clock of the leader that rests on it. */
function endOfPromise(givenMs: number): number {
  return givenMs + PROMISE_MS * (1 + CLOCK_DRIFT) + PROMISE_MARGIN_MS;
}
