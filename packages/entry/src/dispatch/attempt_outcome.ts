/** What became of one attempt to run a task. */
import type {StartRefusal} from '@mustardferry/model';

/** Outcome of an attempt. */
export type AttemptOutcome =
  | {readonly type: 'done'; readonly value: unknown; readonly runMs: number}
  | {readonly type: 'task-error'; readonly message: string}
  | {readonly type: 'refused'; readonly refusal: StartRefusal}
  /** Provably not started, and never will be. */
  | {readonly type: 'not-started'; readonly reason: string}
  /** Ended by a stop request or a lapsed lease. */
  | {readonly type: 'stopped'}
  /** May have run; the upstream can't tell or can't be reached. */
  | {readonly type: 'unresolved'; readonly reason: string};
