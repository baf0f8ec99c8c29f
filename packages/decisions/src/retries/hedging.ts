/** Policies that send a second copy of a slow task. */
import {answerRef, type ReasonCode} from '../explain/reasons.js';
import {expectedRemainingMs} from '../routing/expected_remaining.js';
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
   * Part of the upstream's other running tasks that are late, 0 to 1: how far
   * the delay is the upstream's and not the task's. Default 1.
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
  abstract decideHedge(question: HedgeInput): HedgeDecision;
  /** Run time in milliseconds at which to ask first; Infinity for never. */
  abstract computeFirstCheckMs(question: Omit<HedgeInput, 'elapsedMs'>): number;
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

/** Hedges when the expected gain exceeds the team's price of a message. */
export class ExpectedGainHedging extends HedgingPolicy {
  constructor(
    private readonly estimator: RunTimeEstimator,
    private readonly budget: RetryBudget,
  ) {
    super();
  }

  override decideHedge(question: HedgeInput): HedgeDecision {
    const {team, kind, alternative} = question;
    if (!question.repeatable) {
      const answer = answerRef(team, `kind:${kind}`, 'repeatable');
      return {hedge: false, reason: 'never-repeated', answer, gainMs: 0};
    }
    if (question.copies >= MAX_COPIES) {
      return {hedge: false, reason: 'attempts-exhausted', gainMs: 0};
    }
    if (alternative === undefined) {
      return {hedge: false, reason: 'no-free-upstream', gainMs: 0};
    }
    const gainMs = this.gainMs(question, alternative);
    const answer = answerRef(team, 'team', 'wasted_message_cost_ms');
    if (gainMs <= question.wastedMessageCostMs) {
      return {hedge: false, reason: 'hedge-gain-too-small', answer, gainMs};
    }
    const taken = this.budget.take(team);
    return taken === 'allowed'
      ? {hedge: true, reason: 'hedge-gain', answer, gainMs}
      : {hedge: false, reason: taken, gainMs};
  }

  override computeFirstCheckMs(
    question: Omit<HedgeInput, 'elapsedMs'>,
  ): number {
    if (!question.repeatable) return Infinity;
    const {p50Ms, p95Ms} = this.estimator.estimate(question);
    return Math.max(p95Ms, p50Ms + question.wastedMessageCostMs);
  }

  /**
   * Expected milliseconds that a copy saves. When the upstream is slow the copy
   * runs like any other task. Otherwise the task itself is long, and the copy
   * has to do all of it again, only on an upstream of another speed.
   */
  private gainMs(question: HedgeInput, alternative: string): number {
    const {team, kind, elapsedMs, lateFraction = 1} = question;
    const sigma = this.estimator.spread(team, kind);
    const own = this.estimator.estimate(question);
    const other = this.estimator.estimate({...question, upstream: alternative});
    const remaining = expectedRemainingMs(own.p50Ms, sigma, elapsedMs);
    const afreshMs = expectedRemainingMs(other.p50Ms, sigma, 0);
    const wholeMs = ((elapsedMs + remaining) * other.p50Ms) / own.p50Ms;
    const copyMs = lateFraction * afreshMs + (1 - lateFraction) * wholeMs;
    return remaining - copyMs;
  }
}
