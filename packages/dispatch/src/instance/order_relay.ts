/** Connects the relayed port of the leader with the links to its carriers. */
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
  /** Sends orders to upstreams from this instance. */
  readonly directPort: UpstreamPort;
  /** Returns the connected members, without this one. */
  readonly getCarriers: () => readonly Carrier[];
  /** Returns the number of upstreams in the replicated state. */
  readonly upstreams: () => number;
  /** Sends on the connection to the member that the log and calls share. */
  readonly sendOnLogLink: (
    carrier: string,
    message: OrderMessage | OrdersEndMessage,
  ) => boolean;
  readonly logger: Logger;
}

/** What members report as carriers of orders. */
export interface CarrierEvents {
  outcome(carrier: string, message: OrderOutcomeMessage): void;
  /** @param clockMs Reading of the carrier's clock, if it sends any. */
  clockRead(carrier: string, clockMs: number | undefined): void;
  /** The connection that the log and calls share is lost. */
  lost(carrier: string): void;
}

/** One per member; keeps connections open only while the member leads. */
export class OrderRelay implements CarrierEvents {
  readonly name = 'order-relay';
  readonly port: RelayedPort;
  private readonly links: OrderLinks;

  constructor(options: OrderRelayOptions) {
    const {sendOnLogLink} = options;
    this.links = new OrderLinks({
      ...options,
      onOutcome: (carrier, message) => this.outcome(carrier, message),
      onDisconnected: carrier => this.port.lost(carrier),
    });
    this.port = new RelayedPort({
      ...options,
      // An order to a carrier without a known clock could not expire.
      getCarriers: () =>
        options
          .getCarriers()
          .filter(({address}) => this.port.clocks.has(address)),
      send: (carrier, message) =>
        // Must arrive even though the links for orders close with the term.
        message.type === 'orders-end'
          ? sendOnLogLink(carrier, message)
          : this.links.send(carrier, message),
    });
  }

  /**
   * Starts a term.
   *
   * @param silentPredecessor Address of the leader that was replaced for its
   *     silence; null if there is none.
   */
  startTerm(silentPredecessor: string | null): void {
    this.port.selector.startTerm(silentPredecessor);
  }

  /** Records that a message of a member was received. */
  memberHeard(address: string): void {
    this.port.selector.memberHeard(address);
  }

  /** Records a reading of a carrier's clock. */
  clockRead(carrier: string, clockMs: number | undefined): void {
    if (clockMs !== undefined) this.port.clocks.observe(carrier, clockMs);
  }

  /** Handles the outcome of an order that a carrier relayed. */
  outcome(carrier: string, {id, outcome, clockMs}: OrderOutcomeMessage): void {
    this.memberHeard(carrier);
    this.clockRead(carrier, clockMs);
    this.port.outcome(carrier, id, outcome);
  }

  /** Handles the loss of the connection to a carrier. */
  lost(carrier: string): void {
    this.memberHeard(carrier);
    this.port.clocks.forget(carrier);
    this.links.lost(carrier);
    this.port.lost(carrier);
  }

  /** Closes the connections; further orders reopen them. */
  close(): void {
    this.links.close();
  }
}
