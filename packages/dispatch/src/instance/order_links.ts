/** Connections of the leader to members that carry its orders. */
import {FrameLink, LOOSE_WATCH} from '@mustardferry/links';
import type {Logger} from '@mustardferry/runtime';

import type {
  OrderMessage,
  OrderOutcomeMessage,
} from '../messages/order_messages.js';
import type {PeerMessage} from '../messages/peer_messages.js';

/** Options of the links. */
export interface OrderLinksOptions {
  /** Sends on the connection that the log and calls use. */
  readonly sendBeside: (carrier: string, message: OrderMessage) => boolean;
  readonly onOutcome: (carrier: string, message: OrderOutcomeMessage) => void;
  readonly onLost: (carrier: string) => void;
  readonly logger: Logger;
}

/**
 * Keeps orders off the connection of the log, whose heartbeats would wait with
 * them for a lost packet. There is one for each member, as orders of one turn
 * then share a frame, which is most of their cost.
 */
export class OrderLinks {
  private readonly links = new Map<string, FrameLink<PeerMessage>>();

  constructor(private readonly options: OrderLinksOptions) {}

  /** Returns false if the message surely did not leave. */
  send(carrier: string, message: OrderMessage): boolean {
    const link = this.links.get(carrier) ?? this.open(carrier);
    return link.send(message) || this.options.sendBeside(carrier, message);
  }

  /** Ends the connection to a member that is not reached any more. */
  lost(carrier: string): void {
    const link = this.links.get(carrier);
    this.links.delete(carrier);
    link?.close();
  }

  /** Ends all connections; further orders open them again. */
  close(): void {
    for (const carrier of [...this.links.keys()]) this.lost(carrier);
  }

  private open(carrier: string): FrameLink<PeerMessage> {
    const {onOutcome, onLost, logger} = this.options;
    const link = new FrameLink<PeerMessage>({
      address: carrier,
      onMessage: message => {
        if (message.type === 'order-outcome') onOutcome(carrier, message);
      },
      onUp: () => undefined,
      onDown: () => onLost(carrier),
      onMalformed: err =>
        logger.warn('member-message-malformed', {peer: carrier, err}),
    });
    // The connection of the log notices a silent member soon.
    link.setWatch(LOOSE_WATCH);
    this.links.set(carrier, link);
    return link;
  }
}
