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
import {type Carrier, OrderPaths} from './order_paths.js';
import {RepeatBudget} from './repeat_budget.js';

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

interface Pending {
  readonly carrier: string;
  readonly sentAt: number;
  /** Key of the upstream's life. */
  readonly life: string;
  readonly settle: (outcome: OrderOutcome) => void;
  /** Ends the wait without an outcome. */
  readonly drop: () => void;
}

/** One way of giving an order. */
interface Attempt {
  readonly carrier: string;
  readonly to: UpstreamTarget;
  readonly content: OrderContent;
  /** Time after which no outcome is waited for. */
  readonly endsAt: number;
  readonly onOutcome: (outcome: OrderOutcome) => void;
  /** Told repeatedly while the outcome is overdue and the member quiet. */
  readonly onQuiet: () => void;
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
  private readonly pending = new Map<number, Pending>();
  private readonly heardAt = new Map<string, number>();
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

  override release(to: UpstreamTarget): void {
    for (const carrier of this.paths.release(to)) {
      this.options.send(carrier, {type: 'orders-end', to});
    }
    const life = lifeKey(to);
    for (const each of [...this.pending.values()]) {
      if (each.life !== life) continue;
      each.settle({type: 'unanswered', cause: 'upstream released'});
    }
    this.options.direct.release(to);
  }

  /** Takes what a member tells of an order that it carried. */
  outcome(carrier: string, id: number, outcome: OrderOutcome): void {
    this.heardAt.set(carrier, performance.now());
    this.paths.noteHeard(carrier);
    this.pending.get(id)?.settle(outcome);
  }

  /** A connection to a member ended; what it carried may still arrive. */
  lost(carrier: string): void {
    this.paths.noteHeard(carrier);
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
    return new Promise(resolve => {
      const open = new Set<number>();
      const send = (by: string, what: OrderContent, onQuiet: () => void) => {
        const id = this.nextId++;
        open.add(id);
        const onOutcome = (outcome: OrderOutcome) => {
          open.delete(id);
          if (outcome.type !== 'answered') {
            this.paths.failed(to, by);
            if (open.size > 0) return;
          }
          for (const other of open) this.pending.get(other)?.drop();
          resolve({...outcome, carrier: by});
        };
        const attempt = {carrier: by, to, content: what, endsAt};
        this.send(id, {...attempt, onOutcome, onQuiet});
      };
      let isRepeated = false;
      send(carrier, content, () => {
        if (isRepeated || content.kind !== 'hold') return;
        const other = this.paths.alternative(to, carrier);
        if (other === null || !this.budget.take()) return;
        isRepeated = true;
        send(other, withoutWait(content), () => undefined);
      });
    });
  }

  private send(id: number, attempt: Attempt): void {
    const {carrier, to, content} = attempt;
    const sentAt = performance.now();
    const drop = () => {
      clearTimeout(timer);
      this.pending.delete(id);
    };
    const settle = (outcome: OrderOutcome) => {
      drop();
      attempt.onOutcome(outcome);
    };
    // Outcomes that arrived while the process was busy are read first.
    const arm = (ms: number, due: () => void) =>
      setTimeout(() => setImmediate(() => this.pending.has(id) && due()), ms);
    const check = () => {
      if (performance.now() >= attempt.endsAt) {
        this.paths.noteHeard(carrier);
        settle({type: 'unanswered', cause: 'no outcome in time'});
        return;
      }
      timer = arm(HOP_MS, check);
      if (this.isQuiet(carrier, sentAt)) attempt.onQuiet();
    };
    let timer = arm(content.order.timeoutMs + HOP_MS, check);
    const life = lifeKey(to);
    this.pending.set(id, {carrier, sentAt, life, settle, drop});
    const message: OrderMessage = {type: 'order', id, to, content};
    if (this.options.send(carrier, message)) return;
    settle({type: 'not-sent', cause: 'not connected'});
  }

  /** Whether a member that owes the outcome of an order tells nothing. */
  private isQuiet(carrier: string, sentAt: number): boolean {
    const heardAt = this.heardAt.get(carrier) ?? 0;
    const silentMs = Math.round(performance.now() - Math.max(heardAt, sentAt));
    if (silentMs < QUIET_MS) return false;
    if (!this.othersAnswer(carrier, sentAt)) return false;
    if (this.paths.noteQuiet(carrier)) {
      this.options.logger.warn('order-carrier-avoided', {carrier, silentMs});
    }
    return true;
  }

  /** Where no member answers, this process or its machine may be the late one. */
  private othersAnswer(carrier: string, sentAt: number): boolean {
    const waiting = new Set<string>();
    for (const each of this.pending.values()) {
      const heardAt = this.heardAt.get(each.carrier) ?? 0;
      if (each.sentAt <= sentAt && heardAt < each.sentAt) {
        waiting.add(each.carrier);
      }
    }
    return this.options
      .carriers()
      .some(({address}) => address !== carrier && !waiting.has(address));
  }
}

/** The same hold, answered at once. */
function withoutWait({
  order,
}: Extract<OrderContent, {kind: 'hold'}>): OrderContent {
  const timeoutMs = order.timeoutMs - order.waitMs;
  return {kind: 'hold', order: {...order, timeoutMs, waitMs: 0}};
}
