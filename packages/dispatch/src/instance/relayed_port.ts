/** Sends the leader's orders through carriers, which share their cost. */
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
import {upstreamKey} from '../upstreams/upstream_types.js';
import {type Carrier, CarrierSelector} from './carrier_selector.js';
import {CarrierClocks} from './order_expiry.js';
import {RetryBudget} from './retry_budget.js';

/** Options of the port. */
export interface RelayedPortOptions {
  /** Sends orders to upstreams from this instance. */
  readonly directPort: UpstreamPort;
  /** Returns the connected members, without this one. */
  readonly getCarriers: () => readonly Carrier[];
  /** Returns the number of upstreams in the replicated state. */
  readonly upstreams: () => number;
  /** Sends to a carrier; returns false if the message was surely not sent. */
  readonly send: (
    carrier: string,
    message: OrderMessage | OrdersEndMessage,
  ) => boolean;
  readonly logger: Logger;
}

/** Usual round trip to a carrier in ms. */
const USUAL_RELAY_MS = 40;

/**
 * Silence in ms after which a carrier with an overdue outcome is unresponsive:
 * the time that a hold waits for a run end, and the round trip.
 */
const UNRESPONSIVE_AFTER_MS = 160;

/**
 * Maximum round trip to a carrier in ms. It exceeds the silence after which a
 * connection counts as lost, since until then an outcome may only be late: one
 * lost packet delays all later ones on its connection by 200 ms or more.
 */
const MAX_RELAY_MS = 500;

/** Interval in ms between checks of the orders without an outcome. */
const CHECK_INTERVAL_MS = 20;

/** An order with its attempts, which may go through several carriers. */
interface Exchange {
  readonly to: UpstreamTarget;
  readonly content: OrderContent;
  /** Time at which the order is reported as unanswered. */
  readonly endsAt: number;
  readonly resolve: (outcome: RelayedOutcome) => void;
  /** Attempts without an outcome. */
  readonly open: Set<Attempt>;
  isRetried: boolean;
}

/** One attempt to send an order, through one carrier. */
interface Attempt {
  readonly id: number;
  readonly carrier: string;
  readonly sentAt: number;
  /** Time from which the outcome is overdue. */
  readonly overdueAt: number;
  readonly exchange: Exchange;
}

type RelayedOutcome = OrderOutcome & {readonly carrier: string};

/**
 * Sends orders directly if no carrier is connected. While its carrier remains
 * connected, an overdue outcome is awaited up to a time limit. Meanwhile only a
 * hold is retried, through another carrier, so that no lease expires. The
 * session finds out the outcomes of other orders that were not answered.
 */
export class RelayedPort extends UpstreamPort {
  readonly selector: CarrierSelector;
  readonly clocks = new CarrierClocks();
  private readonly budget: RetryBudget;
  private readonly pending = new Map<number, Attempt>();
  private readonly heardAt = new Map<string, number>();
  private timer: NodeJS.Timeout | null = null;
  private nextId = 1;

  constructor(private readonly options: RelayedPortOptions) {
    super();
    this.selector = new CarrierSelector(options.getCarriers, options.upstreams);
    this.budget = new RetryBudget(() => this.selector.assignmentCount);
  }

  override start(to: UpstreamTarget, order: StartOrder): Promise<StartAnswer> {
    const carrier = this.selector.selectCarrier(to);
    if (carrier === null) return this.options.directPort.start(to, order);
    return this.relay<StartAnswer>(carrier, to, {kind: 'start', order});
  }

  override stop(to: UpstreamTarget, order: StopOrder): Promise<StopAnswer> {
    const carrier = this.selector.selectCarrier(to);
    if (carrier === null) return this.options.directPort.stop(to, order);
    return this.relay<StopAnswer>(carrier, to, {kind: 'stop', order});
  }

  override hold(to: UpstreamTarget, order: HoldOrder): Promise<HoldAnswer> {
    const carrier = this.selector.selectCarrier(to);
    if (carrier === null) return this.options.directPort.hold(to, order);
    return this.relay<HoldAnswer>(carrier, to, {kind: 'hold', order});
  }

  override releaseUpstream(to: UpstreamTarget): void {
    for (const carrier of this.selector.releaseUpstream(to)) {
      this.options.send(carrier, {type: 'orders-end', to});
    }
    const life = upstreamKey(to);
    for (const each of [...this.pending.values()]) {
      if (upstreamKey(each.exchange.to) !== life) continue;
      this.finish(each, {type: 'unanswered', cause: 'upstream released'});
    }
    this.options.directPort.releaseUpstream(to);
  }

  /** Handles the outcome of an order that a carrier relayed. */
  outcome(carrier: string, id: number, outcome: OrderOutcome): void {
    this.heardAt.set(carrier, performance.now());
    this.selector.markResponsive(carrier);
    const attempt = this.pending.get(id);
    if (attempt) this.finish(attempt, outcome);
  }

  /** Handles a lost carrier, whose orders may still reach their upstreams. */
  lost(carrier: string): void {
    this.selector.markResponsive(carrier);
    for (const each of [...this.pending.values()]) {
      if (each.carrier !== carrier) continue;
      const cause = `${carrier} disconnected`;
      this.finish(each, {type: 'unanswered', cause});
    }
  }

  private async relay<A extends OrderAnswer>(
    carrier: string,
    to: UpstreamTarget,
    content: OrderContent,
  ): Promise<A> {
    const {id, address, startedAt, dataCentre} = to;
    const target = {id, address, startedAt, dataCentre};
    const outcome = await this.awaitOutcome(carrier, target, content);
    // The carrier returns the type of answer that belongs to the kind of order.
    if (outcome.type === 'answered') {
      this.budget.recordAnswer();
      return outcome.answer as A;
    }
    const text = `${content.kind} relayed by ${outcome.carrier}: ${outcome.cause}`;
    throw outcome.type === 'not-sent'
      ? new OrderNotSentError(text)
      : new OrderUnansweredError(text);
  }

  /** Resolves with the first answer, or else with the last failure. */
  private awaitOutcome(
    carrier: string,
    to: UpstreamTarget,
    content: OrderContent,
  ): Promise<RelayedOutcome> {
    const endsAt = performance.now() + content.order.timeoutMs + MAX_RELAY_MS;
    return new Promise(resolve => {
      const open = new Set<Attempt>();
      const exchange = {to, content, endsAt, resolve, open, isRetried: false};
      this.sendAttempt(carrier, exchange, content);
    });
  }

  private sendAttempt(
    carrier: string,
    exchange: Exchange,
    content: OrderContent,
  ): void {
    const id = this.nextId++;
    const sentAt = performance.now();
    const overdueAt = sentAt + content.order.timeoutMs + USUAL_RELAY_MS;
    const attempt = {id, carrier, sentAt, overdueAt, exchange};
    exchange.open.add(attempt);
    this.pending.set(id, attempt);
    const {to, endsAt} = exchange;
    const expiry = this.clocks.createExpiry(carrier, endsAt - sentAt);
    const message = {type: 'order', id, to, content, ...expiry} as const;
    if (!this.options.send(carrier, message)) {
      this.finish(attempt, {type: 'not-sent', cause: 'not connected'});
    }
    this.scheduleCheck();
  }

  private finish(attempt: Attempt, outcome: OrderOutcome): void {
    const {carrier, exchange, id} = attempt;
    const {to, open, resolve} = exchange;
    this.pending.delete(id);
    open.delete(attempt);
    if (outcome.type !== 'answered') {
      this.selector.failed(to, carrier);
      if (open.size > 0) return;
    }
    for (const other of open) this.pending.delete(other.id);
    resolve({...outcome, carrier});
  }

  /** Uses one timer for all orders: one each would cost more than the order. */
  private scheduleCheck(): void {
    if (this.timer !== null || this.pending.size === 0) return;
    this.timer = setTimeout(() => {
      // Outcomes that arrived while the process was busy are handled first.
      setImmediate(() => {
        this.timer = null;
        this.checkAttempts(performance.now());
        this.scheduleCheck();
      });
    }, CHECK_INTERVAL_MS);
  }

  private checkAttempts(now: number): void {
    const oldest = this.findOldestUnanswered();
    for (const attempt of [...this.pending.values()]) {
      const {carrier, overdueAt, exchange} = attempt;
      if (now >= exchange.endsAt) {
        this.selector.markResponsive(carrier);
        const cause = 'timed out';
        this.finish(attempt, {type: 'unanswered', cause});
      } else if (now >= overdueAt && this.detectUnresponsive(attempt, oldest)) {
        this.retryHold(attempt);
      }
    }
  }

  /** Retries a hold through another carrier; no other order may be retried. */
  private retryHold({carrier, exchange}: Attempt): void {
    const {to, content, isRetried} = exchange;
    if (isRetried || content.kind !== 'hold') return;
    const other = this.selector.selectAlternative(to, carrier);
    if (other === null || !this.budget.takeRetry()) return;
    exchange.isRetried = true;
    this.sendAttempt(other, exchange, omitWait(content));
  }

  /** Returns per silent carrier when its oldest unanswered order was sent. */
  private findOldestUnanswered(): ReadonlyMap<string, number> {
    const oldest = new Map<string, number>();
    for (const {carrier, sentAt} of this.pending.values()) {
      if ((this.heardAt.get(carrier) ?? 0) >= sentAt) continue;
      const known = oldest.get(carrier) ?? Infinity;
      if (sentAt < known) oldest.set(carrier, sentAt);
    }
    return oldest;
  }

  /** Whether a carrier is silent; marks it as unresponsive if so. */
  private detectUnresponsive(
    {carrier, sentAt}: Attempt,
    oldest: ReadonlyMap<string, number>,
  ): boolean {
    const heardAt = this.heardAt.get(carrier) ?? 0;
    const silentMs = Math.round(performance.now() - Math.max(heardAt, sentAt));
    if (silentMs < UNRESPONSIVE_AFTER_MS) return false;
    // If no carrier answers, this process or its machine may be slow itself.
    const othersAnswer = this.options
      .getCarriers()
      .some(
        ({address}) =>
          address !== carrier && (oldest.get(address) ?? Infinity) > sentAt,
      );
    if (!othersAnswer) return false;
    if (this.selector.markUnresponsive(carrier)) {
      this.options.logger.warn('order-carrier-avoided', {carrier, silentMs});
    }
    return true;
  }
}

/** Returns the same hold, to be answered without waiting for a run end. */
function omitWait({
  order,
}: Extract<OrderContent, {kind: 'hold'}>): OrderContent {
  const timeoutMs = order.timeoutMs - order.waitMs;
  return {kind: 'hold', order: {...order, timeoutMs, waitMs: 0}};
}
