/** Sends the messages of one replicated log over the peer network. */
import {
  type LogMessage,
  LogTransport,
  type MemberId,
} from '@mustardferry/coordination';

import type {PeerNetwork} from './peer_network.js';

/** Transport of one named log. */
export class LogNetworkTransport<C> extends LogTransport<C> {
  constructor(
    private readonly log: string,
    private readonly self: MemberId,
    private readonly network: PeerNetwork,
  ) {
    super();
  }

  override send(to: MemberId, message: LogMessage<C>): void {
    this.network.sendLog({log: this.log, from: this.self, to, message});
  }
}
