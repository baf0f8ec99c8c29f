/** Jobs as submitted by clients, and their answers. */
import type {Resources} from './resources.js';

/** One task of a job. */
export interface TaskSpec {
  /** Unique within the job. */
  readonly id: string;
  /** JSON value that is passed to the upstream unchanged. */
  readonly payload: unknown;
  /** Overrides the kind's declared resources. */
  readonly resources?: Resources;
  /** Overrides the kind's declared run time, in milliseconds. */
  readonly expectedRunMs?: number;
}

/** A submission: a job with the key that makes it idempotent. */
export interface Submission {
  readonly team: string;
  readonly kind: string;
  readonly idempotencyKey: string;
  readonly tasks: readonly TaskSpec[];
  /** Milliseconds from admission until queued tasks are dropped. */
  readonly deadlineMs?: number;
}

/** Identifies a submission and its resubmissions. */
export interface SubmissionKey {
  readonly team: string;
  readonly idempotencyKey: string;
}

/** Result of one task, in submission order inside an answer. */
export interface TaskResult {
  readonly id: string;
  readonly value: unknown;
}

/** The answer of a job: complete or failed, never partial. */
export type JobAnswer =
  | {
      readonly outcome: 'complete';
      readonly jobId: string;
      readonly results: readonly TaskResult[];
    }
  | {
      /**
       * `not-run`: no task has started or can start any more; `unknown`: the
       * effect can't be determined.
       */
      readonly outcome: 'not-run' | 'failed' | 'unknown';
      readonly jobId: string;
      /** Stable error code, documented in docs/errors.md. */
      readonly code: string;
      readonly detail: string;
    };
