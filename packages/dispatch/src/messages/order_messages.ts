/**
 * Messages between the leader and a carrier: a member that relays orders to
 * upstreams on behalf of the leader.
 */
import type {
  HoldAnswer,
  HoldOrder,
  StartAnswer,
  StartOrder,
  StopAnswer,
  StopOrder,
  UpstreamTarget,
} from '../upstreams/upstream_port.js';

/** An order, tagged with its kind. */
export type OrderContent =
  | {readonly kind: 'start'; readonly order: StartOrder}
  | {readonly kind: 'stop'; readonly order: StopOrder}
  | {readonly kind: 'hold'; readonly order: HoldOrder};

/** Outcome of a relayed order. */
export type OrderOutcome =
  | {readonly type: 'answered'; readonly answer: OrderAnswer}
  /** The order has no effect and never will. */
  | {readonly type: 'not-sent'; readonly cause: string}
  /** The order may take effect, now or later. */
  | {readonly type: 'unanswered'; readonly cause: string};

/** An upstream's answer; its type depends on the kind of the order. */
export type OrderAnswer = StartAnswer | StopAnswer | HoldAnswer;

/** Asks a carrier to relay an order to an upstream. */
export interface OrderMessage {
  readonly type: 'order';
  readonly id: number;
  readonly to: UpstreamTarget;
  readonly content: OrderContent;
  /**
   * Reading of the carrier's clock from which it must not send the order any
   * more; absent from leaders of earlier programs.
   */
  readonly expiresAtMs?: number;
}

/** Reports the outcome of a relayed order to the leader. */
export interface OrderOutcomeMessage {
  readonly type: 'order-outcome';
  readonly id: number;
  readonly outcome: OrderOutcome;
  /** Reading of the carrier's clock; not in every message. */
  readonly clockMs?: number;
}

/** Tells a carrier to close its connections to an upstream. */
export interface OrdersEndMessage {
  readonly type: 'orders-end';
  readonly to: UpstreamTarget;
}
