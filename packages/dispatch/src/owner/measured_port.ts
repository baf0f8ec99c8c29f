/** Measures the orders of an owner. */
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

/** Passes orders on, and notes how long their answers took. */
export class MeasuredPort extends UpstreamPort {
  constructor(
    private readonly port: UpstreamPort,
    private readonly activity: OwnerActivity,
  ) {
    super();
  }

  override start(to: UpstreamTarget, order: StartOrder): Promise<StartAnswer> {
    return this.measured('start', () => this.port.start(to, order));
  }

  override stop(to: UpstreamTarget, order: StopOrder): Promise<StopAnswer> {
    return this.measured('stop', () => this.port.stop(to, order));
  }

  override hold(to: UpstreamTarget, order: HoldOrder): Promise<HoldAnswer> {
    return this.measured('hold', () => this.port.hold(to, order));
  }

  override releaseUpstream(to: UpstreamTarget): void {
    this.port.releaseUpstream(to);
  }

  private async measured<A>(
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
