import fakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {RecordingLogger} from '../../../runtime/tests/recording_logger.js';
import {OrderGate, type OrderObstacle} from '../../src/owner/order_gate.js';

describe('OrderGate', () => {
  let clock: Clock;
  let logger: RecordingLogger;
  let obstacle: OrderObstacle | null;
  let gate: OrderGate;

  beforeEach(() => {
    clock = fakeTimers.install({
      toFake: ['setInterval', 'clearInterval', 'performance'],
    });
    logger = new RecordingLogger();
    obstacle = null;
    gate = new OrderGate(logger, 7, () => obstacle);
  });

  afterEach(() => {
    gate.close();
    clock.uninstall();
  });

  // Guards against one log line for each order that has to wait.
  it('logs one line at the start and one at the end of a pause', () => {
    obstacle = 'lease-over';
    for (let i = 0; i < 1_000; i++)
      expect(gate.maySendOrders()).to.equal(false);
    clock.tick(450);
    for (let i = 0; i < 1_000; i++)
      expect(gate.maySendOrders()).to.equal(false);
    obstacle = null;
    expect(gate.maySendOrders()).to.equal(true);
    expect(gate.maySendOrders()).to.equal(true);
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

  // Guards against two log lines for each late heartbeat.
  it('logs nothing for a pause under 100 ms', () => {
    obstacle = 'paused';
    gate.maySendOrders();
    clock.tick(90);
    obstacle = null;
    gate.maySendOrders();
    clock.tick(1_000);
    expect(logger.records).to.deep.equal([]);
  });

  // Guards against a missing end of a pause when no order is waiting.
  it('logs the end of a pause even if no order is sent', () => {
    obstacle = 'paused';
    gate.maySendOrders();
    clock.tick(200);
    obstacle = null;
    clock.tick(100);
    expect(logger.of('orders-resumed')).to.have.length(1);
    expect(logger.of('orders-resumed')[0]).to.include({pausedMs: 300});
  });

  // Guards against timers and log lines of a closed owner.
  it('logs nothing after it is closed', () => {
    obstacle = 'lease-over';
    gate.maySendOrders();
    gate.close();
    obstacle = 'closed';
    gate.maySendOrders();
    clock.tick(1_000);
    expect(logger.records).to.deep.equal([]);
    expect(clock.countTimers()).to.equal(0);
  });
});
