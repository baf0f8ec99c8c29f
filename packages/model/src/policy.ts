/** Active configuration, generated from the answers of the teams. */
import type {Resources} from './resources.js';

/** Priority of a kind of request within its team; urgent kinds go first. */
export type Urgency = 'urgent' | 'normal' | 'background';

/** Policy of one kind of request of a team. */
export interface KindPolicy {
  readonly kind: string;
  readonly urgency: Urgency;
  /** False for kinds that run at most once, such as payment postings. */
  readonly repeatable: boolean;
  /** Response-time target in milliseconds. */
  readonly targetMs: number;
  /** Declared run time of one task in milliseconds; can be inaccurate. */
  readonly expectedRunMs: number;
  /** Declared resources of one task. */
  readonly resources: Resources;
  /** Maximum number of queued tasks of this kind per instance. */
  readonly queueLimit: number;
}

/** Policy of one team. */
export interface TeamPolicy {
  readonly team: string;
  /** Share of scarce capacity in percent, above 0 and at most 100. */
  readonly sharePercent: number;
  /** Maximum resources in use by the team at once, per data centre. */
  readonly quota: Resources;
  /**
   * Least expected saving of response time, in milliseconds, that justifies one
   * wasted message. Low values favour response time, high values favour few
   * messages.
   */
  readonly wastedMessageCostMs: number;
  /** Retries and hedges allowed per 100 first starts. */
  readonly retryBudgetPercent: number;
  readonly kinds: readonly KindPolicy[];
}

/** The active configuration of all teams. */
export interface Policy {
  /** Index of the control log entry that set it; 0 before the first one. */
  readonly revision: number;
  readonly teams: readonly TeamPolicy[];
}

/** The configuration before any answers are accepted. */
export const EMPTY_POLICY: Policy = {revision: 0, teams: []};

/** Returns the policy of a kind; undefined if the team or kind is unknown. */
export function findKind(
  policy: Policy,
  team: string,
  kind: string,
): KindPolicy | undefined {
  return policy.teams
    .find(candidate => candidate.team === team)
    ?.kinds.find(candidate => candidate.kind === kind);
}
