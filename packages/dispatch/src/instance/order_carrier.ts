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

/** Options of a carrier. */
export interface OrderCarrierOptions {
  /** Sends orders to upstreams from this instance. */
  readonly port: UpstreamPort;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Interval in ms between reports of the relayed orders. */
const REPORT_INTERVAL_MS = 1_000;

/** Relays orders and reports how long the upstreams took to answer them. */
export class OrderCarrier implements Closable {
  readonly name = 'order-carrier';
  private readonly activity: OwnerActivity;
  private readonly port: UpstreamPort;
  private readonly timer: NodeJS.Timeout;
  private relayedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: OrderCarrierOptions) {
    this.activity = new OwnerActivity(options.metrics, 'carrier');
    this.port = new MeasuredPort(options.port, this.activity);
    this.timer = setInterval(() => this.report(), REPORT_INTERVAL_MS);
  }

  /** Whether an order was relayed within the last report interval. */
  get isActive(): boolean {
    return performance.now() - this.relayedAt < REPORT_INTERVAL_MS;
  }

  relayOrder(message: OrderMessage): Promise<OrderOutcomeMessage> {
    this.relayedAt = performance.now();
    return relayOrder(this.port, message);
  }

  close(): void {
    clearInterval(this.timer);
  }

  private report(): void {
    const {steps, unanswered, notSent, cpuMs} = this.activity.takeReport();
    if (Object.keys(steps).length === 0) return;
    const fields = {unanswered, notSent, cpuMs, steps};
    this.options.logger.info('carrier-status', fields);
  }
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
