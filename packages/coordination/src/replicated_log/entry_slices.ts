/** Slices of a log that fit in one message. */
import type {LogCoreConfig} from './core_state.js';
import type {LogEntry} from './log_entries.js';

/**
 * Returns the entries from an offset on that fit in one message. The first one
 * is included whatever its size, so that every entry can be sent.
 */
export function sliceEntries<C>(
  entries: readonly LogEntry<C>[],
  offset: number,
  limits: Pick<LogCoreConfig, 'maxEntriesPerMessage' | 'maxBytesPerMessage'>,
): readonly LogEntry<C>[] {
  const {maxEntriesPerMessage, maxBytesPerMessage = Infinity} = limits;
  const end = Math.min(offset + maxEntriesPerMessage, entries.length);
  let bytes = 0;
  for (let i = offset; i < end; i++) {
    bytes += entries[i]?.bytes ?? 0;
    if (i > offset && bytes > maxBytesPerMessage) {
      return entries.slice(offset, i);
    }
  }
  return entries.slice(offset, end);
}
