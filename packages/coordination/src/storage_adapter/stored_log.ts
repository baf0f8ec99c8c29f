/**
 * What a replicated log stores: the same shapes as in
 * `replicated_log/log_storage.ts`, to which the adapter conforms by structure.
 */

/** Identity of one life of a member. */
export interface StoredMemberId {
  readonly name: string;
  readonly incarnation: string;
}

/** One log entry. */
export interface StoredEntry<C> {
  readonly index: number;
  readonly term: number;
  readonly commands: readonly C[];
  readonly durable: boolean;
  readonly replacement?: {
    readonly remove: StoredMemberId | null;
    readonly add: StoredMemberId;
  };
  readonly closes?: number;
}

/** State of the machine after the entry at `index`, and the voters there. */
export interface StoredSnapshot {
  readonly index: number;
  readonly term: number;
  readonly voters: readonly StoredMemberId[];
  readonly data: Uint8Array;
}

/** Everything that a member had synced when it stopped. */
export interface StoredLogContent<C> {
  readonly term: number;
  readonly votedFor: string | null;
  readonly snapshot: StoredSnapshot | null;
  /** Entries after the snapshot, without gaps. */
  readonly entries: readonly StoredEntry<C>[];
}
