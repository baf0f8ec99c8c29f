/** Connections of the leader to members that carry its orders. */
import {FrameLink, LOOSE_WATCH} from '@mustardferry/links';
import type {Logger} from '@mustardferry/runtime';

import type {
  OrderMessage,
  OrderOutcomeMessage,
} from '../messages/order_messages.js';
import type {PeerMessage} from '../messages/peer_messages.js';
import {hashOf} from './hash.js';

/** Options of the links. */
export interface OrderLinksOptions {
  /** Sends on the connection that the log and calls use. */
  readonly sendBeside: (carrier: string, message: OrderMessage) => boolean;
  readonly onOutcome: (carrier: string, message: OrderOutcomeMessage) => void;
  /** Told of a connection that ended, with the upstreams that used it. */
  readonly onLost: (
    carrier: string,
    concerns: (upstream: string) => boolean,
  ) => void;
  readonly logger: Logger;
}

/**
 * Connections for the orders to one member. A lost packet delays what follows
 * on its connection only, so more of them delay fewer orders; beyond four the
 * gain is small against the cost of a frame.
 */
const LINKS_PER_CARRIER = 4;

/**
 * Keeps orders off the connection of the log, whose heartbeats would wait
 * behind them for a lost packet. The orders for one upstream share a
 * connection and so keep their order.
 */
export class OrderLinks {
  private readonly byCarrier = new Map<string, FrameLink<PeerMessage>[]>();

  constructor(private readonly options: OrderLinksOptions) {}

  /** Returns false if the message surely did not leave. */
  send(carrier: string, message: OrderMessage): boolean {
    const links = this.byCarrier.get(carrier) ?? this.open(carrier);
    const link = links[indexOf(message.to.id)];
    if (link?.send(message)) return true;
    return this.options.sendBeside(carrier, message);
  }

  /** Ends the connections to a member that is not reached any more. */
  lost(carrier: string): void {
    const links = this.byCarrier.get(carrier) ?? [];
    this.byCarrier.delete(carrier);
    for (const link of links) link.close();
  }

  /** Ends all connections; further orders open them again. */
  close(): void {
    for (const carrier of [...this.byCarrier.keys()]) this.lost(carrier);
  }

  private open(carrier: string): readonly FrameLink<PeerMessage>[] {
    const {onOutcome, onLost, logger} = this.options;
    const links = Array.from({length: LINKS_PER_CARRIER}, (_, index) => {
      const link = new FrameLink<PeerMessage>({
        address: carrier,
        onMessage: message => {
          if (message.type === 'order-outcome') onOutcome(carrier, message);
        },
        onUp: () => undefined,
        onDown: () => onLost(carrier, id => indexOf(id) === index),
        onMalformed: err =>
          logger.warn('member-message-malformed', {peer: carrier, err}),
      });
      // The connection of the log notices a silent member soon.
      link.setWatch(LOOSE_WATCH);
      return link;
    });
    this.byCarrier.set(carrier, links);
    return links;
  }
}

function indexOf(upstream: string): number {
  return hashOf(upstream) % LINKS_PER_CARRIER;
}
