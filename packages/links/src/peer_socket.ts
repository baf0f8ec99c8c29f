/** WebSocket client that gives up on a silent connection. */
import {WebSocket} from 'ws';

import type {LinkTraffic} from './link_traffic.js';

/**
 * Time for the closing handshake. A connection whose other end has gone
 * silent never completes it, and `ws` alone would wait 30 s.
 */
const CLOSE_HANDSHAKE_MS = 100;

const CONNECT_TIMEOUT_MS = 1_000;

/** Creates a WebSocket class whose instances present a bearer token. */
export function peerSocketClass(
  token: string | undefined,
  traffic?: LinkTraffic,
): typeof WebSocket {
  const headers = token === undefined ? {} : {authorization: `Bearer ${token}`};
  return class PeerSocket extends WebSocket {
    constructor(address: string | URL) {
      super(address, {
        headers,
        handshakeTimeout: CONNECT_TIMEOUT_MS,
        perMessageDeflate: false,
      });
      this.on('upgrade', res => traffic?.add(res.socket));
      // Errors surface as close events; an unhandled one would end the process.
      this.on('error', () => undefined);
    }

    override close(code?: number, data?: string | Buffer): void {
      super.close(code, data);
      setTimeout(() => this.terminate(), CLOSE_HANDSHAKE_MS).unref();
    }
  } as unknown as typeof WebSocket;
}
