/** Base class of tasks with private state that only handle messages. */

/**
 * Handles one message at a time, in order of arrival. A subclass keeps its
 * sockets and state private; other code reaches them only by `post`.
 */
export abstract class MessageTask<M> {
  private readonly mailbox: M[] = [];
  private draining = false;
  private closed = false;

  constructor(readonly name: string) {}

  /** Number of queued messages. */
  get backlog(): number {
    return this.mailbox.length;
  }

  /** Queues a message; after `close`, messages are dropped. */
  post(message: M): void {
    if (this.closed) return;
    this.mailbox.push(message);
    if (!this.draining) void this.drain();
  }

  /** Stops handling messages and drops those in the queue. */
  close(): void {
    this.closed = true;
    this.mailbox.length = 0;
  }

  /** Handles one message; may be asynchronous. */
  protected abstract handle(message: M): Promise<void> | void;

  /**
   * Called with an error from `handle`; later messages are still handled. An
   * error that it throws becomes a warning of the process.
   */
  protected abstract onError(err: unknown, message: M): void;

  private async drain(): Promise<void> {
    this.draining = true;
    for (;;) {
      const message = this.mailbox.shift();
      if (message === undefined) break;
      try {
        const pending = this.handle(message);
        // Awaiting a synchronous handler would add a microtask turn.
        if (pending !== undefined) await pending;
      } catch (err) {
        this.reportError(err, message);
      }
    }
    this.draining = false;
  }

  private reportError(err: unknown, message: M): void {
    try {
      this.onError(err, message);
    } catch (cause) {
      const text = cause instanceof Error ? cause.message : String(cause);
      process.emitWarning(`${this.name}: ${text}`, 'MessageTaskWarning');
    }
  }
}
