/** A base class for actors, which own their state and handle one message at a time. */
import type { Logger } from 'pino';

/**
 * An actor owns its state, and other objects communicate with it only by messages. A message that arrives while another one
 * is being handled waits in the mailbox, so a message handler never sees partially updated state.
 */
export abstract class Actor<Message> {
  private readonly mailbox: Message[] = [];
  private isHandling = false;
  private hasStopped = false;

  /** Creates an actor. `onFailure` is called after a message handler threw an error and the actor was stopped. */
  protected constructor(
    protected readonly log: Logger,
    private readonly onFailure?: (error: unknown) => void,
  ) {}

  /**
   * Handles the message immediately, or after the messages in the mailbox. A stopped actor ignores it. An error in the
   * handler is not thrown to the caller.
   */
  send(message: Message): void {
    if (this.hasStopped) return;
    this.mailbox.push(message);
    if (this.isHandling) return;
    this.isHandling = true;
    try {
      this.drainMailbox();
    } catch (error) {
      // An error in one handler must not terminate the process. An owner that passed `onFailure` can replace the actor.
      this.log.error({ err: error }, 'actor stopped after an error in its message handler');
      this.stop();
      this.onFailure?.(error);
    } finally {
      this.isHandling = false;
    }
  }

  /** Whether the actor was stopped, by its owner or because of an error. */
  get isStopped(): boolean {
    return this.hasStopped;
  }

  /** Drops the messages in the mailbox and ignores all later messages. */
  stop(): void {
    this.hasStopped = true;
    this.mailbox.length = 0;
  }

  /** Handles one message. An error that it throws stops the actor. */
  protected abstract receive(message: Message): void;

  private drainMailbox(): void {
    let message: Message | undefined;
    while (!this.hasStopped && (message = this.mailbox.shift()) !== undefined) this.receive(message);
  }
}
