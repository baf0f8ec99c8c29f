/** A job that its owner has admitted and not yet answered. */
import type {SubmissionRecord} from '@mustardferry/coordination';
import type {
  ExplainStep,
  JobAnswer,
  KindPolicy,
  TaskResult,
  TeamPolicy,
} from '@mustardferry/model';
import {must} from '@mustardferry/model';

/** Most explain steps kept for one job. */
const MAX_EXPLAIN_STEPS = 1_000;

/** Why a job ends without being complete. */
export interface JobFailure {
  readonly code: string;
  readonly detail: string;
  /** Set when a task may have run although no result is known. */
  readonly unknown?: boolean;
}

/** Options of a running job. */
export interface RunningJobOptions {
  readonly record: SubmissionRecord;
  readonly team: TeamPolicy;
  readonly kind: KindPolicy;
  /**
   * Whether an earlier owner admitted the job. It may have started tasks of
   * repeatable kinds without a record, so `not-run` can't be claimed.
   */
  readonly takenOver: boolean;
}

/**
 * Collects the results of a job's tasks. The job is settled once: when all
 * results are in, or with the first failure.
 */
export class RunningJob {
  readonly record: SubmissionRecord;
  readonly team: TeamPolicy;
  readonly kind: KindPolicy;
  readonly deadlineAtMs: number;
  private readonly results: (TaskResult | undefined)[];
  private remaining: number;
  private started = 0;
  private proposedAnswer: JobAnswer | undefined;
  private readonly explainSteps: ExplainStep[] = [];
  private readonly waiters = new Set<(answer: JobAnswer | undefined) => void>();
  private published: JobAnswer | undefined;
  private released = false;
  private readonly takenOver: boolean;

  constructor(options: RunningJobOptions) {
    this.takenOver = options.takenOver;
    this.record = options.record;
    this.team = options.team;
    this.kind = options.kind;
    const {deadlineMs, admittedAtMs} = this.record;
    this.deadlineAtMs =
      deadlineMs === undefined
        ? Number.POSITIVE_INFINITY
        : admittedAtMs + deadlineMs;
    this.remaining = this.record.tasks.length;
    this.results = this.record.tasks.map(() => undefined);
    // A start record of an earlier owner counts: the task may have run.
    this.started = this.record.starts.filter(start => !start.sealed).length;
  }

  get jobId(): string {
    return this.record.jobId;
  }

  /** Whether the answer is decided, though perhaps not yet replicated. */
  get settled(): boolean {
    return this.proposedAnswer !== undefined;
  }

  /** Whether a task was sent to an upstream and may have run. */
  get mayHaveStarted(): boolean {
    return this.started > 0 || this.takenOver;
  }

  /** Whether waits ended without an answer. */
  get isReleased(): boolean {
    return this.released && this.published === undefined;
  }

  get steps(): readonly ExplainStep[] {
    return this.explainSteps;
  }

  /** Whether a result of this task is in. */
  hasResult(index: number): boolean {
    return this.results[index] !== undefined;
  }

  explain(step: ExplainStep): void {
    if (this.explainSteps.length < MAX_EXPLAIN_STEPS)
      this.explainSteps.push(step);
  }

  /** Notes that a task is about to be sent to an upstream. */
  countStart(): void {
    this.started += 1;
  }

  /** Takes back `noteStarted` for an attempt that provably did not start. */
  uncountStart(): void {
    this.started -= 1;
  }

  /**
   * Records a result. Returns the answer when it was the last one missing;
   * a second result of the same task is discarded.
   */
  complete(index: number, value: unknown): JobAnswer | undefined {
    if (this.settled || this.results[index] !== undefined) return undefined;
    const {id} = must(this.record.tasks[index], 'task index out of range');
    this.results[index] = {id, value};
    this.remaining -= 1;
    if (this.remaining > 0) return undefined;
    this.proposedAnswer = {
      outcome: 'complete',
      jobId: this.jobId,
      results: this.results.map(result => must(result, 'result missing')),
    };
    return this.proposedAnswer;
  }

  /** Ends the job without an answer; undefined when it was settled before. */
  fail(failure: JobFailure): JobAnswer | undefined {
    if (this.settled) return undefined;
    this.proposedAnswer = {
      outcome: this.getFailureOutcome(failure),
      jobId: this.jobId,
      code: failure.code,
      detail: failure.detail,
    };
    return this.proposedAnswer;
  }

  /** Hands the replicated answer to everyone who waits. */
  publishAnswer(answer: JobAnswer): void {
    this.published = answer;
    this.notifyWaiters(answer);
  }

  /** Ends all waits without an answer, because this owner lost its term. */
  releaseWaiters(): void {
    this.released = true;
    this.notifyWaiters(undefined);
  }

  /** Waits for the answer; undefined when it does not come in `waitMs`. */
  waitForAnswer(waitMs: number): Promise<JobAnswer | undefined> {
    if (this.published !== undefined || this.released || waitMs <= 0) {
      return Promise.resolve(this.published);
    }
    return new Promise(resolve => {
      const waiter = (answer: JobAnswer | undefined): void => {
        clearTimeout(timer);
        this.waiters.delete(waiter);
        resolve(answer);
      };
      const timer = setTimeout(() => waiter(undefined), waitMs);
      this.waiters.add(waiter);
    });
  }

  private getFailureOutcome(
    failure: JobFailure,
  ): 'not-run' | 'failed' | 'unknown' {
    if (failure.unknown === true) return 'unknown';
    return this.mayHaveStarted ? 'failed' : 'not-run';
  }

  private notifyWaiters(answer: JobAnswer | undefined): void {
    for (const waiter of [...this.waiters]) waiter(answer);
  }
}
