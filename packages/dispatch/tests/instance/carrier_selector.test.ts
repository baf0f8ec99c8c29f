import {expect} from 'chai';

import {CarrierSelector} from '../../src/instance/carrier_selector.js';
import {CARRIERS, POOL_SIZE} from './relay_fixture.js';

/**
 * Replays a takeover: the leader that froze is still connected, and the next
 * one asks all upstreams at once. Orders through the frozen one would be
 * unanswered for half a second, and each of its upstreams without new tasks.
 */
describe('CarrierSelector after the loss of a leader', () => {
  let selector: CarrierSelector;

  beforeEach(() => {
    selector = new CarrierSelector(
      () => CARRIERS,
      () => POOL_SIZE,
    );
    selector.startTerm('m3');
  });

  /** Selects a carrier for each upstream; returns the number by carrier. */
  function selectAll(): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {m1: 0, m2: 0, m3: 0};
    for (let i = 0; i < POOL_SIZE; i++) {
      const dataCentre = i % 2 === 0 ? 'a' : 'b';
      const address = `10.0.0.${i}:1`;
      const to = {id: `u${i}`, address, startedAt: 1, dataCentre};
      const carrier = selector.selectCarrier(to) ?? 'leader';
      counts[carrier] = (counts[carrier] ?? 0) + 1;
    }
    return counts;
  }

  it('sends no order through a silent leader', () => {
    const {m1 = 0, m2 = 0, m3} = selectAll();
    expect(m3).to.equal(0);
    expect(m1 + m2).to.equal(POOL_SIZE);
    expect(Math.min(m1, m2)).to.be.at.least(POOL_SIZE / 4);
  });

  it('uses it for its data centre again once it is heard', () => {
    selectAll();
    selector.memberHeard('m1');
    expect(selectAll()).to.include({m3: 0});
    selector.memberHeard('m3');
    expect(selectAll()).to.include({m3: POOL_SIZE / 2});
  });

  it('uses all members in a term that a transfer began', () => {
    selector.startTerm(null);
    expect(selectAll()).to.include({m3: POOL_SIZE / 2});
  });
});

describe('CarrierSelector with 60 upstreams', () => {
  // Guards against a leader that spends its processor on HTTP exchanges: with
  // 60 upstreams and 0.6 of a core it had no time left for its decisions.
  it('leaves no order to the leader itself', () => {
    const selector = new CarrierSelector(
      () => CARRIERS,
      () => 60,
    );
    const carriers = Array.from({length: 60}, (_, i) =>
      selector.selectCarrier({
        id: `u${i}`,
        address: `10.0.0.${i}:1`,
        startedAt: 1,
        dataCentre: 'a',
      }),
    );
    expect(carriers).to.not.include(null);
  });
});
