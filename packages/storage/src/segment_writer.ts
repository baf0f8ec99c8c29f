/** Segment files of a journal: writing, rotation and truncation. */
import type {FileSystem, OpenFile} from './file_system.js';
import {
  encodeFrame,
  encodeSegmentHeader,
  SEGMENT_HEADER_BYTES,
} from './journal_format.js';
import {
  type JournalRecord,
  listSegments,
  offsetOf,
  scanSegment,
  type Segment,
  segmentPath,
  type TornTail,
  uncheckedSegment,
} from './journal_segments.js';
import {JournalClosedError, JournalCorruptError} from './storage_errors.js';

/** Options of a journal. */
export interface JournalOptions {
  readonly files: FileSystem;
  /** Created when missing; holds nothing but this journal. */
  readonly folder: string;
  /** Size from which a new segment file is started. Default 16 MiB. */
  readonly segmentBytes?: number;
  /**
   * Which segments are read while the journal is opened. With `newest`, the
   * older ones are checked when they are read, and `onRecord` misses them.
   * Default `all`.
   */
  readonly checkOnOpen?: 'all' | 'newest';
  /** Called for each record, oldest first, while the journal is opened. */
  readonly onRecord?: (record: JournalRecord) => void;
  /** Called after each write of records. */
  readonly onWritten?: (write: JournalWrite) => void;
}

/** One write of records with its sync. */
export interface JournalWrite {
  readonly bytes: number;
  /** Time in ms until all bytes were written, with that for a new segment. */
  readonly writeMs: number;
  readonly syncMs: number;
}

/** Records with the sequence of the first one. */
export interface RecordBatch {
  readonly records: readonly Uint8Array[];
  readonly first: number;
}

const DEFAULT_SEGMENT_BYTES = 16 * 1_024 * 1_024;

async function createSegment(
  options: JournalOptions,
  first: number,
): Promise<{readonly segment: Segment; readonly file: OpenFile}> {
  const {files, folder} = options;
  const path = segmentPath(folder, first);
  const file = await files.open(path);
  await file.truncate(0);
  await file.write(encodeSegmentHeader(first), 0);
  await file.sync();
  await files.syncFolder(folder);
  const bytes = SEGMENT_HEADER_BYTES;
  return {segment: {path, first, next: first, bytes}, file};
}

/** Opens the newest segment for appending, without a torn tail. */
async function openActive(
  options: JournalOptions,
  segments: Segment[],
): Promise<OpenFile> {
  const newest = segments.at(-1);
  if (newest === undefined || newest.bytes === 0) {
    segments.pop();
    const created = await createSegment(options, newest?.first ?? 1);
    segments.push(created.segment);
    return created.file;
  }
  const file = await options.files.open(newest.path);
  await file.truncate(newest.bytes);
  await file.sync();
  return file;
}

/** Owns the segment files; its operations must not overlap. */
export class SegmentWriter {
  private readonly segmentBytes: number;
  private syncCount = 0;

  private constructor(
    private readonly options: JournalOptions,
    private readonly segments: Segment[],
    private active: OpenFile,
  ) {
    this.segmentBytes = options.segmentBytes ?? DEFAULT_SEGMENT_BYTES;
  }

  /** Reads and checks all segments and cuts off a torn tail. */
  static async open(options: JournalOptions): Promise<{
    readonly writer: SegmentWriter;
    readonly torn: TornTail | undefined;
  }> {
    const {files, folder, onRecord = () => undefined} = options;
    await files.makeFolder(folder);
    const paths = await listSegments(files, folder);
    const segments: Segment[] = [];
    let torn: TornTail | undefined;
    for (const [i, path] of paths.entries()) {
      const follower = paths[i + 1];
      if (follower !== undefined && options.checkOnOpen === 'newest') {
        segments.push(uncheckedSegment(path, follower));
        continue;
      }
      const newest = follower === undefined;
      const scan = await scanSegment(files, path, newest, onRecord);
      const expected = segments.at(-1)?.next ?? scan.segment.first;
      if (scan.segment.first !== expected) {
        const reason = `records from ${expected} are missing before it`;
        throw new JournalCorruptError(path, 0, reason);
      }
      segments.push(scan.segment);
      torn = scan.torn;
    }
    const active = await openActive(options, segments);
    return {writer: new SegmentWriter(options, segments, active), torn};
  }

  get firstIndex(): number {
    return this.segments[0]?.first ?? 1;
  }

  get nextIndex(): number {
    return this.last().next;
  }

  get syncs(): number {
    return this.syncCount;
  }

  /** Drops whole segments whose records are all before `index`. */
  async truncateBefore(index: number): Promise<void> {
    const {first, next} = this.last();
    // Otherwise each start would read records that nobody needs.
    if (next > first && next <= index) await this.startSegment();
    const {files, folder} = this.options;
    const kept = this.segments.findIndex(segment => segment.next > index);
    const count = kept === -1 ? this.segments.length - 1 : kept;
    if (count === 0) return;
    for (const segment of this.segments.splice(0, count)) {
      await files.remove(segment.path);
    }
    await files.syncFolder(folder);
  }

  /** Reads at most `limit` records from a sequence on, oldest first. */
  async read(from: number, limit: number): Promise<readonly JournalRecord[]> {
    const found: JournalRecord[] = [];
    for (const {path, first, next} of this.segments) {
      if (next <= from) continue;
      if (found.length >= limit) break;
      const add = (record: JournalRecord) => {
        if (record.index >= from && found.length < limit) found.push(record);
      };
      const {segment} = await scanSegment(this.options.files, path, false, add);
      if (segment.first !== first || segment.next !== next) {
        const reason = `records up to ${next - 1} expected`;
        throw new JournalCorruptError(path, segment.bytes, reason);
      }
    }
    return found;
  }

  close(): Promise<void> {
    return this.active.close();
  }

  /** Writes batches of consecutive records and syncs once. */
  async write(batch: readonly RecordBatch[]): Promise<void> {
    const chunks: Uint8Array[] = [];
    let bytes = 0;
    let unsynced = 0;
    for (const {records, first} of batch) {
      for (const [i, record] of records.entries()) {
        bytes += encodeFrame(chunks, record, first + i, unsynced++);
      }
    }
    if (unsynced === 0) return;
    const startedAt = performance.now();
    if (this.isFull(this.last())) await this.startSegment();
    const segment = this.last();
    await this.active.write(Buffer.concat(chunks, bytes), segment.bytes);
    const writtenAt = performance.now();
    await this.sync();
    const syncMs = performance.now() - writtenAt;
    this.options.onWritten?.({bytes, writeMs: writtenAt - startedAt, syncMs});
    segment.bytes += bytes;
    segment.next += unsynced;
  }

  private isFull(segment: Segment): boolean {
    return segment.next > segment.first && segment.bytes >= this.segmentBytes;
  }

  private async sync(): Promise<void> {
    this.syncCount++;
    await this.active.sync();
  }

  private async startSegment(): Promise<void> {
    const first = this.last().next;
    await this.active.close();
    const segment = await createSegment(this.options, first);
    this.active = segment.file;
    this.segments.push(segment.segment);
  }

  /** Drops the records from `index` on. */
  async truncateFrom(index: number): Promise<void> {
    const {files, folder} = this.options;
    if (index >= this.last().next) return;
    await this.active.close();
    // Newest first, so that a crash in between leaves no gap.
    while (this.segments.length > 1 && this.last().first >= index) {
      await files.remove(this.last().path);
      this.segments.pop();
    }
    await files.syncFolder(folder);
    const segment = this.last();
    const offset = await offsetOf(files, segment, index);
    this.active = await files.open(segment.path);
    await this.active.truncate(offset);
    await this.sync();
    segment.bytes = offset;
    segment.next = index;
  }

  private last(): Segment {
    const segment = this.segments.at(-1);
    if (segment === undefined) throw new JournalClosedError('no segment');
    return segment;
  }
}
