/**
 * Stored content of a replicated log. The types have the same structure as those
 * in `replicated_log/log_storage.ts`, to which the adapter conforms without
 * importing them.
 */

/** Identifies an incarnation of a member. */
export interface StoredMemberId {
  readonly name: string;
  readonly incarnation: string;
}

/** An entry of the log. */
export interface StoredEntry<C> {
  readonly index: number;
  readonly term: number;
  readonly commands: readonly C[];
  readonly bytes?: number;
  readonly durable: boolean;
  readonly replacement?: {
    readonly remove: StoredMemberId | null;
    readonly add: StoredMemberId;
  };
  readonly closes?: number;
}

/** State machine and voters after the entry at `index`. */
export interface StoredSnapshot {
  readonly index: number;
  readonly term: number;
  readonly voters: readonly StoredMemberId[];
  readonly data: Uint8Array;
}

/** Everything that a member had synced to disk when it stopped. */
export interface StoredLogContent<C> {
  readonly term: number;
  readonly votedFor: string | null;
  readonly snapshot: StoredSnapshot | null;
  /** Entries after the snapshot, without gaps. */
  readonly entries: readonly StoredEntry<C>[];
}
