/** Limits how long starts wait for their answers, by the usual answer time. */
import {OrderTimeout} from '@mustardferry/decisions';

import {
  type HoldAnswer,
  type HoldOrder,
  type StartAnswer,
  type StartOrder,
  type StopAnswer,
  type StopOrder,
  UpstreamPort,
  type UpstreamTarget,
} from '../upstreams/upstream_port.js';
import {SESSION_TIMING} from './session_timing.js';

/** Forwards orders to another port; shortens the timeouts of starts. */
export class StartTimeoutPort extends UpstreamPort {
  private readonly timeout = new OrderTimeout({
    minMs: SESSION_TIMING.minStartMs,
    maxMs: SESSION_TIMING.startMs,
  });

  constructor(private readonly port: UpstreamPort) {
    super();
  }

  override async start(
    to: UpstreamTarget,
    order: StartOrder,
  ): Promise<StartAnswer> {
    const sentAt = performance.now();
    const timeoutMs = Math.min(order.timeoutMs, this.timeout.timeoutMs);
    const answer = await this.port.start(to, {...order, timeoutMs});
    this.timeout.recordAnswer(performance.now() - sentAt);
    return answer;
  }

  override stop(to: UpstreamTarget, order: StopOrder): Promise<StopAnswer> {
    return this.port.stop(to, order);
  }

  override hold(to: UpstreamTarget, order: HoldOrder): Promise<HoldAnswer> {
    return this.port.hold(to, order);
  }

  override releaseUpstream(to: UpstreamTarget): void {
    this.port.releaseUpstream(to);
  }
}
