/** Relays orders from the leader to upstreams; runs on the carrier. */
import type {Closable, Logger, Metrics} from '@mustardferry/runtime';

import type {
  OrderAnswer,
  OrderContent,
  OrderMessage,
  OrderOutcome,
  OrderOutcomeMessage,
} from '../messages/order_messages.js';
import {MeasuredPort} from '../owner/measured_port.js';
import {OwnerActivity} from '../owner/owner_activity.js';
import {
  OrderNotSentError,
  type UpstreamPort,
  type UpstreamTarget,
} from '../upstreams/upstream_port.js';
import {ProcessClock} from './order_expiry.js';
import type {PauseDetector} from './pause_detector.js';

/** Options of a carrier. */
export interface OrderCarrierOptions {
  /** Detects suspensions, which count for the expiry of orders. */
  readonly pauses: Pick<PauseDetector, 'suspendedMs'>;
  /** Sends orders to upstreams from this instance. */
  readonly port: UpstreamPort;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Interval in ms between reports of the relayed orders. */
const REPORT_INTERVAL_MS = 1_000;

/** Interval in ms between readings of the clock that go to the leader. */
const CLOCK_INTERVAL_MS = 1_000;

/**
 * Relays orders and reports how long the upstreams took to answer them. An
 * order that has expired isn't sent: it waited here or on its way, the leader
 * has given it up, and its upstream may have restarted since.
 */
export class OrderCarrier implements Closable {
  readonly name = 'order-carrier';
  private readonly activity: OwnerActivity;
  private readonly port: UpstreamPort;
  private readonly clock: ProcessClock;
  private readonly timer: NodeJS.Timeout;
  private relayedAt = Number.NEGATIVE_INFINITY;
  private clockSentAt = Number.NEGATIVE_INFINITY;
  private expiredCount = 0;

  constructor(private readonly options: OrderCarrierOptions) {
    this.clock = new ProcessClock(options.pauses);
    this.activity = new OwnerActivity(options.metrics, 'carrier');
    this.port = new MeasuredPort(options.port, this.activity);
    this.timer = setInterval(() => this.report(), REPORT_INTERVAL_MS);
  }

  /** Whether an order was relayed within the last report interval. */
  get isActive(): boolean {
    return performance.now() - this.relayedAt < REPORT_INTERVAL_MS;
  }

  /** Reading of the clock by which orders to this instance expire. */
  get clockMs(): number {
    return this.clock.nowMs;
  }

  async relayOrder(message: OrderMessage): Promise<OrderOutcomeMessage> {
    this.relayedAt = performance.now();
    const {expiresAtMs} = message;
    const leftMs =
      expiresAtMs === undefined
        ? Infinity
        : this.clock.getTimeLeftMs(expiresAtMs);
    if (leftMs === 0) return this.refuseExpired(message);
    const reply = await relayOrder(this.port, limitTimeout(message, leftMs));
    return this.isClockDue() ? {...reply, clockMs: this.clockMs} : reply;
  }

  close(): void {
    clearInterval(this.timer);
  }

  private refuseExpired({id}: OrderMessage): OrderOutcomeMessage {
    this.expiredCount++;
    this.options.metrics.increment('carrier.expired');
    const outcome = {type: 'not-sent', cause: 'expired'} as const;
    return {type: 'order-outcome', id, outcome, clockMs: this.clockMs};
  }

  private isClockDue(): boolean {
    const now = performance.now();
    if (now - this.clockSentAt < CLOCK_INTERVAL_MS) return false;
    this.clockSentAt = now;
    return true;
  }

  private report(): void {
    const {steps, unanswered, notSent, cpuMs} = this.activity.takeReport();
    const {expiredCount: expired} = this;
    this.expiredCount = 0;
    if (Object.keys(steps).length === 0 && expired === 0) return;
    const fields = {unanswered, notSent, expired, cpuMs, steps};
    this.options.logger.info('carrier-status', fields);
  }
}

/** Returns an order whose answer is not waited for beyond its expiry. */
function limitTimeout(message: OrderMessage, leftMs: number): OrderMessage {
  const {content} = message;
  if (content.order.timeoutMs <= leftMs) return message;
  const order = {...content.order, timeoutMs: leftMs};
  return {...message, content: {...content, order} as OrderContent};
}

/** Relays one order. Errors are returned as outcomes. */
export async function relayOrder(
  port: UpstreamPort,
  {id, to, content}: OrderMessage,
): Promise<OrderOutcomeMessage> {
  return {
    type: 'order-outcome',
    id,
    outcome: await getOutcome(port, to, content),
  };
}

async function getOutcome(
  port: UpstreamPort,
  to: UpstreamTarget,
  content: OrderContent,
): Promise<OrderOutcome> {
  try {
    return {type: 'answered', answer: await sendOrder(port, to, content)};
  } catch (err) {
    const cause = err instanceof Error ? err.message : String(err);
    const type = err instanceof OrderNotSentError ? 'not-sent' : 'unanswered';
    return {type, cause};
  }
}

function sendOrder(
  port: UpstreamPort,
  to: UpstreamTarget,
  content: OrderContent,
): Promise<OrderAnswer> {
  switch (content.kind) {
    case 'start':
      return port.start(to, content.order);
    case 'stop':
      return port.stop(to, content.order);
    case 'hold':
      return port.hold(to, content.order);
  }
}
