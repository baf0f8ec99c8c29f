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
import {lifeKey} from '../upstreams/upstream_types.js';
import {type Carrier, OrderPaths} from './carrier_selector.js';
import {RepeatBudget} from './retry_budget.js';

/** Options of the port. */
export interface RelayedPortOptions {
  /** Reaches upstreams from this instance. */
  readonly direct: UpstreamPort;
  /** Members that are connected now, without this one. */
  readonly carriers: () => readonly Carrier[];
  /** Count of the upstreams that the group knows. */
  readonly upstreams: () => number;
  /** Returns false if the message surely did not leave. */
  readonly send: (
    carrier: string,
    message: OrderMessage | OrdersEndMessage,
  ) => boolean;
  readonly logger: Logger;
}

/** Usual time in ms for the way to a member and back. */
const HOP_MS = 40;

/**
 * Silence in ms of a member after which orders take detours: as long as a hold
 * waits for an end, and the way.
 */
const QUIET_MS = 160;

/**
 * Longest time in ms for that way. It exceeds the silence after which a
 * connection counts as lost, as until then the outcome may only be late: one
 * lost packet delays all that follows on its connection by 200 ms and more.
 */
const LONGEST_HOP_MS = 500;

/** Period in ms in which orders without an outcome are looked at. */
const CHECK_MS = 20;

/** One order, which may be under way on several paths. */
interface Exchange {
  readonly to: UpstreamTarget;
  readonly content: OrderContent;
  /** Time after which no outcome is waited for. */
  readonly endsAt: number;
  readonly settle: (outcome: CarriedOutcome) => void;
  /** Attempts without an outcome. */
  readonly open: Set<Attempt>;
  isRepeated: boolean;
}

/** An order on its way through one member. */
interface Attempt {
  readonly id: number;
  readonly carrier: string;
  readonly sentAt: number;
  /** Time from which the outcome takes longer than usual. */
  readonly overdueAt: number;
  readonly exchange: Exchange;
}

type CarriedOutcome = OrderOutcome & {readonly carrier: string};

/**
 * Falls back to the direct way where no member is connected. A late outcome is
 * waited for while its member is connected. Only a hold is repeated meanwhile,
 * by another path, to keep its leases; what became of other orders that had no
 * answer is found out by their session.
 */
export class RelayedPort extends UpstreamPort {
  private readonly paths: OrderPaths;
  private readonly budget: RepeatBudget;
  private readonly pending = new Map<number, Attempt>();
  private readonly heardAt = new Map<string, number>();
  private timer: NodeJS.Timeout | null = null;
  private nextId = 1;

  constructor(private readonly options: RelayedPortOptions) {
    super();
    this.paths = new OrderPaths(options.carriers, options.upstreams);
    this.budget = new RepeatBudget(() => this.paths.size);
  }

  override start(to: UpstreamTarget, order: StartOrder): Promise<StartAnswer> {
    const carrier = this.paths.choose(to);
    if (carrier === null) return this.options.direct.start(to, order);
    return this.carry<StartAnswer>(carrier, to, {kind: 'start', order});
  }

  override stop(to: UpstreamTarget, order: StopOrder): Promise<StopAnswer> {
    const carrier = this.paths.choose(to);
    if (carrier === null) return this.options.direct.stop(to, order);
    return this.carry<StopAnswer>(carrier, to, {kind: 'stop', order});
  }

  override hold(to: UpstreamTarget, order: HoldOrder): Promise<HoldAnswer> {
    const carrier = this.paths.choose(to);
    if (carrier === null) return this.options.direct.hold(to, order);
    return this.carry<HoldAnswer>(carrier, to, {kind: 'hold', order});
  }

  override releaseUpstream(to: UpstreamTarget): void {
    for (const carrier of this.paths.release(to)) {
      this.options.send(carrier, {type: 'orders-end', to});
    }
    const life = lifeKey(to);
    for (const each of [...this.pending.values()]) {
      if (lifeKey(each.exchange.to) !== life) continue;
      this.finish(each, {type: 'unanswered', cause: 'upstream released'});
    }
    this.options.direct.releaseUpstream(to);
  }

  /** Takes what a member tells of an order that it carried. */
  outcome(carrier: string, id: number, outcome: OrderOutcome): void {
    this.heardAt.set(carrier, performance.now());
    this.paths.noteHeard(carrier);
    const attempt = this.pending.get(id);
    if (attempt) this.finish(attempt, outcome);
  }

  /** A connection to a member ended; what it carried may still arrive. */
  lost(carrier: string): void {
    this.paths.noteHeard(carrier);
    for (const each of [...this.pending.values()]) {
      if (each.carrier !== carrier) continue;
      const cause = `${carrier} disconnected`;
      this.finish(each, {type: 'unanswered', cause});
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
    if (outcome.type === 'answered') {
      this.budget.noteAnswer();
      return outcome.answer as A;
    }
    const text = `${content.kind} through ${outcome.carrier}: ${outcome.cause}`;
    throw outcome.type === 'not-sent'
      ? new OrderNotSentError(text)
      : new OrderUnansweredError(text);
  }

  /** Resolves with the first answer, or else with the last failure. */
  private exchange(
    carrier: string,
    to: UpstreamTarget,
    content: OrderContent,
  ): Promise<CarriedOutcome> {
    const endsAt = performance.now() + content.order.timeoutMs + LONGEST_HOP_MS;
    return new Promise(settle => {
      const open = new Set<Attempt>();
      const exchange = {to, content, endsAt, settle, open, isRepeated: false};
      this.send(carrier, exchange, content);
    });
  }

  private send(
    carrier: string,
    exchange: Exchange,
    content: OrderContent,
  ): void {
    const id = this.nextId++;
    const sentAt = performance.now();
    const overdueAt = sentAt + content.order.timeoutMs + HOP_MS;
    const attempt = {id, carrier, sentAt, overdueAt, exchange};
    exchange.open.add(attempt);
    this.pending.set(id, attempt);
    const message: OrderMessage = {type: 'order', id, to: exchange.to, content};
    if (!this.options.send(carrier, message)) {
      this.finish(attempt, {type: 'not-sent', cause: 'not connected'});
    }
    this.checkSoon();
  }

  private finish(attempt: Attempt, outcome: OrderOutcome): void {
    const {carrier, exchange, id} = attempt;
    const {to, open, settle} = exchange;
    this.pending.delete(id);
    open.delete(attempt);
    if (outcome.type !== 'answered') {
      this.paths.failed(to, carrier);
      if (open.size > 0) return;
    }
    for (const other of open) this.pending.delete(other.id);
    settle({...outcome, carrier});
  }

  /** One timer for all orders: one for each would cost more than the order. */
  private checkSoon(): void {
    if (this.timer !== null || this.pending.size === 0) return;
    this.timer = setTimeout(() => {
      // Outcomes that arrived while the process was busy are read first.
      setImmediate(() => {
        this.timer = null;
        this.check(performance.now());
        this.checkSoon();
      });
    }, CHECK_MS);
  }

  private check(now: number): void {
    const owing = this.owingSince();
    for (const attempt of [...this.pending.values()]) {
      const {carrier, overdueAt, exchange} = attempt;
      if (now >= exchange.endsAt) {
        this.paths.noteHeard(carrier);
        const cause = 'no outcome in time';
        this.finish(attempt, {type: 'unanswered', cause});
      } else if (now >= overdueAt && this.isQuiet(attempt, owing)) {
        this.repeat(attempt);
      }
    }
  }

  /** Gives a hold by another path, too; other orders must not be repeated. */
  private repeat({carrier, exchange}: Attempt): void {
    const {to, content, isRepeated} = exchange;
    if (isRepeated || content.kind !== 'hold') return;
    const other = this.paths.alternative(to, carrier);
    if (other === null || !this.budget.take()) return;
    exchange.isRepeated = true;
    this.send(other, exchange, withoutWait(content));
  }

  /** By member, when the oldest order was sent since which it told nothing. */
  private owingSince(): ReadonlyMap<string, number> {
    const owing = new Map<string, number>();
    for (const {carrier, sentAt} of this.pending.values()) {
      if ((this.heardAt.get(carrier) ?? 0) >= sentAt) continue;
      const known = owing.get(carrier) ?? Infinity;
      if (sentAt < known) owing.set(carrier, sentAt);
    }
    return owing;
  }

  /** Whether a member that owes the outcome of an order tells nothing. */
  private isQuiet(
    {carrier, sentAt}: Attempt,
    owing: ReadonlyMap<string, number>,
  ): boolean {
    const heardAt = this.heardAt.get(carrier) ?? 0;
    const silentMs = Math.round(performance.now() - Math.max(heardAt, sentAt));
    if (silentMs < QUIET_MS) return false;
    // Where no member answers, this process or its machine may be late itself.
    const othersAnswer = this.options
      .carriers()
      .some(
        ({address}) =>
          address !== carrier && (owing.get(address) ?? Infinity) > sentAt,
      );
    if (!othersAnswer) return false;
    if (this.paths.noteQuiet(carrier)) {
      this.options.logger.warn('order-carrier-avoided', {carrier, silentMs});
    }
    return true;
  }
}

/** The same hold, answered at once. */
function withoutWait({
  order,
}: Extract<OrderContent, {kind: 'hold'}>): OrderContent {
  const timeoutMs = order.timeoutMs - order.waitMs;
  return {kind: 'hold', order: {...order, timeoutMs, waitMs: 0}};
}
