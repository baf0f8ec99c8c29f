/** One WebSocket that carries batches of messages in MessagePack. */
import {setImmediate} from 'node:timers';

import {WebSocket} from 'ws';

import {PEER_ENCODER} from './peer_encoder.js';

/** Options of a channel. Durations are in milliseconds. */
export interface FrameChannelOptions<M> {
  /** Quiet time before a ping. */
  readonly pingAfterMs: number;
  /** Quiet time after which the connection counts as lost. */
  readonly silenceMs: number;
  /** Unsent bytes beyond which the connection counts as lost. */
  readonly maxUnsentBytes: number;
  readonly onMessage: (message: M) => void;
  readonly onClose: () => void;
  /** Told of data that can't be decoded; the connection then ends. */
  readonly onMalformed: (err: unknown) => void;
}

/**
 * Messages of one turn of the event loop travel in one frame. A connection
 * that stays silent is ended, because an open connection may lose its path
 * without a reset.
 */
export class FrameChannel<M> {
  private batch: M[] = [];
  private heardAt = performance.now();
  private pinged = false;
  private closed = false;
  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly socket: WebSocket,
    private readonly options: FrameChannelOptions<M>,
  ) {
    socket.binaryType = 'nodebuffer';
    socket.on('message', data => this.receive(data as Buffer));
    socket.on('pong', () => this.heard());
    socket.on('ping', () => this.heard());
    socket.on('close', () => this.end());
    socket.on('error', () => this.end());
    const {pingAfterMs} = options;
    this.timer = setInterval(() => this.check(), pingAfterMs).unref();
  }

  get isOpen(): boolean {
    return !this.closed;
  }

  /** Queues a message; it is lost if the connection ends before. */
  send(message: M): void {
    if (this.closed) return;
    this.batch.push(message);
    if (this.batch.length === 1) setImmediate(() => this.flush());
  }

  /** Ends the connection at once. */
  close(): void {
    this.end();
  }

  private flush(): void {
    const {batch, socket} = this;
    this.batch = [];
    if (this.closed || socket.readyState !== WebSocket.OPEN) return;
    if (socket.bufferedAmount > this.options.maxUnsentBytes) return this.end();
    socket.send(PEER_ENCODER.encode(batch));
  }

  private receive(data: Buffer): void {
    this.heard();
    let batch: readonly M[];
    try {
      batch = PEER_ENCODER.decode(data) as readonly M[];
    } catch (err) {
      this.options.onMalformed(err);
      this.end();
      return;
    }
    for (const message of batch) {
      if (this.closed) return;
      this.options.onMessage(message);
    }
  }

  private heard(): void {
    this.heardAt = performance.now();
    this.pinged = false;
  }

  private check(): void {
    const quietMs = performance.now() - this.heardAt;
    if (this.pinged && quietMs >= this.options.silenceMs) return this.end();
    if (quietMs < this.options.pingAfterMs) return;
    this.pinged = true;
    if (this.socket.readyState === WebSocket.OPEN) this.socket.ping();
  }

  private end(): void {
    if (this.closed) return;
    this.closed = true;
    clearInterval(this.timer);
    this.socket.terminate();
    this.options.onClose();
  }
}
