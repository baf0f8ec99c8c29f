/** Schemas of single INI values: text in, typed value out. */
import {z} from 'zod';

/** Names of teams, kinds, instances and data centres. */
export const NAME_PATTERN = /^[A-Za-z][A-Za-z0-9_-]{0,62}$/;

/** A name; dots and colons are excluded because ids use them as separators. */
export const nameField = z
  .string()
  .regex(
    NAME_PATTERN,
    'must start with a letter and have at most 63 letters, digits, "_" or "-"',
  );

/** A whole number from `min` to `max`. */
export function integerField(min: number, max: number) {
  return z
    .string()
    .regex(/^-?\d{1,15}$/, 'must be a whole number')
    .transform(Number)
    .pipe(
      z
        .number()
        .min(min, `must be at least ${min}`)
        .max(max, `must be at most ${max}`),
    );
}

/** A decimal number above `above` (exclusive) and up to `max`. */
export function decimalField(above: number, max: number) {
  return z
    .string()
    .regex(/^-?\d{1,12}(\.\d{1,6})?$/, 'must be a number, for example 12.5')
    .transform(Number)
    .pipe(
      z
        .number()
        .gt(above, `must be above ${above}`)
        .max(max, `must be at most ${max}`),
    );
}

/** One of a fixed set of words. */
export function wordField<const W extends readonly [string, ...string[]]>(
  words: W,
) {
  return z.enum(words, {
    errorMap: () => ({message: `must be one of ${words.join(', ')}`}),
  });
}

/** `yes` or `no`. */
export const yesNoField = wordField(['yes', 'no']).transform(
  word => word === 'yes',
);

/** Comma-separated words; an empty text is the empty list. */
export const listField = z.string().transform(text =>
  text
    .split(',')
    .map(word => word.trim())
    .filter(word => word !== ''),
);
