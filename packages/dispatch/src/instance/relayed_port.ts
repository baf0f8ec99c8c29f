/** Gives the leader's orders through other members, to share their cost. */
import type {Logger} from '@mustardferry/runtime';

import type {
  OrderAnswer,
  OrderContent,
  OrderMessage,
  OrderOutcome,
  OrdersEndMessage,
} from '../messages/order_messages.js';
import {
  type HoldAnswer,
  type HoldOrder,
  OrderNotSentError,
  OrderUnansweredError,
  type StartAnswer,
  type StartOrder,
  type StopAnswer,
  type StopOrder,
  UpstreamPort,
  type UpstreamTarget,
} from '../upstreams/upstream_port.js';
import {type Carrier, OrderPaths} from './order_paths.js';

/** Options of the port. */
export interface RelayedPortOptions {
  /** Reaches upstreams from this instance. */
  readonly direct: UpstreamPort;
  /** Members that are connected now, without this one. */
  readonly carriers: () => readonly Carrier[];
  /** Returns false if the message surely did not leave. */
  readonly send: (
    carrier: string,
    message: OrderMessage | OrdersEndMessage,
  ) => boolean;
  readonly logger: Logger;
}

/** Time in ms for the way to a member and back, beyond the order's own. */
const HOP_MS = 40;

interface Pending {
  readonly carrier: string;
  readonly settle: (outcome: OrderOutcome) => void;
}

/**
 * Falls back to the direct way where no member is connected. An order that had
 * no answer is not repeated here: its session finds out what became of it, by
 * another path.
 */
export class RelayedPort extends UpstreamPort {
  private readonly paths: OrderPaths;
  private readonly pending = new Map<number, Pending>();
  private readonly heardAt = new Map<string, number>();
  private nextId = 1;

  constructor(private readonly options: RelayedPortOptions) {
    super();
    this.paths = new OrderPaths(options.carriers);
  }

  override start(to: UpstreamTarget, order: StartOrder): Promise<StartAnswer> {
    const carrier = this.paths.choose(to, performance.now());
    if (carrier === null) return this.options.direct.start(to, order);
    return this.carry<StartAnswer>(carrier, to, {kind: 'start', order});
  }

  override stop(to: UpstreamTarget, order: StopOrder): Promise<StopAnswer> {
    const carrier = this.paths.choose(to, performance.now());
    if (carrier === null) return this.options.direct.stop(to, order);
    return this.carry<StopAnswer>(carrier, to, {kind: 'stop', order});
  }

  override hold(to: UpstreamTarget, order: HoldOrder): Promise<HoldAnswer> {
    const carrier = this.paths.choose(to, performance.now());
    if (carrier === null) return this.options.direct.hold(to, order);
    return this.carry<HoldAnswer>(carrier, to, {kind: 'hold', order});
  }

  override release(to: UpstreamTarget): void {
    const carrier = this.paths.release(to);
    if (carrier !== null) this.options.send(carrier, {type: 'orders-end', to});
    this.options.direct.release(to);
  }

  /** Takes what a member tells of an order that it carried. */
  outcome(carrier: string, id: number, outcome: OrderOutcome): void {
    this.heardAt.set(carrier, performance.now());
    this.pending.get(id)?.settle(outcome);
  }

  /** A member's connection ended; what it carried may still arrive. */
  lost(carrier: string): void {
    for (const each of [...this.pending.values()]) {
      if (each.carrier !== carrier) continue;
      each.settle({type: 'unanswered', cause: `${carrier} disconnected`});
    }
  }

  private async carry<A extends OrderAnswer>(
    carrier: string,
    to: UpstreamTarget,
    content: OrderContent,
  ): Promise<A> {
    const {id, address, startedAt, dataCentre} = to;
    const target = {id, address, startedAt, dataCentre};
    const outcome = await this.exchange(carrier, target, content);
    // The member answers each kind of order with its kind of answer.
    if (outcome.type === 'answered') return outcome.answer as A;
    this.paths.failed(to, carrier);
    const text = `${content.kind} through ${carrier}: ${outcome.cause}`;
    throw outcome.type === 'not-sent'
      ? new OrderNotSentError(text)
      : new OrderUnansweredError(text);
  }

  private exchange(
    carrier: string,
    to: UpstreamTarget,
    content: OrderContent,
  ): Promise<OrderOutcome> {
    const id = this.nextId++;
    const sentAt = performance.now();
    return new Promise(resolve => {
      const timer = setTimeout(() => {
        // Outcomes that arrived while the process was busy are read first.
        setImmediate(() => {
          if (!this.pending.has(id)) return;
          this.checkCarrier(carrier, sentAt);
          settle({type: 'unanswered', cause: 'no outcome in time'});
        });
      }, content.order.timeoutMs + HOP_MS);
      const settle = (outcome: OrderOutcome) => {
        clearTimeout(timer);
        this.pending.delete(id);
        resolve(outcome);
      };
      this.pending.set(id, {carrier, settle});
      const message: OrderMessage = {type: 'order', id, to, content};
      if (this.options.send(carrier, message)) return;
      settle({type: 'not-sent', cause: 'not connected'});
    });
  }

  /** Avoids a member that has told nothing since an order was sent. */
  private checkCarrier(carrier: string, sentAt: number): void {
    const heardAt = this.heardAt.get(carrier) ?? 0;
    if (heardAt >= sentAt) return;
    const now = performance.now();
    const isKnown = this.paths.isAvoided(carrier, now);
    this.paths.avoid(carrier, now);
    if (isKnown) return;
    const silentMs = Math.round(now - Math.max(heardAt, sentAt));
    this.options.logger.warn('order-carrier-avoided', {carrier, silentMs});
  }
}
