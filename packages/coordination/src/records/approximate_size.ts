/** Estimate of the memory that a plain value takes. */

/** Header and slot cost of one object or array in bytes, roughly as in V8. */
const OBJECT_BYTES = 32;
const SLOT_BYTES = 8;

/** Estimates the bytes of a tree of JSON values; strings count one byte a unit. */
export function approximateBytes(value: unknown): number {
  if (typeof value === 'string') return SLOT_BYTES + value.length;
  if (typeof value !== 'object' || value === null) return SLOT_BYTES;
  let bytes = OBJECT_BYTES;
  if (Array.isArray(value)) {
    for (const item of value) bytes += approximateBytes(item);
    return bytes;
  }
  // Keys are shared between objects of one shape and are not counted.
  for (const item of Object.values(value)) bytes += approximateBytes(item);
  return bytes;
}
