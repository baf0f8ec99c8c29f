import fakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {RecordingLogger} from '../../../runtime/tests/recording_logger.js';
import {OrderGate, type OrderObstacle} from '../../src/owner/order_gate.js';

describe('OrderingWatch', () => {
  let clock: Clock;
  let logger: RecordingLogger;
  let obstacle: OrderObstacle | null;
  let watch: OrderGate;

  beforeEach(() => {
    clock = fakeTimers.install({
      toFake: ['setInterval', 'clearInterval', 'performance'],
    });
    logger = new RecordingLogger();
    obstacle = null;
    watch = new OrderGate(logger, 7, () => obstacle);
  });

  afterEach(() => {
    watch.close();
    clock.uninstall();
  });

  // Guards against a line for each order that has to wait.
  it('writes one line at the begin and one at the end of a pause', () => {
    obstacle = 'lease-over';
    for (let i = 0; i < 1_000; i++)
      expect(watch.maySendOrders()).to.equal(false);
    clock.tick(450);
    for (let i = 0; i < 1_000; i++)
      expect(watch.maySendOrders()).to.equal(false);
    obstacle = null;
    expect(watch.maySendOrders()).to.equal(true);
    expect(watch.maySendOrders()).to.equal(true);
    expect(logger.records).to.deep.equal([
      {level: 'warn', event: 'orders-paused', term: 7, cause: 'lease-over'},
      {
        level: 'info',
        event: 'orders-resumed',
        term: 7,
        cause: 'lease-over',
        pausedMs: 450,
      },
    ]);
  });

  // Guards against two lines for each late heartbeat.
  it('is silent on a pause under 100 ms', () => {
    obstacle = 'paused';
    watch.maySendOrders();
    clock.tick(90);
    obstacle = null;
    watch.maySendOrders();
    clock.tick(1_000);
    expect(logger.records).to.deep.equal([]);
  });

  // Guards against a pause without an end, when no order is waiting.
  it('notices the end of a pause without an order', () => {
    obstacle = 'paused';
    watch.maySendOrders();
    clock.tick(200);
    obstacle = null;
    clock.tick(100);
    expect(logger.of('orders-resumed')).to.have.length(1);
    expect(logger.of('orders-resumed')[0]).to.include({pausedMs: 300});
  });

  // Guards against timers and lines of an owner that has ended.
  it('is silent after its end', () => {
    obstacle = 'lease-over';
    watch.maySendOrders();
    watch.close();
    obstacle = 'closed';
    watch.maySendOrders();
    clock.tick(1_000);
    expect(logger.records).to.deep.equal([]);
    expect(clock.countTimers()).to.equal(0);
  });
});
