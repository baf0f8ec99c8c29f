/** Reads and checks the segment files of a journal. */
import type {FileSystem} from './file_system.js';
import {
  decodeFrame,
  decodeSegmentHeader,
  framesBehind,
  SEGMENT_HEADER_BYTES,
} from './journal_format.js';
import {JournalCorruptError} from './storage_errors.js';

const SEGMENT_NAME = /^\d{16}\.journal$/;

/** A segment file. */
export interface Segment {
  readonly path: string;
  readonly first: number;
  /** Sequence behind its last record. */
  next: number;
  bytes: number;
}

/** A record with its sequence number. */
export interface JournalRecord {
  readonly index: number;
  readonly payload: Uint8Array;
}

/** What was cut off the end of the journal when it was opened. */
export interface TornTail {
  readonly file: string;
  readonly offset: number;
  readonly droppedBytes: number;
}

/** Result of reading a segment. */
export interface SegmentScan {
  readonly segment: Segment;
  /** Absent when the file is intact. */
  readonly torn?: TornTail;
}

/** Path of the segment that starts with a sequence. */
export function segmentPath(folder: string, first: number): string {
  return `${folder}/${String(first).padStart(16, '0')}.journal`;
}

/** View of the same memory; `Buffer.from` of an array would copy it. */
function bufferOf(bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
}

function firstOf(path: string): number {
  return Number(path.slice(-'0000000000000000.journal'.length, -8));
}

/** A segment that was not read yet, by its name and that of the next one. */
export function uncheckedSegment(path: string, follower: string): Segment {
  return {path, first: firstOf(path), next: firstOf(follower), bytes: 0};
}

/** Paths of the segments, oldest first. */
export async function listSegments(
  files: FileSystem,
  folder: string,
): Promise<readonly string[]> {
  const names = await files.list(folder);
  return names
    .filter(name => SEGMENT_NAME.test(name))
    .map(name => `${folder}/${name}`);
}

/**
 * Decides whether damage at the end of the newest segment is a torn write. It
 * is not when a later frame proves that the damaged record had been synced.
 */
function checkTorn(
  path: string,
  content: Buffer,
  at: number,
  sequence: number,
): void {
  for (const frame of framesBehind(content, at + 1)) {
    if (frame.syncedBefore >= sequence) {
      throw new JournalCorruptError(path, at, 'synced record is damaged');
    }
  }
}

/**
 * Reads a segment and calls `onRecord` for each record.
 *
 * @throws JournalCorruptError when synced records are damaged.
 */
export async function scanSegment(
  files: FileSystem,
  path: string,
  newest: boolean,
  onRecord: (record: JournalRecord) => void,
): Promise<SegmentScan> {
  const content = bufferOf(await files.readFile(path));
  const named = firstOf(path);
  const torn = (at: number, next: number): SegmentScan => {
    if (!newest) {
      throw new JournalCorruptError(path, at, 'synced record is damaged');
    }
    checkTorn(path, content, at, next);
    const segment = {path, first: named, next, bytes: at};
    const droppedBytes = content.length - at;
    return {segment, torn: {file: path, offset: at, droppedBytes}};
  };
  if (decodeSegmentHeader(content) !== named) {
    // The header is synced before the first record is written.
    if (content.length <= SEGMENT_HEADER_BYTES) return torn(0, named);
    throw new JournalCorruptError(path, 0, 'header is damaged');
  }
  let at = SEGMENT_HEADER_BYTES;
  let next = named;
  while (at < content.length) {
    const frame = decodeFrame(content, at);
    if (frame === undefined) return torn(at, next);
    if (frame.sequence !== next) {
      const reason = `record ${frame.sequence} in place of ${next}`;
      throw new JournalCorruptError(path, at, reason);
    }
    onRecord({index: next, payload: frame.payload});
    at = frame.end;
    next++;
  }
  return {segment: {path, first: named, next, bytes: at}};
}

/** Offset of a record inside its segment. */
export async function offsetOf(
  files: FileSystem,
  segment: Segment,
  sequence: number,
): Promise<number> {
  const content = bufferOf(await files.readFile(segment.path));
  let at = SEGMENT_HEADER_BYTES;
  for (let next = segment.first; next < sequence; next++) {
    const frame = decodeFrame(content, at);
    if (frame === undefined) {
      throw new JournalCorruptError(segment.path, at, 'record is damaged');
    }
    at = frame.end;
  }
  return at;
}
