/** State of the scenario of ownership under leases. */

/** An upstream as it is. */
export interface Upstream {
  readonly life: number;
  readonly token: number;
  /** Number of the run that goes on; 0 for none. */
  readonly run: number;
  /** Tick until which the run has a lease. */
  readonly leaseUntil: number;
  /** Runs up to this number never begin. */
  readonly forbidden: number;
  /** Whether an end as done is listed. */
  readonly done: boolean;
  /** Whether the lease ran out after that end, so that it may be repeated. */
  readonly lapsed: boolean;
}

/** A start order on its way. */
export interface StartOrder {
  readonly to: number;
  readonly token: number;
  readonly run: number;
  readonly leaseUntil: number;
}

/** What the owner believes of an upstream. */
export interface Belief {
  readonly life: number;
  /** Whether it answered under this owner's token. */
  readonly fenced: boolean;
  /** Last tick of any lease that this owner granted. */
  readonly grantedUntil: number;
}

/** Where the owner believes the task to be. */
export type TaskPlace =
  | {readonly type: 'unknown' | 'ready' | 'done'}
  | {
      readonly type: 'active';
      readonly on: number;
      readonly run: number;
      readonly confirmed: boolean;
    };

/** State of the scenario. */
export interface OwnershipState {
  readonly now: number;
  readonly upstreams: readonly Upstream[];
  readonly orders: readonly StartOrder[];
  readonly term: number;
  readonly leadsSince: number;
  readonly beliefs: readonly Belief[];
  readonly task: TaskPlace;
  readonly lastRun: number;
  /** Whether the end is part of the replicated state. */
  readonly committed: boolean;
  /** Whether an upstream was told to forget the end. */
  readonly acknowledged: boolean;
  readonly rebirths: number;
  readonly violation: string | null;
}
