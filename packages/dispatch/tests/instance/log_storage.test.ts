import {expect} from 'chai';

import {RecordingLogger} from '../../../runtime/tests/recording_logger.js';
import {RecordingMetrics} from '../../../runtime/tests/recording_metrics.js';
import {LogWriteMonitor} from '../../src/instance/log_storage.js';

describe('LogWriteMonitor', () => {
  // Guards against a slow disk that shows only in slow commits, and against a
  // log line for each write.
  it('measures all writes, and logs those of 250 ms or more', () => {
    const logger = new RecordingLogger();
    const metrics = new RecordingMetrics();
    const monitor = new LogWriteMonitor(logger, metrics);
    monitor.recordWrite({bytes: 10, writeMs: 1.5, syncMs: 8});
    monitor.recordWrite({bytes: 20, writeMs: 49.6, syncMs: 200.4});
    expect(logger.records).to.deep.equal([
      {
        level: 'warn',
        event: 'log-write-slow',
        bytes: 20,
        writeMs: 50,
        syncMs: 200,
      },
    ]);
    expect(metrics.timings).to.deep.equal([
      ['log.write', 1.5],
      ['log.sync', 8],
      ['log.write', 49.6],
      ['log.sync', 200.4],
    ]);
  });
});
