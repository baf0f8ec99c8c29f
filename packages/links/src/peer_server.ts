/** Serves peer calls over WebSocket on an HTTP server. */
import type {IncomingMessage, Server} from 'node:http';
import type {Duplex} from 'node:stream';

import {getWSConnectionHandler} from '@trpc/server/adapters/ws';
import {type WebSocket, WebSocketServer} from 'ws';

import type {LinkTraffic} from './link_traffic.js';
import {PEER_ENCODER} from './peer_encoder.js';
import type {PeerService} from './peer_messages.js';
import {peerRouter} from './peer_router.js';

/** Path of the peer WebSocket. */
export const PEER_PATH = '/peer';

/** Largest peer message; holds a job of the largest body or a snapshot. */
const MAX_PEER_MESSAGE_BYTES = 64 * 1024 * 1024;

/** Options of the peer server. */
export interface PeerServerOptions {
  readonly server: Server;
  readonly service: PeerService;
  /** Counts the bytes of the connections; none by default. */
  readonly traffic?: LinkTraffic;
  /** Whether the upgrade request carries a valid instance token. */
  readonly authorize: (req: IncomingMessage) => boolean;
}

/** Accepts peer connections on one HTTP server. */
export class PeerServer {
  readonly name = 'peer-server';
  private readonly sockets: WebSocketServer;
  private readonly claims = new Map<string, WebSocket>();
  private readonly onUpgrade: (
    req: IncomingMessage,
    socket: Duplex,
    head: Buffer,
  ) => void;

  constructor(private readonly options: PeerServerOptions) {
    this.sockets = new WebSocketServer({
      noServer: true,
      maxPayload: MAX_PEER_MESSAGE_BYTES,
      perMessageDeflate: false,
    });
    const handle = getWSConnectionHandler({
      wss: this.sockets,
      router: peerRouter,
      createContext: ({res}) => ({
        service: options.service,
        claim: peer => this.claim(peer, res),
        unsentBytes: () => res.bufferedAmount,
      }),
      experimental_encoder: PEER_ENCODER,
    });
    this.sockets.on('connection', handle);
    this.onUpgrade = (req, socket, head) => this.upgrade(req, socket, head);
    options.server.on('upgrade', this.onUpgrade);
  }

  /** Closes all peer connections. */
  close(): void {
    this.options.server.off('upgrade', this.onUpgrade);
    for (const socket of this.sockets.clients) socket.terminate();
    this.sockets.close();
  }

  /**
   * A peer that opens a stream on a new connection gave up the old one, whose
   * silence this end may not notice before TCP does.
   */
  private claim(peer: string, socket: WebSocket): void {
    const earlier = this.claims.get(peer);
    this.claims.set(peer, socket);
    if (earlier !== undefined && earlier !== socket) earlier.terminate();
    socket.once('close', () => {
      if (this.claims.get(peer) === socket) this.claims.delete(peer);
    });
  }

  private upgrade(req: IncomingMessage, socket: Duplex, head: Buffer): void {
    const path = new URL(req.url ?? '/', 'http://peer').pathname;
    if (path !== PEER_PATH || !this.options.authorize(req)) {
      // After the upgrade event nothing else handles a reset by the caller.
      socket.on('error', () => undefined);
      const status = path === PEER_PATH ? '401 Unauthorized' : '404 Not Found';
      socket.end(`HTTP/1.1 ${status}\r\nconnection: close\r\n\r\n`);
      return;
    }
    this.options.traffic?.add(req.socket);
    this.sockets.handleUpgrade(req, socket, head, client => {
      this.sockets.emit('connection', client, req);
    });
  }
}
