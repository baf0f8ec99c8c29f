/** What the load generator saw of each job. */
import type {JobView, TaskResult} from '@mustardferry/model';

/** One submission of a job to one instance. Times are epoch milliseconds. */
export interface Exchange {
  readonly instance: number;
  readonly cause: 'first' | 'resubmission' | 'retry';
  readonly sentMs: number;
  readonly doneMs: number;
  /** HTTP status; 0 when no response came. */
  readonly status: number;
  readonly result: 'complete' | 'not-run' | 'failed' | 'unknown' | 'accepted';
  /** Whether a client should not submit again: the outcome is settled. */
  readonly final: boolean;
  /** Error code, or the reason why no response came. */
  readonly code: string;
  readonly jobId: string;
  /** Results of a complete answer. */
  readonly results?: readonly TaskResult[];
}

/** What a query after the run said about a job that was answered. */
export interface LaterQuery {
  readonly status: number;
  readonly state: JobView['state'] | 'denied' | 'unreachable';
  readonly results?: readonly TaskResult[];
}

/** The story of one job of the trace. */
export interface JobOutcome {
  readonly index: number;
  /** When the job was due; response times start here. */
  readonly dueMs: number;
  /** When the first final answer came; missing when none came. */
  readonly answeredMs?: number;
  readonly result: Exchange['result'];
  readonly code: string;
  readonly cancelledMs?: number;
  readonly exchanges: readonly Exchange[];
  readonly laterQuery?: LaterQuery;
}
