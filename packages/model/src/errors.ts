/** Base class of every error that this product raises on purpose. */

/** What is known about the effect of a request that was not answered. */
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

/** An internal invariant does not hold; always a bug in this product. */
export class InvariantError extends MustardferryError {
  readonly code = 'invariant-violated';
}

/**
 * Unwraps a value that can't be missing.
 *
 * @throws InvariantError with `reason` when the value is missing.
 */
export function must<T>(value: T | null | undefined, reason: string): T {
  if (value === null || value === undefined) throw new InvariantError(reason);
  return value;
}

/** Makes a switch over a discriminated union exhaustive at compile time. */
export function assertNever(value: never): never {
  throw new InvariantError(`unexpected value: ${JSON.stringify(value)}`);
}
