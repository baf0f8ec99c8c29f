/** Measures how long an owner's orders take. */
import {
  type HoldAnswer,
  type HoldOrder,
  OrderNotSentError,
  type StartAnswer,
  type StartOrder,
  type StopAnswer,
  type StopOrder,
  UpstreamPort,
  type UpstreamTarget,
} from '../upstreams/upstream_port.js';
import type {MeasuredStep, OwnerActivity} from './owner_activity.js';

/** Forwards orders to another port and records how long their answers took. */
export class MeasuredPort extends UpstreamPort {
  constructor(
    private readonly port: UpstreamPort,
    private readonly activity: OwnerActivity,
  ) {
    super();
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

  override releaseUpstream(to: UpstreamTarget): void {
    this.port.releaseUpstream(to);
  }

  private async measureOrder<A>(
    step: MeasuredStep,
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
      this.activity.recordDuration(step, performance.now() - sentAt);
    }
  }
}
