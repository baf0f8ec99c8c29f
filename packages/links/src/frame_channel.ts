/** One WebSocket that carries batches of messages in MessagePack. */
import {channel} from 'node:diagnostics_channel';
import {setImmediate} from 'node:timers';

import {WebSocket} from 'ws';

import {PeerProtocolError} from './errors.js';
import type {Watch} from './frame_options.js';
import {PEER_ENCODER} from './peer_encoder.js';
import {everyShared} from './shared_interval.js';

/**
 * Diagnostics channel on which each frame is published that is sent: the list
 * of its messages, or `null` for a ping.
 */
const SENT_FRAMES = channel('mustardferry:frame-sent');

/** Options of a channel. */
export interface FrameChannelOptions<M> {
  readonly watch: Watch;
  /** Unsent bytes beyond which the connection counts as lost. */
  readonly maxUnsentBytes: number;
  readonly onMessage: (message: M) => void;
  readonly onClose: () => void;
  /**
   * Told of data that can't be decoded, after which the connection ends, and of
   * messages that `onMessage` failed to handle.
   */
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
  private watch: Watch;
  private stopChecks: () => void;

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
    this.watch = options.watch;
    this.stopChecks = this.checkRegularly();
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

  /** Changes how soon silence is noticed, from now on. */
  setWatch(watch: Watch): void {
    if (this.closed || watch === this.watch) return;
    this.watch = watch;
    this.stopChecks();
    this.stopChecks = this.checkRegularly();
    this.check();
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
    SENT_FRAMES.publish(batch);
    socket.send(PEER_ENCODER.encode(batch));
  }

  private receive(data: Buffer): void {
    this.heard();
    let batch: readonly M[];
    try {
      batch = decodeBatch<M>(data);
    } catch (err) {
      this.options.onMalformed(err);
      this.end();
      return;
    }
    for (const message of batch) {
      if (this.closed) return;
      this.handle(message);
    }
  }

  /** One message must not end the process, nor keep back those after it. */
  private handle(message: M): void {
    try {
      this.options.onMessage(message);
    } catch (err) {
      this.options.onMalformed(err);
    }
  }

  private heard(): void {
    this.heardAt = performance.now();
    this.pinged = false;
  }

  private checkRegularly(): () => void {
    return everyShared(this.watch.pingAfterMs, () => this.check());
  }

  private check(): void {
    const {pingAfterMs, silenceMs} = this.watch;
    const quietMs = performance.now() - this.heardAt;
    if (this.pinged && quietMs >= silenceMs) return this.endUnlessHeard();
    if (quietMs < pingAfterMs) return;
    this.pinged = true;
    if (this.socket.readyState !== WebSocket.OPEN) return;
    SENT_FRAMES.publish(null);
    this.socket.ping();
  }

  /** Timers run before input is read: a late check may precede the answer. */
  private endUnlessHeard(): void {
    setImmediate(() => {
      const quietMs = performance.now() - this.heardAt;
      if (quietMs >= this.watch.silenceMs) this.end();
    });
  }

  private end(): void {
    if (this.closed) return;
    this.closed = true;
    this.stopChecks();
    this.socket.terminate();
    this.options.onClose();
  }
}

function decodeBatch<M>(data: Buffer): readonly M[] {
  const batch = PEER_ENCODER.decode(data);
  if (Array.isArray(batch)) return batch as readonly M[];
  throw new PeerProtocolError('a frame is not a list of messages');
}
