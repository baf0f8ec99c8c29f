/** Estimates the memory that a JSON value takes. */

/** Approximate sizes in V8 of an empty object or array, and of one slot. */
const OBJECT_BYTES = 32;
const SLOT_BYTES = 8;

/**
 * Estimates the size of a JSON value in bytes. A string counts one byte for
 * each UTF-16 code unit.
 */
export function estimateBytes(value: unknown): number {
  if (typeof value === 'string') return SLOT_BYTES + value.length;
  if (typeof value !== 'object' || value === null) return SLOT_BYTES;
  let bytes = OBJECT_BYTES;
  if (Array.isArray(value)) {
    for (const item of value) bytes += estimateBytes(item);
    return bytes;
  }
  // Keys are not counted, because objects of the same shape share them.
  for (const item of Object.values(value)) bytes += estimateBytes(item);
  return bytes;
}
