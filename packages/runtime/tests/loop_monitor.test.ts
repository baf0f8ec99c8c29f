import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

import fakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {LoopMonitor} from '../src/loop_monitor.js';
import {RecordingLogger} from './recording_logger.js';
import {RecordingMetrics} from './recording_metrics.js';

const {cpuUsage} = process;

describe('LoopMonitor', () => {
  let clock: Clock;
  let logger: RecordingLogger;
  let metrics: RecordingMetrics;
  let monitor: LoopMonitor;
  let usedMs: number;

  beforeEach(() => {
    usedMs = 0;
    process.cpuUsage = previous => ({
      user: usedMs * 1_000 - (previous?.user ?? 0),
      system: 0,
    });
    clock = fakeTimers.install({
      toFake: ['setInterval', 'clearInterval', 'performance'],
    });
    logger = new RecordingLogger();
    metrics = new RecordingMetrics();
    monitor = new LoopMonitor({logger, metrics});
  });

  afterEach(() => {
    monitor.close();
    clock.uninstall();
    process.cpuUsage = cpuUsage;
  });

  async function delayRecords() {
    for (let turn = 0; turn < 4; turn++) {
      await new Promise(resolve => setImmediate(resolve));
    }
    return logger.of('event-loop-delayed');
  }

  // Guards against log lines or nonzero delays while the loop is on time.
  it('logs nothing while timers fire on time', async () => {
    clock.tick(500);
    expect(await delayRecords()).to.deep.equal([]);
    expect(metrics.timings).to.have.length(10);
    expect(metrics.timings.every(([, ms]) => ms === 0)).to.equal(true);
  });

  // Guards against a delay that includes the period or is reported twice.
  it('reports the delay of a late timer once', async () => {
    clock.jump(350);
    clock.tick(200);
    const [line, ...others] = await delayRecords();
    expect(line).to.include({delayMs: 300, spanMs: 350});
    expect(others).to.deep.equal([]);
    expect(metrics.timings[0]).to.deep.equal(['loop.delay', 300]);
  });

  // Guards against CPU time from outside the span that was delayed.
  it('reports the CPU time of the delayed span', async () => {
    usedMs += 30;
    clock.tick(50);
    usedMs += 240;
    clock.jump(300);
    usedMs += 500;
    clock.tick(50);
    expect(await delayRecords()).to.have.length(1);
    expect((await delayRecords())[0]).to.include({spanMs: 300, cpuMs: 240});
  });

  // Guards against losing CPU time that the monitor itself uses during a check.
  it('measures CPU time from one check to the next', async () => {
    metrics.timing = () => (usedMs += 20);
    clock.tick(50);
    clock.jump(300);
    expect((await delayRecords())[0]).to.include({cpuMs: 20});
  });

  // Guards against missing a garbage collection whose performance entry arrives
  // only after the late timer.
  it('counts a garbage collection right before the late timer', async () => {
    setFlagsFromString('--expose-gc');
    const collect = runInNewContext('gc') as () => void;
    const kept = Array.from({length: 400_000}, (_, i) => ({i}));
    await new Promise<void>(resolve => {
      setImmediate(() => {
        collect();
        clock.jump(300);
        resolve();
      });
    });
    expect((await delayRecords())[0]?.['gcMs']).to.be.above(0);
    expect(kept).to.have.length(400_000);
  });

  // Guards against a timer that keeps running after the monitor is closed.
  it('stops checking once it is closed', async () => {
    monitor.close();
    clock.jump(1_000);
    expect(await delayRecords()).to.deep.equal([]);
  });
});
