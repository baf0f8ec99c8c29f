/** Limits how long starts wait for their answers, by the usual answer time. */
import {OrderTimeout} from '@mustardferry/decisions';

import {ForwardingPort} from '../upstreams/forwarding_port.js';
import type {
  StartAnswer,
  StartOrder,
  UpstreamTarget,
} from '../upstreams/upstream_port.js';
import {SESSION_TIMING} from './session_timing.js';

/** Forwards orders to another port; shortens the timeouts of starts. */
export class StartTimeoutPort extends ForwardingPort {
  private readonly timeout = new OrderTimeout({
    minMs: SESSION_TIMING.minStartMs,
    maxMs: SESSION_TIMING.startMs,
  });

  override async start(
    to: UpstreamTarget,
    order: StartOrder,
  ): Promise<StartAnswer> {
    const sentAt = performance.now();
    const timeoutMs = Math.min(order.timeoutMs, this.timeout.timeoutMs);
    const answer = await super.start(to, {...order, timeoutMs});
    this.timeout.recordAnswer(performance.now() - sentAt);
    return answer;
  }
}
