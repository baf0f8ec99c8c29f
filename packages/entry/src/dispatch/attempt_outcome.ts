/** Outcome of one attempt to run a task. */
import type {StartRefusal} from '@mustardferry/model';

/** How an attempt ended. */
export type AttemptOutcome =
  | {readonly type: 'done'; readonly value: unknown; readonly runMs: number}
  | {readonly type: 'task-error'; readonly message: string}
  | {readonly type: 'refused'; readonly refusal: StartRefusal}
  /** The upstream did not start the attempt and will not start it later. */
  | {readonly type: 'not-started'; readonly reason: string}
  /** Ended by a stop request or an expired lease. */
  | {readonly type: 'stopped'}
  /** May have run: the upstream has no record of it or is unreachable. */
  | {readonly type: 'unresolved'; readonly reason: string};
