/** Decides when a result is so late that its task is queried by id. */
import type {ReasonCode} from '../explain/reasons.js';
import type {
  RunEstimateInput,
  RunTimeEstimator,
} from '../routing/run_time_estimator.js';

/** Options of the detection. */
export interface OverdueOptions {
  /** Shortest time after a start before a query. Default 100 ms. */
  readonly minQueryDelayMs?: number;
  /** Multiple of the p95 run time that makes a result overdue. Default 2. */
  readonly p95Factor?: number;
  /** Most queries for one attempt. Default 4. */
  readonly maxQueries?: number;
}

/** An attempt that has no result yet. */
export interface PendingAnswer extends RunEstimateInput {
  readonly startedAtMs: number;
  readonly queries: number;
}

/** Whether to query now, and when to check again. */
export interface OverdueDecision {
  readonly query: boolean;
  readonly reason: ReasonCode;
  /** Epoch milliseconds of the next check; Infinity for none. */
  readonly nextCheckAtMs: number;
}

/** Overdue detection with a bounded number of queries per attempt. */
export class OverdueDetection {
  private readonly minQueryDelayMs: number;
  private readonly p95Factor: number;
  private readonly maxQueries: number;

  constructor(
    private readonly estimator: RunTimeEstimator,
    options: OverdueOptions = {},
  ) {
    this.minQueryDelayMs = options.minQueryDelayMs ?? 100;
    this.p95Factor = options.p95Factor ?? 2;
    this.maxQueries = options.maxQueries ?? 4;
  }

  /** Doubles the time between queries, so that long runs cause few. */
  decideQuery(pending: PendingAnswer, now: number): OverdueDecision {
    if (pending.queries >= this.maxQueries) {
      const reason = 'queries-exhausted';
      return {query: false, reason, nextCheckAtMs: Infinity};
    }
    const {p95Ms} = this.estimator.estimate(pending);
    const firstQueryDelayMs = Math.max(
      this.minQueryDelayMs,
      this.p95Factor * p95Ms,
    );
    const dueAtMs =
      pending.startedAtMs + firstQueryDelayMs * 2 ** pending.queries;
    if (now < dueAtMs) {
      return {query: false, reason: 'answer-not-due', nextCheckAtMs: dueAtMs};
    }
    const isLast = pending.queries + 1 >= this.maxQueries;
    const nextCheckAtMs = isLast
      ? Infinity
      : Math.max(
          now,
          pending.startedAtMs + firstQueryDelayMs * 2 ** (pending.queries + 1),
        );
    return {query: true, reason: 'answer-overdue', nextCheckAtMs};
  }
}
