/** The log's files; measures their writes, and reports slow ones. */
import {DiskLogStorage} from '@mustardferry/coordination';
import type {Logger, Metrics} from '@mustardferry/runtime';
import type {DataFolder, JournalWrite} from '@mustardferry/storage';

import type {Command} from '../jobs/commands.js';
import {SEGMENT_BYTES} from './log_timing.js';

/** Time in ms beyond which a write is reported: most of an election timeout. */
const SLOW_WRITE_MS = 250;

/** Takes the writes of one log, which don't overlap. */
export class DiskWatch {
  constructor(
    private readonly logger: Logger,
    private readonly metrics: Metrics,
  ) {}

  written({bytes, writeMs, syncMs}: JournalWrite): void {
    this.metrics.timing('log.write', writeMs);
    this.metrics.timing('log.sync', syncMs);
    if (writeMs + syncMs < SLOW_WRITE_MS) return;
    this.logger.warn('log-write-slow', {
      bytes,
      writeMs: Math.round(writeMs),
      syncMs: Math.round(syncMs),
    });
  }
}

/** Opens the storage of the log in a member's folder. */
export function openLogStorage(
  folder: DataFolder,
  watch: DiskWatch,
): Promise<DiskLogStorage<Command>> {
  return DiskLogStorage.open<Command>({
    files: folder.files,
    folder: folder.folderFor('log'),
    segmentBytes: SEGMENT_BYTES,
    onWritten: write => watch.written(write),
  });
}
