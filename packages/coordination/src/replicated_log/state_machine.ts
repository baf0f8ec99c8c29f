/** What a replicated log drives. */

/** Deterministic machine; the same commands give the same state everywhere. */
export abstract class StateMachine<C, R> {
  /**
   * Applies a committed command. Must not throw, and must not depend on
   * anything but its state and arguments.
   *
   * @param index Log index of the entry; shared by the commands of a batch.
   */
  abstract apply(command: C, index: number): R;

  /** Serializes the whole state. */
  abstract snapshot(): Uint8Array;

  /** Replaces the whole state by a serialized one. */
  abstract restore(bytes: Uint8Array): void;
}
