/** Computes the digest by which submissions under one key are compared. */
import {createHash} from 'node:crypto';

import {MustardferryError, type Submission} from '@mustardferry/model';

/**
 * Maximum nesting depth of a body. Later JSON and MessagePack steps recurse, so
 * that a deeper body within the size limit could overflow the stack.
 */
const MAX_NESTING_DEPTH = 256;

/** Thrown when a body is nested too deeply to be processed. */
export class BodyDepthError extends MustardferryError {
  readonly code = 'body-too-deep';
}

/**
 * Formats a value as JSON with sorted keys, so that the order of members does
 * not matter.
 *
 * @throws BodyDepthError when the value is nested deeper than 256 levels.
 */
export function toCanonicalJson(value: unknown, depth = 0): string {
  if (depth > MAX_NESTING_DEPTH) {
    throw new BodyDepthError(`nested deeper than ${MAX_NESTING_DEPTH} levels`);
  }
  if (Array.isArray(value)) {
    return `[${value.map(item => toCanonicalJson(item, depth + 1)).join(',')}]`;
  }
  if (value !== null && typeof value === 'object') {
    const members = Object.entries(value)
      .filter(([, member]) => member !== undefined)
      .sort(([a], [b]) => (a < b ? -1 : a > b ? 1 : 0))
      .map(
        ([key, member]) =>
          `${JSON.stringify(key)}:${toCanonicalJson(member, depth + 1)}`,
      );
    return `{${members.join(',')}}`;
  }
  return JSON.stringify(value ?? null);
}

/**
 * Computes the SHA-256 digest, in hex, of everything that defines the job except
 * its idempotency key.
 *
 * @throws BodyDepthError when a payload is nested too deeply.
 */
export function computeBodyDigest(submission: Submission): string {
  const {team, kind, tasks, deadlineMs} = submission;
  return createHash('sha256')
    .update(toCanonicalJson({team, kind, tasks, deadlineMs}))
    .digest('hex');
}
