/** Carries orders to upstreams for the member that leads. */
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

/** Carries one order. Errors become outcomes. */
export async function carryOrder(
  port: UpstreamPort,
  {id, to, content}: OrderMessage,
): Promise<OrderOutcomeMessage> {
  return {
    type: 'order-outcome',
    id,
    outcome: await outcomeOf(port, to, content),
  };
}

async function outcomeOf(
  port: UpstreamPort,
  to: UpstreamTarget,
  content: OrderContent,
): Promise<OrderOutcome> {
  try {
    return {type: 'answered', answer: await give(port, to, content)};
  } catch (err) {
    const cause = err instanceof Error ? err.message : String(err);
    const type = err instanceof OrderNotSentError ? 'not-sent' : 'unanswered';
    return {type, cause};
  }
}

function give(
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
