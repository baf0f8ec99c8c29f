/** Decides when an answer is so late that the task is queried by its id. */
import type {ReasonCode} from '../explain/reasons.js';
import type {
  RunEstimateInput,
  RunTimeEstimator,
} from '../routing/run_time_estimator.js';

/** Options of the detection. */
export interface OverdueOptions {
  /** Shortest time after a start before a query. Default 100 ms. */
  readonly minMs?: number;
  /** Multiple of the p95 run time that is overdue. Default 2. */
  readonly factor?: number;
  /** Queries of one attempt. Default 4. */
  readonly maxQueries?: number;
}

/** An attempt that has no answer yet. */
export interface PendingAnswer extends RunEstimateInput {
  readonly startedAtMs: number;
  readonly queries: number;
}

/** Whether to query now, and when to ask again. */
export interface OverdueDecision {
  readonly query: boolean;
  readonly reason: ReasonCode;
  /** Epoch milliseconds of the next check; Infinity for none. */
  readonly nextCheckAtMs: number;
}

/** Overdue detection with a bounded number of queries per attempt. */
export class OverdueDetection {
  private readonly minMs: number;
  private readonly factor: number;
  private readonly maxQueries: number;

  constructor(
    private readonly estimator: RunTimeEstimator,
    options: OverdueOptions = {},
  ) {
    this.minMs = options.minMs ?? 100;
    this.factor = options.factor ?? 2;
    this.maxQueries = options.maxQueries ?? 4;
  }

  /** The time between queries doubles, so that a long run costs few. */
  decide(pending: PendingAnswer, now: number): OverdueDecision {
    if (pending.queries >= this.maxQueries) {
      const reason = 'queries-exhausted';
      return {query: false, reason, nextCheckAtMs: Infinity};
    }
    const {p95Ms} = this.estimator.estimate(pending);
    const firstMs = Math.max(this.minMs, this.factor * p95Ms);
    const dueAtMs = pending.startedAtMs + firstMs * 2 ** pending.queries;
    if (now < dueAtMs) {
      return {query: false, reason: 'answer-not-due', nextCheckAtMs: dueAtMs};
    }
    const isLast = pending.queries + 1 >= this.maxQueries;
    const nextCheckAtMs = isLast
      ? Infinity
      : Math.max(
          now,
          pending.startedAtMs + firstMs * 2 ** (pending.queries + 1),
        );
    return {query: true, reason: 'answer-overdue', nextCheckAtMs};
  }
}
