/** Storage of the replicated log; measures its writes and logs slow ones. */
import {DiskLogStorage} from '@mustardferry/coordination';
import type {Logger, Metrics} from '@mustardferry/runtime';
import type {DataFolder, JournalWrite} from '@mustardferry/storage';

import type {Command} from '../jobs/commands.js';
import {SEGMENT_BYTES} from './log_timing.js';

/** Time in ms from which a write is logged: much of an election timeout. */
const SLOW_WRITE_THRESHOLD_MS = 250;

/** Records the writes of one log, which never overlap. */
export class LogWriteMonitor {
  constructor(
    private readonly logger: Logger,
    private readonly metrics: Metrics,
  ) {}

  recordWrite({bytes, writeMs, syncMs}: JournalWrite): void {
    this.metrics.timing('log.write', writeMs);
    this.metrics.timing('log.sync', syncMs);
    if (writeMs + syncMs < SLOW_WRITE_THRESHOLD_MS) return;
    this.logger.warn('log-write-slow', {
      bytes,
      writeMs: Math.round(writeMs),
      syncMs: Math.round(syncMs),
    });
  }
}

/** Opens the storage of the log in a member's data folder. */
export function openLogStorage(
  folder: DataFolder,
  monitor: LogWriteMonitor,
): Promise<DiskLogStorage<Command>> {
  return DiskLogStorage.open<Command>({
    files: folder.files,
    folder: folder.folderFor('log'),
    segmentBytes: SEGMENT_BYTES,
    onWritten: write => monitor.recordWrite(write),
  });
}
