/** Sending side of a stream of log messages to one peer. */
import {type LogFrame, LogFrameWriter} from './log_frames.js';
import type {LogEnvelope} from './peer_messages.js';

/** Messages waiting for one peer; more are dropped, as a network may. */
const MAX_WAITING = 1_000;

/** Bytes waiting in the socket; a connection with more has gone silent. */
const MAX_UNSENT_BYTES = 16 * 1024 * 1024;

/** What a stream knows of the connection that carries it. */
export interface StreamConnection {
  /** Aborted when the peer ends the stream or the connection closes. */
  readonly signal: AbortSignal;
  /** Bytes that the socket has not sent yet. */
  readonly unsentBytes: () => number;
}

/**
 * Collects messages for one peer and yields them as frames. Messages of one
 * turn of the event loop share a frame.
 */
export class LogOutbox {
  private readonly writer = new LogFrameWriter();
  private waiting: LogEnvelope[] = [];
  private wake: (() => void) | undefined;
  private ended = false;

  constructor(private readonly connection: StreamConnection) {}

  /** Queues a message; false when it is dropped. */
  push(envelope: LogEnvelope): boolean {
    const full =
      this.waiting.length >= MAX_WAITING ||
      this.connection.unsentBytes() > MAX_UNSENT_BYTES;
    if (this.ended || full) return false;
    this.waiting.push(envelope);
    this.wake?.();
    return true;
  }

  /** Ends the stream. */
  end(): void {
    this.ended = true;
    this.wake?.();
  }

  /** Frames until the stream ends. */
  async *frames(): AsyncGenerator<LogFrame, void> {
    const {signal} = this.connection;
    const onAbort = () => this.end();
    signal.addEventListener('abort', onAbort, {once: true});
    if (signal.aborted) this.end();
    try {
      while (!this.ended) {
        if (this.waiting.length === 0) await this.nextPush();
        const batch = this.waiting;
        if (batch.length === 0) continue;
        this.waiting = [];
        yield this.writer.write(batch);
      }
    } finally {
      this.ended = true;
      signal.removeEventListener('abort', onAbort);
    }
  }

  private nextPush(): Promise<void> {
    return new Promise(resolve => {
      this.wake = () => {
        this.wake = undefined;
        resolve();
      };
    });
  }
}
