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

  function logRepeatedly(event: string, count: number): void {
    for (let i = 0; i < count; i++) logger.info(event);
  }

  // Guards against dropping owner-status in a second with many task starts.
  it('lets rare events pass while a frequent one is dropped', () => {
    logRepeatedly('often', 100);
    logRepeatedly('rare', 2);
    expect(sink.of('rare')).to.have.length(2);
    expect(sink.of('often')).to.have.length(23);
  });

  // Guards against lines that are dropped without being counted.
  it('reports the dropped lines of each event once per second', () => {
    logRepeatedly('often', 100);
    logRepeatedly('other', 5);
    clock.tick(1_000);
    expect(sink.of('log-lines-dropped')).to.deep.equal([
      {
        level: 'warn',
        event: 'log-lines-dropped',
        counts: {often: 77, other: 2},
      },
    ]);
  });

  // Guards against unbounded volume: the allowance of an event is per second.
  it('keeps the volume of each event bounded', () => {
    for (let second = 0; second < 5; second++) {
      logRepeatedly('often', 1_000);
      clock.tick(1_000);
    }
    expect(sink.of('often')).to.have.length(5 * 23);
  });

  // Guards against dropped errors, and warnings dropped because of info lines.
  it('limits neither errors nor warnings by the volume of info lines', () => {
    logRepeatedly('often', 100);
    for (let i = 0; i < 30; i++) logger.error('failed');
    for (let i = 0; i < 20; i++) logger.warn('warned');
    expect(sink.of('failed')).to.have.length(30);
    expect(sink.of('warned')).to.have.length(20);
  });
});
