import {expect} from 'chai';

import {RecordingLogger} from '../../../runtime/tests/recording_logger.js';
import {RecordingMetrics} from '../../../runtime/tests/recording_metrics.js';
import {DiskWatch} from '../../src/instance/log_storage.js';

describe('DiskWatch', () => {
  // Guards against a slow disk that only its slow commits tell of, and
  // against a line for each write.
  it('measures all writes, and reports those above 250 ms', () => {
    const logger = new RecordingLogger();
    const metrics = new RecordingMetrics();
    const watch = new DiskWatch(logger, metrics);
    watch.written({bytes: 10, writeMs: 1.5, syncMs: 8});
    watch.written({bytes: 20, writeMs: 49.6, syncMs: 200.4});
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
