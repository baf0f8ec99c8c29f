/** Orders to upstreams that another member carries for the leader. */
import type {
  HoldAnswer,
  HoldOrder,
  StartAnswer,
  StartOrder,
  StopAnswer,
  StopOrder,
  UpstreamTarget,
} from '../upstreams/upstream_port.js';

/** An order with its kind. */
export type OrderContent =
  | {readonly kind: 'start'; readonly order: StartOrder}
  | {readonly kind: 'stop'; readonly order: StopOrder}
  | {readonly kind: 'hold'; readonly order: HoldOrder};

/** What became of an order. */
export type OrderOutcome =
  | {readonly type: 'answered'; readonly answer: OrderAnswer}
  /** It had no effect and never will. */
  | {readonly type: 'not-sent'; readonly cause: string}
  /** It may have an effect, now or later. */
  | {readonly type: 'unanswered'; readonly cause: string};

/** Answer to an order, by its kind. */
export type OrderAnswer = StartAnswer | StopAnswer | HoldAnswer;

/** Asks another member to carry an order. */
export interface OrderMessage {
  readonly type: 'order';
  readonly id: number;
  readonly to: UpstreamTarget;
  readonly content: OrderContent;
}

/** Tells what became of a carried order. */
export interface OrderOutcomeMessage {
  readonly type: 'order-outcome';
  readonly id: number;
  readonly outcome: OrderOutcome;
}

/** Tells that no more orders for an upstream come this way. */
export interface OrdersEndMessage {
  readonly type: 'orders-end';
  readonly to: UpstreamTarget;
}
