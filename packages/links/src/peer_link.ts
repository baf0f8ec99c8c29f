/** Client side of the connection to one peer. */
import {
  createTRPCClient,
  createWSClient,
  type TRPCClient,
  TRPCClientError,
  wsLink,
} from '@trpc/client';

import {
  PeerRemoteError,
  PeerTimeoutError,
  PeerUnreachableError,
} from './errors.js';
import type {LinkTraffic} from './link_traffic.js';
import {LogFrameReader} from './log_frames.js';
import {PEER_ENCODER, PEER_TRANSFORMER} from './peer_encoder.js';
import type {LogEnvelope, PeerIdentity} from './peer_messages.js';
import type {PeerRouter} from './peer_router.js';
import {PEER_PATH} from './peer_server.js';
import {peerSocketClass} from './peer_socket.js';

/** Options of a peer link. Durations are in milliseconds. */
export interface PeerLinkOptions {
  readonly peer: string;
  /** `IP:PORT`. */
  readonly address: string;
  readonly token: string | undefined;
  /** Counts the bytes of the connections; none by default. */
  readonly traffic?: LinkTraffic;
  /** Quiet time before a ping. */
  readonly pingAfterMs: number;
  /** Time to wait for any message after a ping. */
  readonly pongTimeoutMs: number;
  /** Identity that the peer addresses log messages to. */
  readonly self: PeerIdentity;
  /** Called with the log messages that the peer sends. */
  readonly onLog: (messages: readonly LogEnvelope[]) => void;
  readonly onUp: (peer: string) => void;
  readonly onDown: (peer: string) => void;
}

const RECONNECT_MIN_MS = 50;
const RECONNECT_MAX_MS = 1_000;

/** Typed client of a peer. */
export type PeerClient = TRPCClient<PeerRouter>;

/**
 * One long-lived connection to a peer that reopens by itself. A connection
 * that answers neither pings nor an overdue call is replaced by a new one.
 */
export class PeerLink {
  readonly name: string;
  private socket: ReturnType<typeof createWSClient>;
  private client: PeerClient;
  private up = false;
  private closed = false;

  constructor(private readonly options: PeerLinkOptions) {
    this.name = `peer-link ${options.peer}`;
    this.socket = this.createSocket();
    this.client = this.createClient();
    this.openStream();
  }

  /** Whether the connection is open, as far as this end knows. */
  get isUp(): boolean {
    return this.up;
  }

  /**
   * Calls the peer.
   *
   * @throws PeerUnreachableError when the connection is down or breaks.
   * @throws PeerTimeoutError after `timeoutMs`; the connection is replaced.
   * @throws PeerRemoteError when the peer's handler failed.
   */
  async call<T>(
    timeoutMs: number,
    run: (client: PeerClient, signal: AbortSignal) => Promise<T>,
  ): Promise<T> {
    if (!this.up) {
      throw new PeerUnreachableError(`${this.options.peer} is not connected`);
    }
    const socket = this.socket;
    const abort = new AbortController();
    let timer: NodeJS.Timeout | undefined;
    const expiry = new Promise<never>((_, reject) => {
      timer = setTimeout(() => {
        reject(new PeerTimeoutError(`${this.options.peer}: no reply`));
        abort.abort();
        this.replace(socket);
      }, timeoutMs);
    });
    try {
      return await Promise.race([run(this.client, abort.signal), expiry]);
    } catch (err) {
      throw this.convert(err);
    } finally {
      clearTimeout(timer);
    }
  }

  async close(): Promise<void> {
    this.closed = true;
    this.markDown();
    this.discard(this.socket);
  }

  private convert(err: unknown): Error {
    if (err instanceof PeerTimeoutError) return err;
    const peer = this.options.peer;
    if (err instanceof TRPCClientError && err.data !== undefined) {
      return new PeerRemoteError(`${peer}: ${err.message}`, {cause: err});
    }
    return new PeerUnreachableError(`${peer}: connection lost`, {cause: err});
  }

  private replace(socket: ReturnType<typeof createWSClient>): void {
    if (this.closed || socket !== this.socket) return;
    this.markDown();
    this.socket = this.createSocket();
    this.client = this.createClient();
    this.openStream();
    this.discard(socket);
  }

  /**
   * Subscribes to the peer's log messages. The client subscribes again by
   * itself when its connection reopens.
   */
  private openStream(): void {
    const {peer, self, onLog} = this.options;
    const {socket} = this;
    let reader = new LogFrameReader(peer, self.name);
    this.client.logStream.subscribe(self, {
      onStarted: () => {
        reader = new LogFrameReader(peer, self.name);
      },
      onData: frame => {
        let messages: readonly LogEnvelope[];
        try {
          messages = reader.read(frame);
        } catch {
          // Messages may be lost; a new connection starts a new stream.
          this.replace(socket);
          return;
        }
        onLog(messages);
      },
      onError: () => this.replaceLater(socket),
      onStopped: () => this.replaceLater(socket),
    });
  }

  /** Leaves time between attempts with a peer that refuses the stream. */
  private replaceLater(socket: ReturnType<typeof createWSClient>): void {
    setTimeout(() => this.replace(socket), RECONNECT_MAX_MS).unref();
  }

  /** Ends a socket at once; requests pending on it fail. */
  private discard(socket: ReturnType<typeof createWSClient>): void {
    const state = socket.connection;
    void socket.close().catch(() => undefined);
    // Closing waits for pending replies, which a silent peer never sends.
    if (state !== null) state.ws?.close();
  }

  private createClient(): PeerClient {
    return createTRPCClient<PeerRouter>({
      links: [wsLink({client: this.socket, transformer: PEER_TRANSFORMER})],
    });
  }

  private createSocket(): ReturnType<typeof createWSClient> {
    const {address, token, traffic, pingAfterMs, pongTimeoutMs} = this.options;
    const socket = createWSClient({
      url: `ws://${address}${PEER_PATH}`,
      WebSocket: peerSocketClass(token, traffic) as unknown as typeof WebSocket,
      experimental_encoder: PEER_ENCODER,
      retryDelayMs: attempt =>
        Math.min(RECONNECT_MIN_MS * 2 ** attempt, RECONNECT_MAX_MS),
      keepAlive: {
        enabled: true,
        intervalMs: pingAfterMs,
        pongTimeoutMs,
      },
      onOpen: () => {
        if (socket === this.socket) this.markUp();
      },
      onClose: () => {
        if (socket === this.socket) this.markDown();
      },
    });
    return socket;
  }

  private markUp(): void {
    if (this.up || this.closed) return;
    this.up = true;
    this.options.onUp(this.options.peer);
  }

  private markDown(): void {
    if (!this.up) return;
    this.up = false;
    this.options.onDown(this.options.peer);
  }
}
