/** Client side of a framed connection; reopens by itself. */
import {WebSocket} from 'ws';

import {FrameChannel} from './frame_channel.js';
import {
  CLOSE_WATCH,
  CONNECT_MS,
  FRAME_PATH,
  MAX_UNSENT_BYTES,
  type Watch,
} from './frame_options.js';

/** Options of a link. */
export interface FrameLinkOptions<M> {
  /** `IP:PORT`. */
  readonly address: string;
  readonly onMessage: (message: M) => void;
  readonly onUp: () => void;
  readonly onDown: () => void;
  readonly onMalformed: (err: unknown) => void;
}

/** Shortest and longest pause between two attempts to connect. */
const RECONNECT_MIN_MS = 50;
const RECONNECT_MAX_MS = 500;

/** One long-lived connection to a server of frames. */
export class FrameLink<M> {
  readonly name: string;
  private channel: FrameChannel<M> | null = null;
  private connecting: WebSocket | null = null;
  private timer: NodeJS.Timeout | null = null;
  private attempts = 0;
  private watch = CLOSE_WATCH;
  private closed = false;

  constructor(private readonly options: FrameLinkOptions<M>) {
    this.name = `frame-link ${options.address}`;
    this.connect();
  }

  get isUp(): boolean {
    return this.channel !== null;
  }

  /** Sends a message if the connection is up; it may still be lost. */
  send(message: M): boolean {
    if (!this.channel) return false;
    this.channel.send(message);
    return true;
  }

  /** Changes how soon silence is noticed; at once by default. */
  setWatch(watch: Watch): void {
    this.watch = watch;
    this.channel?.setWatch(watch);
  }

  close(): void {
    this.closed = true;
    if (this.timer) clearTimeout(this.timer);
    this.connecting?.terminate();
    this.channel?.close();
  }

  private connect(): void {
    this.timer = null;
    const socket = new WebSocket(`ws://${this.options.address}${FRAME_PATH}`, {
      handshakeTimeout: CONNECT_MS,
      perMessageDeflate: false,
    });
    this.connecting = socket;
    socket.once('open', () => this.opened(socket));
    socket.once('error', () => this.failed(socket));
  }

  private opened(socket: WebSocket): void {
    this.connecting = null;
    if (this.closed) return socket.terminate();
    this.attempts = 0;
    const {onMessage, onMalformed} = this.options;
    this.channel = new FrameChannel<M>(socket, {
      watch: this.watch,
      maxUnsentBytes: MAX_UNSENT_BYTES,
      onMessage,
      onMalformed,
      onClose: () => this.lost(),
    });
    this.options.onUp();
  }

  private failed(socket: WebSocket): void {
    if (this.connecting !== socket) return;
    this.connecting = null;
    socket.terminate();
    this.retry();
  }

  private lost(): void {
    this.channel = null;
    if (!this.closed) this.options.onDown();
    this.retry();
  }

  private retry(): void {
    if (this.closed || this.timer) return;
    const delay = RECONNECT_MIN_MS * 2 ** this.attempts++;
    this.timer = setTimeout(
      () => this.connect(),
      Math.min(delay, RECONNECT_MAX_MS),
    );
  }
}
