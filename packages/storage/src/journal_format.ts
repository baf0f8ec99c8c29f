/**
 * Bytes of journal segments.
 *
 * Segment: 16 bytes of header (magic, CRC-32, sequence of its first record),
 * then frames. Frame: magic (4), payload length (4), sequence (8), number of
 * records before it that were not synced when it was written (4), CRC-32 of
 * the other header members and the payload (4), payload. Big-endian.
 */
import {crc32} from 'node:zlib';

/** Bytes of a segment header. */
export const SEGMENT_HEADER_BYTES = 16;

/** Bytes of a frame without its payload. */
export const FRAME_HEADER_BYTES = 24;

/** Largest payload; a larger length is taken for damage. */
export const MAX_RECORD_BYTES = 256 * 1_024 * 1_024;

// Bytes that UTF-8 never contains, so that payload text can't imitate a frame.
const FRAME_MAGIC = Buffer.from([0xff, 0xfe, 0x4d, 0x4a]);
const SEGMENT_MAGIC = Buffer.from([0xff, 0xfe, 0x4d, 0x53]);

/** A frame read from a segment. */
export interface Frame {
  readonly sequence: number;
  /** Highest sequence that was synced when the frame was written. */
  readonly syncedBefore: number;
  readonly payload: Buffer;
  /** Offset behind the frame. */
  readonly end: number;
}

/** Builds the header of a segment. */
export function encodeSegmentHeader(firstSequence: number): Buffer {
  const header = Buffer.alloc(SEGMENT_HEADER_BYTES);
  SEGMENT_MAGIC.copy(header);
  header.writeUIntBE(firstSequence, 10, 6);
  header.writeUInt32BE(crc32(header.subarray(8)), 4);
  return header;
}

/** First sequence named by a segment header, or undefined when damaged. */
export function decodeSegmentHeader(content: Buffer): number | undefined {
  if (content.length < SEGMENT_HEADER_BYTES) return undefined;
  const header = content.subarray(0, SEGMENT_HEADER_BYTES);
  if (!header.subarray(0, 4).equals(SEGMENT_MAGIC)) return undefined;
  if (crc32(header.subarray(8)) !== header.readUInt32BE(4)) return undefined;
  return header.readUIntBE(10, 6);
}

/** Appends a frame to a list of chunks; returns its size. */
export function encodeFrame(
  chunks: Uint8Array[],
  payload: Uint8Array,
  sequence: number,
  unsyncedBefore: number,
): number {
  const header = Buffer.alloc(FRAME_HEADER_BYTES);
  FRAME_MAGIC.copy(header);
  header.writeUInt32BE(payload.length, 4);
  header.writeUIntBE(sequence, 10, 6);
  header.writeUInt32BE(unsyncedBefore, 16);
  const sum = crc32(payload, crc32(header.subarray(0, 20)));
  header.writeUInt32BE(sum, 20);
  chunks.push(header, payload);
  return FRAME_HEADER_BYTES + payload.length;
}

/** Reads the frame at an offset, or undefined when there is no intact one. */
export function decodeFrame(content: Buffer, at: number): Frame | undefined {
  const body = at + FRAME_HEADER_BYTES;
  if (body > content.length) return undefined;
  if (!content.subarray(at, at + 4).equals(FRAME_MAGIC)) return undefined;
  const length = content.readUInt32BE(at + 4);
  const end = body + length;
  if (length > MAX_RECORD_BYTES || end > content.length) return undefined;
  const payload = content.subarray(body, end);
  const sum = crc32(payload, crc32(content.subarray(at, at + 20)));
  if (sum !== content.readUInt32BE(at + 20)) return undefined;
  const sequence = content.readUIntBE(at + 10, 6);
  const syncedBefore = sequence - 1 - content.readUInt32BE(at + 16);
  return {sequence, syncedBefore, payload, end};
}

/** Intact frames behind a damaged place. */
export function* framesBehind(content: Buffer, from: number): Generator<Frame> {
  let at = content.indexOf(FRAME_MAGIC, from);
  while (at !== -1) {
    const frame = decodeFrame(content, at);
    if (frame !== undefined) yield frame;
    at = content.indexOf(FRAME_MAGIC, frame?.end ?? at + 1);
  }
}
