import type { Logger } from 'pino';

/**
 * An actor owns its state; others speak to it by messages only. A message that arrives while another is
 * being handled waits in the mailbox, so a handler never sees its own state half changed.
 */
export abstract class Actor<Message> {
  private readonly mailbox: Message[] = [];
  private handling = false;
  private stopped = false;

  protected constructor(
    protected readonly log: Logger,
    private readonly onFailure?: (error: unknown) => void,
  ) {}

  send(message: Message): void {
    if (this.stopped) return;
    this.mailbox.push(message);
    if (this.handling) return;
    this.handling = true;
    try {
      let next: Message | undefined;
      while (!this.stopped && (next = this.mailbox.shift()) !== undefined) this.receive(next);
    } catch (error) {
      // Guards against one bad message ending the process: the actor is given up and its owner
      // builds a new one from the state service.
      this.log.error({ err: error }, 'actor failed');
      this.stop();
      this.onFailure?.(error);
    } finally {
      this.handling = false;
    }
  }

  get isStopped(): boolean {
    return this.stopped;
  }

  stop(): void {
    this.stopped = true;
    this.mailbox.length = 0;
  }

  protected abstract receive(message: Message): void;
}
