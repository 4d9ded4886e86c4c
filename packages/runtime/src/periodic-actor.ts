/** A base class for actors that also act at regular intervals. */
import type { Logger } from 'pino';
import { Actor } from './actor.js';
import type { Clock } from './clock.js';

/**
 * The message that a periodic actor sends to itself in each interval, like the tick of a Raft implementation. It is unrelated
 * to the `tick` field of a worker's heartbeat, which is a sequence number.
 */
export interface Tick {
  readonly kind: 'tick';
}

/** An actor that receives a tick when it starts and then once per interval until it is stopped. */
export abstract class PeriodicActor<Message> extends Actor<Message | Tick> {
  private cancelTimer: () => void = () => undefined;

  /** Creates an actor that receives a tick every `intervalMs` milliseconds. For `onFailure`, see `Actor`. */
  protected constructor(
    private readonly clock: Clock,
    private readonly intervalMs: number,
    log: Logger,
    onFailure?: (error: unknown) => void,
  ) {
    super(log, onFailure);
  }

  /** Sends the first tick and schedules the following ones. */
  start(): void {
    this.cancelTimer = this.clock.setTimer(this.intervalMs, () => this.start());
    this.send({ kind: 'tick' });
  }

  /** Stops the actor and its timer. */
  override stop(): void {
    super.stop();
    this.cancelTimer();
  }
}
