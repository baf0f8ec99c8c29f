/** Connects the port of a leader with the members that carry its orders. */
import type {Logger} from '@mustardferry/runtime';

import type {
  OrderMessage,
  OrderOutcomeMessage,
  OrdersEndMessage,
} from '../messages/order_messages.js';
import type {UpstreamPort} from '../upstreams/upstream_port.js';
import type {Carrier} from './carrier_selector.js';
import {OrderLinks} from './order_links.js';
import {RelayedPort} from './relayed_port.js';

/** Options of the relay. */
export interface OrderRelayOptions {
  /** Reaches upstreams from this instance. */
  readonly direct: UpstreamPort;
  /** Members that are connected now, without this one. */
  readonly carriers: () => readonly Carrier[];
  /** Count of the upstreams that the group knows. */
  readonly upstreams: () => number;
  /** Sends on the connection that the log and calls use. */
  readonly sendBeside: (
    carrier: string,
    message: OrderMessage | OrdersEndMessage,
  ) => boolean;
  readonly logger: Logger;
}

/** One per member; holds connections only while the member leads. */
export class OrderRelay {
  readonly name = 'order-relay';
  readonly port: RelayedPort;
  private readonly links: OrderLinks;

  constructor(options: OrderRelayOptions) {
    const {sendBeside} = options;
    this.links = new OrderLinks({
      ...options,
      onOutcome: (carrier, message) => this.outcome(carrier, message),
      onLost: carrier => this.port.lost(carrier),
    });
    this.port = new RelayedPort({
      ...options,
      send: (carrier, message) =>
        // Must leave although the connections for orders end with the term.
        message.type === 'orders-end'
          ? sendBeside(carrier, message)
          : this.links.send(carrier, message),
    });
  }

  /** Takes what a member tells of an order that it carried. */
  outcome(carrier: string, {id, outcome}: OrderOutcomeMessage): void {
    this.port.outcome(carrier, id, outcome);
  }

  /** A member is not reached any more. */
  lost(carrier: string): void {
    this.links.lost(carrier);
    this.port.lost(carrier);
  }

  /** Ends the connections; further orders open them again. */
  close(): void {
    this.links.close();
  }
}
