/** Carriers and the upstreams to which they relay orders. */
import type {Carrier} from '../../src/instance/carrier_selector.js';
import {
  type HoldOrder,
  OrderUnansweredError,
  type UpstreamTarget,
} from '../../src/upstreams/upstream_port.js';
import {FakePort} from '../fake_upstreams.js';

export const HOLD: HoldOrder = {
  token: 1,
  timeoutMs: 200,
  acknowledged: 0,
  waitMs: 0,
};

/** Number of upstreams, above the limit for sending all orders directly. */
export const POOL_SIZE = 70;

/** Counts holds, and can be disconnected from all upstreams. */
export class CountingPort extends FakePort {
  holds = 0;
  isReachable = true;
  readonly released: UpstreamTarget[] = [];

  override hold(to: UpstreamTarget, order: HoldOrder) {
    this.holds++;
    if (!this.isReachable)
      return Promise.reject(new OrderUnansweredError('cut'));
    return super.hold(to, order);
  }

  override releaseUpstream(to?: UpstreamTarget): void {
    if (to) this.released.push(to);
  }
}

/** Carriers that are connected at the start of a test. */
export const CARRIERS: readonly Carrier[] = [
  {address: 'm1', dataCentre: 'a'},
  {address: 'm2', dataCentre: 'a'},
  {address: 'm3', dataCentre: 'b'},
];
