/** Members that carry orders, and the upstreams that they reach. */
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

/** Upstreams of which the last need other members to carry orders. */
export const COUNT = 70;

/** Counts holds; may be cut off from all upstreams. */
export class CountingPort extends FakePort {
  holds = 0;
  reaches = true;
  readonly released: UpstreamTarget[] = [];

  override hold(to: UpstreamTarget, order: HoldOrder) {
    this.holds++;
    if (!this.reaches) return Promise.reject(new OrderUnansweredError('cut'));
    return super.hold(to, order);
  }

  override releaseUpstream(to?: UpstreamTarget): void {
    if (to) this.released.push(to);
  }
}

/** Members that are connected at first. */
export const MEMBERS: readonly Carrier[] = [
  {address: 'm1', dataCentre: 'a'},
  {address: 'm2', dataCentre: 'a'},
  {address: 'm3', dataCentre: 'b'},
];
