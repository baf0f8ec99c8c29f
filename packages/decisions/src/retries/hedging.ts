/** Policies that send a second copy of a slow task. */
import {formatAnswerReference, type ReasonCode} from '../explain/reasons.js';
import {estimateRemainingMs} from '../routing/expected_remaining.js';
import type {RunTimeEstimator} from '../routing/run_time_estimator.js';
import type {RetryBudget} from './retry_budget.js';

/** A running task and the upstream that a second copy would use. */
export interface HedgeInput {
  readonly team: string;
  readonly kind: string;
  readonly repeatable: boolean;
  readonly declaredMs: number;
  /** Key of the upstream that runs the task, and for how long so far. */
  readonly upstream: string;
  readonly elapsedMs: number;
  /** Free upstream for the copy; absent when there is none. */
  readonly alternative?: string;
  readonly copies: number;
  /**
   * Fraction of the upstream's other running tasks that are late, 0 to 1. It
   * weighs a slow upstream against a long task as the cause. Default 1.
   */
  readonly lateFraction?: number;
  /** Milliseconds that one wasted message must save, from the team's policy. */
  readonly wastedMessageCostMs: number;
}

/** Whether to send a copy. */
export interface HedgeDecision {
  readonly hedge: boolean;
  readonly reason: ReasonCode;
  readonly answer?: string;
  /** Expected milliseconds that the copy saves. */
  readonly gainMs: number;
}

/** Decides on second copies; a kind that never repeats is never hedged. */
export abstract class HedgingPolicy {
  /** Takes a token from the budget when it decides to hedge. */
  abstract decideHedge(input: HedgeInput): HedgeDecision;
  /** Run time in milliseconds at the first decision; Infinity for never. */
  abstract computeFirstCheckMs(input: Omit<HedgeInput, 'elapsedMs'>): number;
}

/** Sends no second copies. */
export class NoHedging extends HedgingPolicy {
  override decideHedge(): HedgeDecision {
    return {hedge: false, reason: 'hedging-off', gainMs: 0};
  }

  override computeFirstCheckMs(): number {
    return Infinity;
  }
}

/** Copies of one task that run at once, the first one included. */
const MAX_COPIES = 2;

/** Hedges when the expected gain exceeds the team's cost of a message. */
export class ExpectedGainHedging extends HedgingPolicy {
  constructor(
    private readonly estimator: RunTimeEstimator,
    private readonly budget: RetryBudget,
  ) {
    super();
  }

  override decideHedge(input: HedgeInput): HedgeDecision {
    const {team, kind, alternative} = input;
    if (!input.repeatable) {
      const answer = formatAnswerReference(team, `kind:${kind}`, 'repeatable');
      return {hedge: false, reason: 'never-repeated', answer, gainMs: 0};
    }
    if (input.copies >= MAX_COPIES) {
      return {hedge: false, reason: 'attempts-exhausted', gainMs: 0};
    }
    if (alternative === undefined) {
      return {hedge: false, reason: 'no-free-upstream', gainMs: 0};
    }
    const gainMs = this.estimateGainMs(input, alternative);
    const answer = formatAnswerReference(
      team,
      'team',
      'wasted_message_cost_ms',
    );
    if (gainMs <= input.wastedMessageCostMs) {
      return {hedge: false, reason: 'hedge-gain-too-small', answer, gainMs};
    }
    const taken = this.budget.takeToken(team);
    return taken === 'allowed'
      ? {hedge: true, reason: 'hedge-gain', answer, gainMs}
      : {hedge: false, reason: taken, gainMs};
  }

  override computeFirstCheckMs(input: Omit<HedgeInput, 'elapsedMs'>): number {
    if (!input.repeatable) return Infinity;
    const {p50Ms, p95Ms} = this.estimator.estimate(input);
    return Math.max(p95Ms, p50Ms + input.wastedMessageCostMs);
  }

  /**
   * Estimates the milliseconds that a copy saves. When the upstream is slow,
   * the copy takes as long as any task of the kind. Otherwise the task is long,
   * and the copy repeats all of it at the speed of its own upstream.
   */
  private estimateGainMs(input: HedgeInput, alternative: string): number {
    const {team, kind, elapsedMs, lateFraction = 1} = input;
    const sigma = this.estimator.getLogDeviation(team, kind);
    const own = this.estimator.estimate(input);
    const other = this.estimator.estimate({...input, upstream: alternative});
    const remaining = estimateRemainingMs(own.p50Ms, sigma, elapsedMs);
    const newRunMs = estimateRemainingMs(other.p50Ms, sigma, 0);
    const repeatedRunMs = ((elapsedMs + remaining) * other.p50Ms) / own.p50Ms;
    const copyMs = lateFraction * newRunMs + (1 - lateFraction) * repeatedRunMs;
    return remaining - copyMs;
  }
}
