/** Interface of the state machine that a replicated log applies commands to. */

/** Deterministic: the same commands yield the same state on every member. */
export abstract class StateMachine<C, R> {
  /**
   * Applies a committed command. Must not throw, and must depend only on the
   * current state and the arguments.
   *
   * @param index Log index of the entry; shared by the commands of a batch.
   */
  abstract apply(command: C, index: number): R;

  /** Serializes the whole state. */
  abstract snapshot(): Uint8Array;

  /** Replaces the whole state with a serialized one. */
  abstract restore(bytes: Uint8Array): void;
}
