/** Relays orders from the leader to upstreams; runs on the carrier. */
import type {
  OrderAnswer,
  OrderContent,
  OrderMessage,
  OrderOutcome,
  OrderOutcomeMessage,
} from '../messages/order_messages.js';
import {
  OrderNotSentError,
  type UpstreamPort,
  type UpstreamTarget,
} from '../upstreams/upstream_port.js';

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
