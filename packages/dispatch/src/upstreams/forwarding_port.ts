/** Base class of ports that add something to another port. */
import {
  type HoldAnswer,
  type HoldOrder,
  type StartAnswer,
  type StartOrder,
  type StopAnswer,
  type StopOrder,
  UpstreamPort,
  type UpstreamTarget,
} from './upstream_port.js';

/** Forwards all orders to another port. */
export abstract class ForwardingPort extends UpstreamPort {
  constructor(protected readonly port: UpstreamPort) {
    super();
  }

  override start(to: UpstreamTarget, order: StartOrder): Promise<StartAnswer> {
    return this.port.start(to, order);
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
