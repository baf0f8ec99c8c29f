/** Measures how long an owner's orders take. */
import {ForwardingPort} from '../upstreams/forwarding_port.js';
import {
  type HoldAnswer,
  type HoldOrder,
  OrderNotSentError,
  type StartAnswer,
  type StartOrder,
  type StopAnswer,
  type StopOrder,
  type UpstreamPort,
  type UpstreamTarget,
} from '../upstreams/upstream_port.js';
import type {MeasuredOrder, OwnerActivity} from './owner_activity.js';

/** Forwards orders to another port and records how long their answers took. */
export class MeasuredPort extends ForwardingPort {
  constructor(
    port: UpstreamPort,
    private readonly activity: OwnerActivity,
  ) {
    super(port);
  }

  override start(to: UpstreamTarget, order: StartOrder): Promise<StartAnswer> {
    return this.measureOrder('start', () => this.port.start(to, order));
  }

  override stop(to: UpstreamTarget, order: StopOrder): Promise<StopAnswer> {
    return this.measureOrder('stop', () => this.port.stop(to, order));
  }

  override hold(to: UpstreamTarget, order: HoldOrder): Promise<HoldAnswer> {
    return this.measureOrder('hold', () => this.port.hold(to, order));
  }

  private async measureOrder<A>(
    kind: MeasuredOrder,
    order: () => Promise<A>,
  ): Promise<A> {
    const sentAt = performance.now();
    try {
      return await order();
    } catch (err) {
      const wasSent = !(err instanceof OrderNotSentError);
      this.activity.count(wasSent ? 'unanswered' : 'notSent');
      throw err;
    } finally {
      this.activity.recordOrder(kind, performance.now() - sentAt);
    }
  }
}
