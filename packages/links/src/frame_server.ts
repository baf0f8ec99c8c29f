/** Server side of framed connections. */
import {once} from 'node:events';

import {WebSocketServer} from 'ws';

import {FrameChannel} from './frame_channel.js';
import {
  FRAME_PATH,
  LOOSE_WATCH,
  MAX_FRAME_BYTES,
  MAX_UNSENT_BYTES,
} from './frame_options.js';

/** Options of a server of frames. */
export interface FrameServerOptions<M> {
  readonly host: string;
  readonly port: number;
  readonly onOpen: (channel: FrameChannel<M>) => void;
  readonly onMessage: (channel: FrameChannel<M>, message: M) => void;
  readonly onClose: (channel: FrameChannel<M>) => void;
  readonly onMalformed: (err: unknown) => void;
}

/** Accepts framed connections on one port. */
export class FrameServer<M> {
  readonly name = 'frame-server';
  private readonly channels = new Set<FrameChannel<M>>();

  private constructor(
    private readonly sockets: WebSocketServer,
    private readonly options: FrameServerOptions<M>,
  ) {
    sockets.on('connection', socket => {
      const channel: FrameChannel<M> = new FrameChannel<M>(socket, {
        watch: LOOSE_WATCH,
        maxUnsentBytes: MAX_UNSENT_BYTES,
        onMessage: message => options.onMessage(channel, message),
        onMalformed: options.onMalformed,
        onClose: () => this.closedChannel(channel),
      });
      this.channels.add(channel);
      options.onOpen(channel);
    });
    sockets.on('error', options.onMalformed);
  }

  /** Listens; rejects with the system's error when the port is taken. */
  static async open<M>(
    options: FrameServerOptions<M>,
  ): Promise<FrameServer<M>> {
    const sockets = new WebSocketServer({
      host: options.host,
      port: options.port,
      path: FRAME_PATH,
      maxPayload: MAX_FRAME_BYTES,
      perMessageDeflate: false,
    });
    await once(sockets, 'listening');
    return new FrameServer(sockets, options);
  }

  /** Port that was bound; differs from the option when that was 0. */
  get port(): number {
    const address = this.sockets.address();
    return typeof address === 'object' && address ? address.port : 0;
  }

  /** Sends a message to every open connection. */
  broadcast(message: M): void {
    for (const channel of this.channels) channel.send(message);
  }

  close(): void {
    for (const channel of [...this.channels]) channel.close();
    this.sockets.close();
  }

  private closedChannel(channel: FrameChannel<M>): void {
    if (this.channels.delete(channel)) this.options.onClose(channel);
  }
}
