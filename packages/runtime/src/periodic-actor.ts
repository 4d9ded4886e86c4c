import type { Logger } from 'pino';
import { Actor } from './actor.js';
import type { Clock } from './clock.js';

/** Sent by a periodic actor to itself. */
export interface Tick {
  kind: 'tick';
}

/** An actor that looks at its state at least once in so many milliseconds, from its start to its end. */
export abstract class PeriodicActor<Message> extends Actor<Message | Tick> {
  private cancelTick: () => void = () => undefined;

  protected constructor(
    private readonly clock: Clock,
    private readonly everyMs: number,
    log: Logger,
    onFailure?: (error: unknown) => void,
  ) {
    super(log, onFailure);
  }

  start(): void {
    this.cancelTick = this.clock.after(this.everyMs, () => this.start());
    this.send({ kind: 'tick' });
  }

  override stop(): void {
    super.stop();
    this.cancelTick();
  }
}
