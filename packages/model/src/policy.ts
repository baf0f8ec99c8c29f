/** The configuration in force, as generated from the teams' answers. */
import type {Resources} from './resources.js';

/** How urgent a kind of request is; urgent kinds go first inside a team. */
export type Urgency = 'urgent' | 'normal' | 'background';

/** Policy of one kind of request of a team. */
export interface KindPolicy {
  readonly kind: string;
  readonly urgency: Urgency;
  /** False for kinds that run at most once, such as payment postings. */
  readonly repeatable: boolean;
  /** Response-time target in milliseconds. */
  readonly targetMs: number;
  /** Declared run time of one task in milliseconds; may be far off. */
  readonly expectedRunMs: number;
  /** Declared resources of one task. */
  readonly resources: Resources;
  /** Most tasks of this kind that may wait in one instance's queue. */
  readonly queueLimit: number;
}

/** Policy of one team. */
export interface TeamPolicy {
  readonly team: string;
  /** Share of scarce capacity in percent of the whole, over 0 to 100. */
  readonly sharePercent: number;
  /** Most resources that the team may use at once, per data centre. */
  readonly quota: Resources;
  /**
   * Expected milliseconds of response time that one wasted message must save
   * to be worth sending. Low values favour response time, high values favour
   * few messages.
   */
  readonly wastedMessageCostMs: number;
  /** Retries and hedges allowed per 100 first starts. */
  readonly retryBudgetPercent: number;
  readonly kinds: readonly KindPolicy[];
}

/** The whole configuration in force. */
export interface Policy {
  /** Index of the control log entry that produced it; 0 before the first. */
  readonly revision: number;
  readonly teams: readonly TeamPolicy[];
}

/** The configuration before any answers were accepted. */
export const EMPTY_POLICY: Policy = {revision: 0, teams: []};

/** Finds the policy of a kind, or undefined when the team or kind is unknown. */
export function findKind(
  policy: Policy,
  team: string,
  kind: string,
): KindPolicy | undefined {
  return policy.teams
    .find(candidate => candidate.team === team)
    ?.kinds.find(candidate => candidate.kind === kind);
}
