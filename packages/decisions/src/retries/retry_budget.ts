/**
 * Token budget for retries and hedges, per team and for the instance: each
 * first start adds a fraction of a token, each retry or hedge takes one.
 */
import type {Policy} from '@mustardferry/model';

/** Options of the budget. */
export interface RetryBudgetOptions {
  /** Retries per 100 first starts of all teams together. Default 10. */
  readonly globalPercent?: number;
  /** Most tokens of a team, which bounds a burst. Default 50. */
  readonly maxTeamTokens?: number;
  /** Most tokens of the instance. Default 500. */
  readonly maxGlobalTokens?: number;
  /** Tokens of a team before its first start, for low loads. Default 5. */
  readonly initialTokens?: number;
}

/** Which budget is empty, or that both have a token. */
export type BudgetDecision =
  'allowed' | 'team-budget-empty' | 'global-budget-empty';

interface TeamBudget {
  percent: number;
  tokens: number;
}

/** Percentage of a team that the policy doesn't know: it gets no retries. */
const UNKNOWN_TEAM_PERCENT = 0;

/** Retry budget of one instance. */
export class RetryBudget {
  private readonly teams = new Map<string, TeamBudget>();
  private readonly globalPercent: number;
  private readonly maxTeamTokens: number;
  private readonly maxGlobalTokens: number;
  private readonly initialTokens: number;
  private globalTokens: number;

  constructor(options: RetryBudgetOptions = {}) {
    this.globalPercent = options.globalPercent ?? 10;
    this.maxTeamTokens = options.maxTeamTokens ?? 50;
    this.maxGlobalTokens = options.maxGlobalTokens ?? 500;
    this.initialTokens = options.initialTokens ?? 5;
    this.globalTokens = Math.min(this.maxGlobalTokens, this.initialTokens * 10);
  }

  /** Applies the percentages; tokens of known teams are kept. */
  setPolicy(policy: Policy): void {
    const names = new Set(policy.teams.map(({team}) => team));
    for (const name of this.teams.keys()) {
      if (!names.has(name)) this.teams.delete(name);
    }
    for (const {team, retryBudgetPercent: percent} of policy.teams) {
      const known = this.teams.get(team);
      if (known) known.percent = percent;
      const tokens = percent > 0 ? this.initialTokens : 0;
      if (!known) this.teams.set(team, {percent, tokens});
    }
  }

  /** Adds to the budgets for the first start of a task. */
  started(team: string): void {
    const budget = this.teams.get(team);
    if (budget) {
      const tokens = budget.tokens + budget.percent / 100;
      budget.tokens = Math.min(this.maxTeamTokens, tokens);
    }
    const tokens = this.globalTokens + this.globalPercent / 100;
    this.globalTokens = Math.min(this.maxGlobalTokens, tokens);
  }

  /** Whether a token is left, without taking it. */
  checkToken(team: string): BudgetDecision {
    const budget = this.teams.get(team);
    const percent = budget?.percent ?? UNKNOWN_TEAM_PERCENT;
    if (!budget || percent === 0 || budget.tokens < 1) {
      return 'team-budget-empty';
    }
    return this.globalTokens < 1 ? 'global-budget-empty' : 'allowed';
  }

  /** Takes a token from both budgets, or from neither. */
  takeToken(team: string): BudgetDecision {
    const answer = this.checkToken(team);
    const budget = this.teams.get(team);
    if (answer === 'allowed' && budget) {
      budget.tokens -= 1;
      this.globalTokens -= 1;
    }
    return answer;
  }
}
