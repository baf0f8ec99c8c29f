/** Interface between the replicated log and the state that it replicates. */

/**
 * State that changes only by commands in log order. Implementations are
 * deterministic: no clock, no randomness and no settings of one instance.
 */
export abstract class StateMachine<C, R> {
  /** Applies a committed command; `index` is that of its log entry. */
  abstract apply(command: C, index: number): R;
  /** Returns the whole state; equal states give equal bytes. */
  abstract snapshot(): Uint8Array;
  /** Replaces the whole state. */
  abstract restore(bytes: Uint8Array): void;
}
