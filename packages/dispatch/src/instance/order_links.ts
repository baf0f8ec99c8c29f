/** Connections of the leader to the carriers that relay its orders. */
import {FrameLink, LOOSE_WATCH} from '@mustardferry/links';
import type {Logger} from '@mustardferry/runtime';

import type {
  OrderMessage,
  OrderOutcomeMessage,
} from '../messages/order_messages.js';
import type {PeerMessage} from '../messages/peer_messages.js';

/** Options of the links. */
export interface OrderLinksOptions {
  /** Sends on the connection to the member that the log and calls share. */
  readonly sendOnLogLink: (carrier: string, message: OrderMessage) => boolean;
  readonly onOutcome: (carrier: string, message: OrderOutcomeMessage) => void;
  readonly onDisconnected: (carrier: string) => void;
  readonly logger: Logger;
}

/**
 * Keeps orders off the connection of the log: a lost packet of an order would
 * delay the heartbeats on it. Each carrier has one connection, so that all
 * orders of an event loop turn share a frame, which is most of their cost.
 */
export class OrderLinks {
  private readonly links = new Map<string, FrameLink<PeerMessage>>();

  constructor(private readonly options: OrderLinksOptions) {}

  /** Sends a message; returns false if it was certainly not sent. */
  send(carrier: string, message: OrderMessage): boolean {
    const link = this.links.get(carrier) ?? this.open(carrier);
    return link.send(message) || this.options.sendOnLogLink(carrier, message);
  }

  /** Closes the connection to a carrier that is no longer connected. */
  lost(carrier: string): void {
    const link = this.links.get(carrier);
    this.links.delete(carrier);
    link?.close();
  }

  /** Closes all connections; further orders reopen them. */
  close(): void {
    for (const carrier of [...this.links.keys()]) this.lost(carrier);
  }

  private open(carrier: string): FrameLink<PeerMessage> {
    const {onOutcome, onDisconnected, logger} = this.options;
    const link = new FrameLink<PeerMessage>({
      address: carrier,
      onMessage: message => {
        if (message.type === 'order-outcome') onOutcome(carrier, message);
      },
      onUp: () => undefined,
      onDown: () => onDisconnected(carrier),
      onMalformed: err =>
        logger.warn('member-message-malformed', {peer: carrier, err}),
    });
    // The log's connection, watched closely, detects a silent member soon.
    link.setWatch(LOOSE_WATCH);
    this.links.set(carrier, link);
    return link;
  }
}
