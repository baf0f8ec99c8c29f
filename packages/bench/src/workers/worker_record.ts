/** What a stand-in worker did, kept in memory and read at the end of a run. */
import type {OwnerEpoch, StartRefusal} from '@mustardferry/model';

/** How a started task ended. */
export type TaskEnd = 'done' | 'error' | 'stopped' | 'lapsed' | 'vanished';

/** One start on a worker. Times are epoch milliseconds. */
export interface StartEvent {
  readonly worker: string;
  readonly incarnation: number;
  readonly taskId: string;
  readonly attempt: number;
  readonly owner: OwnerEpoch;
  readonly instance: string;
  readonly kind: string;
  /** The payload's value; unique for each task of a trace. */
  readonly value: string;
  readonly startMs: number;
  /** Missing while the task runs. */
  endMs?: number;
  end?: TaskEnd;
  /** Whether the reply to the start request could still be sent. */
  delivered?: boolean;
}

/** One refused start. */
export interface RefusalEvent {
  readonly worker: string;
  readonly taskId: string;
  readonly attempt: number;
  readonly refusal: StartRefusal;
  readonly value: string;
  readonly atMs: number;
}

/** Everything that the workers of a run recorded. */
export interface WorkerRecords {
  readonly starts: readonly StartEvent[];
  readonly refusals: readonly RefusalEvent[];
  /** Stop requests received. */
  readonly stops: number;
  /** State queries, and those that found the task still running. */
  readonly queries: number;
  readonly queriesWhileRunning: number;
  /** Most connections open at once on one worker. */
  readonly peakConnections: number;
  /** Connections closed because the worker's limit was reached. */
  readonly rejectedConnections: number;
}

/** Mutable record shared by all lives of all workers of one process. */
export class WorkerRecord {
  readonly starts: StartEvent[] = [];
  readonly refusals: RefusalEvent[] = [];
  stops = 0;
  queries = 0;
  queriesWhileRunning = 0;
  peakConnections = 0;
  rejectedConnections = 0;

  /** A copy that can be sent to another process. */
  snapshot(): WorkerRecords {
    return {...this};
  }
}
