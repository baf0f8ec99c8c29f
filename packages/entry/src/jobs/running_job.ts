/** State of a job between its admission and its answer. */
import type {SubmissionRecord} from '@mustardferry/coordination';
import type {
  ExplainStep,
  JobAnswer,
  KindPolicy,
  TaskResult,
  TeamPolicy,
} from '@mustardferry/model';
import {must} from '@mustardferry/model';

/** Maximum number of explanation steps per job. */
const MAX_EXPLAIN_STEPS = 1_000;

/** Reason why a job ends without all results. */
export interface JobFailure {
  readonly code: string;
  readonly detail: string;
  /** True when a task may have run although its outcome is unknown. */
  readonly unknown?: boolean;
}

/** Options of {@link RunningJob}. */
export interface RunningJobOptions {
  readonly record: SubmissionRecord;
  readonly team: TeamPolicy;
  readonly kind: KindPolicy;
  /**
   * Whether an earlier owner admitted the job. It may have started tasks of
   * repeatable kinds without a record, so `not-run` can't be guaranteed.
   */
  readonly takenOver: boolean;
}

/**
 * Collects the results of a job's tasks. The job is settled exactly once: when
 * all results have arrived or on the first failure.
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
  private submitterWaitsUntilMs = 0;

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
    // Recorded starts of an earlier owner count, since those tasks may have run.
    this.started = this.record.starts.filter(start => !start.sealed).length;
  }

  get jobId(): string {
    return this.record.jobId;
  }

  /** Whether the answer is decided; it may not be replicated yet. */
  get settled(): boolean {
    return this.proposedAnswer !== undefined;
  }

  /** Whether any task may have run on an upstream. */
  get mayHaveStarted(): boolean {
    return this.started > 0 || this.takenOver;
  }

  /** Whether waits have ended without an answer. */
  get isReleased(): boolean {
    return this.released && this.published === undefined;
  }

  /**
   * Notes that a caller submitted the job, or joined it, and waits for its
   * answer. Callers that only ask for its state don't count.
   */
  noteSubmitter(waitMs: number): void {
    const untilMs = Date.now() + waitMs;
    this.submitterWaitsUntilMs = Math.max(this.submitterWaitsUntilMs, untilMs);
  }

  /** Whether a caller that submitted the job still waits for its answer. */
  isAwaitedBySubmitter(now: number): boolean {
    return now < this.submitterWaitsUntilMs;
  }

  get steps(): readonly ExplainStep[] {
    return this.explainSteps;
  }

  /** Whether the result of a task has arrived. */
  hasResult(index: number): boolean {
    return this.results[index] !== undefined;
  }

  explain(step: ExplainStep): void {
    if (this.explainSteps.length < MAX_EXPLAIN_STEPS)
      this.explainSteps.push(step);
  }

  /** Counts an attempt that is about to be sent to an upstream. */
  countStart(): void {
    this.started += 1;
  }

  /** Reverts `countStart` for an attempt that provably did not start. */
  uncountStart(): void {
    this.started -= 1;
  }

  /**
   * Records a result. Returns the answer if this was the last missing result. A
   * second result of the same task is discarded.
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

  /** Fails the job. Returns `undefined` if it was already settled. */
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

  /** Passes the replicated answer to all waiters. */
  publishAnswer(answer: JobAnswer): void {
    this.published = answer;
    this.notifyWaiters(answer);
  }

  /** Ends all waits without an answer, because this owner lost its term. */
  releaseWaiters(): void {
    this.released = true;
    this.notifyWaiters(undefined);
  }

  /** Waits for the answer; resolves with `undefined` after `waitMs`. */
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
