/** Base class of the errors of this project, and assertion helpers. */

/** What is known about the effect of a request that got no answer. */
export type ErrorOutcome = 'not-run' | 'failed' | 'unknown';

/**
 * An error with a stable code. Each layer derives its own classes and sets
 * `cause` when it converts an error from the layer below.
 */
export abstract class MustardferryError extends Error {
  /** Stable, documented identifier, for example `queue-full`. */
  abstract readonly code: string;

  constructor(message: string, options?: {readonly cause?: unknown}) {
    super(message, options);
    this.name = new.target.name;
  }
}

/** Thrown when an internal invariant does not hold, which is always a bug. */
export class InvariantError extends MustardferryError {
  readonly code = 'invariant-violated';
}

/**
 * Returns a value that must be neither null nor undefined.
 *
 * @throws InvariantError with the message `reason` when it is.
 */
export function must<T>(value: T | null | undefined, reason: string): T {
  if (value === null || value === undefined) throw new InvariantError(reason);
  return value;
}

/** Makes a switch over a discriminated union exhaustive at compile time. */
export function assertNever(value: never): never {
  throw new InvariantError(`unexpected value: ${JSON.stringify(value)}`);
}
