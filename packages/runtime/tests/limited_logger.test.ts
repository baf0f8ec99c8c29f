import fakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {limitLogger} from '../src/limited_logger.js';
import {RecordingLogger} from './recording_logger.js';

describe('limitLogger', () => {
  let clock: Clock;
  let sink: RecordingLogger;
  let logger: ReturnType<typeof limitLogger>;

  beforeEach(() => {
    clock = fakeTimers.install({
      toFake: ['setInterval', 'clearInterval', 'performance'],
    });
    sink = new RecordingLogger();
    logger = limitLogger(sink, {
      linesPerSecond: 20,
      burstLines: 20,
      reservedLines: 3,
    });
  });

  afterEach(() => {
    void logger.close();
    clock.uninstall();
  });

  function write(event: string, count: number): void {
    for (let i = 0; i < count; i++) logger.info(event);
  }

  // Guards against a dropped owner-status in a second with many starts.
  it('lets rare events pass while a frequent one is dropped', () => {
    write('often', 100);
    write('rare', 2);
    expect(sink.of('rare')).to.have.length(2);
    expect(sink.of('often')).to.have.length(23);
  });

  // Guards against lines that are lost without a trace.
  it('counts what it drops by event, once a second', () => {
    write('often', 100);
    write('other', 5);
    clock.tick(1_000);
    expect(sink.of('log-lines-dropped')).to.deep.equal([
      {
        level: 'warn',
        event: 'log-lines-dropped',
        counts: {often: 77, other: 2},
      },
    ]);
  });

  // Guards against a volume without bound: the reserve is one of each second.
  it('keeps the volume of each event bounded', () => {
    for (let second = 0; second < 5; second++) {
      write('often', 1_000);
      clock.tick(1_000);
    }
    expect(sink.of('often')).to.have.length(5 * 23);
  });

  // Guards against errors that are dropped, and warnings that wait for room.
  it('keeps errors and warnings apart from routine lines', () => {
    write('often', 100);
    for (let i = 0; i < 30; i++) logger.error('failed');
    for (let i = 0; i < 20; i++) logger.warn('warned');
    expect(sink.of('failed')).to.have.length(30);
    expect(sink.of('warned')).to.have.length(20);
  });
});
