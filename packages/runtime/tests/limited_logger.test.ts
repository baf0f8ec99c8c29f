import fakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {limitLogger} from '../src/limited_logger.js';
import type {LogFields, Logger} from '../src/logger.js';

class ListLogger implements Logger {
  readonly lines: {readonly event: string; readonly fields?: LogFields}[] = [];

  debug(event: string, fields?: LogFields): void {
    this.add(event, fields);
  }

  info(event: string, fields?: LogFields): void {
    this.add(event, fields);
  }

  warn(event: string, fields?: LogFields): void {
    this.add(event, fields);
  }

  error(event: string, fields?: LogFields): void {
    this.add(event, fields);
  }

  child(): Logger {
    return this;
  }

  count(event: string): number {
    return this.lines.filter(line => line.event === event).length;
  }

  private add(event: string, fields: LogFields = {}): void {
    this.lines.push({event, fields});
  }
}

describe('limitLogger', () => {
  let clock: Clock;
  let sink: ListLogger;

  beforeEach(() => {
    clock = fakeTimers.install();
    sink = new ListLogger();
  });

  afterEach(() => clock.uninstall());

  // Guards against a status line that is lost among thousands of others.
  it('writes a rare event while a frequent one exceeds the limit', () => {
    const logger = limitLogger(sink, {linesPerSecond: 10, burstLines: 10});
    for (let second = 0; second < 3; second++) {
      for (let i = 0; i < 100; i++) logger.info('frequent');
      logger.info('rare');
      clock.tick(1_000);
    }
    expect(sink.count('rare')).to.equal(3);
    expect(sink.count('frequent')).to.be.at.most(10 * 3 + 3);
    logger.close();
  });

  it('reports what it dropped by event', () => {
    const logger = limitLogger(sink, {linesPerSecond: 10, burstLines: 10});
    for (let i = 0; i < 100; i++) logger.info('frequent');
    clock.tick(1_000);
    expect(sink.lines.at(-1)).to.deep.equal({
      event: 'log-lines-dropped',
      fields: {counts: {frequent: 90}},
    });
    logger.close();
  });

  it('always writes errors', () => {
    const logger = limitLogger(sink, {linesPerSecond: 1, burstLines: 1});
    for (let i = 0; i < 100; i++) logger.error('broken');
    expect(sink.count('broken')).to.equal(100);
    logger.close();
  });
});
