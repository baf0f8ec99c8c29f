/** Generation of a team's policy from its answers. */
import type {KindPolicy, Resources, TeamPolicy} from '@mustardferry/model';

import {AnswersError} from '../problems.js';
import {type KindAnswers, parseAnswers, type Preference} from './answers.js';
import {checkContradictions} from './contradictions.js';

/**
 * Milliseconds that a wasted message must save. 20 ms is less than the shortest
 * usual task (50 ms), so a late task of any kind may be hedged. 500 ms is half
 * of the longest usual task, so only tasks that overran by far are hedged.
 */
export const WASTED_MESSAGE_COST_MS: Readonly<Record<Preference, number>> = {
  'response-time': 20,
  'few-messages': 500,
};

/** Target of kinds that are not urgent and declare none, in milliseconds. */
export const DEFAULT_TARGET_MS = {
  urgent: 1_000,
  normal: 5_000,
  background: 60_000,
} as const;

/** The preference that a wasted message cost was generated from. */
export function preferenceOf(costMs: number): Preference | undefined {
  if (costMs === WASTED_MESSAGE_COST_MS['response-time'])
    return 'response-time';
  if (costMs === WASTED_MESSAGE_COST_MS['few-messages']) return 'few-messages';
  return undefined;
}

function toKindPolicy(answers: KindAnswers): KindPolicy {
  return {
    kind: answers.kind,
    urgency: answers.urgency,
    repeatable: !answers.must_never_repeat,
    targetMs: answers.target_ms ?? DEFAULT_TARGET_MS[answers.urgency],
    expectedRunMs: answers.expected_run_ms,
    resources: {
      slots: answers.slots,
      processors: answers.processors,
      memoryMb: answers.memory_mb,
      accelerators: answers.accelerators,
    },
    queueLimit: answers.queue_limit,
  };
}

function compareNames(a: KindPolicy, b: KindPolicy): number {
  if (a.kind === b.kind) return 0;
  return a.kind < b.kind ? -1 : 1;
}

/**
 * Generates the policy of one team. Kinds are sorted by name and members have a
 * fixed order, so that the same answers give the same bytes.
 *
 * @throws AnswersError when the answers are invalid or contradict themselves.
 */
export function generatePolicy(
  input: string | Uint8Array,
  file = 'answers',
): TeamPolicy {
  const {team, kinds} = parseAnswers(input, file);
  const policy: TeamPolicy = {
    team: team.name,
    sharePercent: team.share_percent,
    quota: {
      slots: team.quota_slots,
      processors: team.quota_processors,
      memoryMb: team.quota_memory_mb,
      accelerators: team.quota_accelerators,
    },
    wastedMessageCostMs: WASTED_MESSAGE_COST_MS[team.prefer],
    retryBudgetPercent: team.retry_budget_percent,
    kinds: kinds.map(toKindPolicy).sort(compareNames),
  };
  const problems = checkContradictions([policy]);
  if (problems.length > 0) {
    throw new AnswersError(problems.map(problem => ({...problem, file})));
  }
  return policy;
}

function copyResources(from: Resources): Resources {
  return {
    slots: from.slots,
    processors: from.processors,
    memoryMb: from.memoryMb,
    accelerators: from.accelerators,
  };
}

/** Writes a policy as JSON with a fixed member order and a final line end. */
export function formatPolicy(policy: TeamPolicy): string {
  const ordered: TeamPolicy = {
    team: policy.team,
    sharePercent: policy.sharePercent,
    quota: copyResources(policy.quota),
    wastedMessageCostMs: policy.wastedMessageCostMs,
    retryBudgetPercent: policy.retryBudgetPercent,
    kinds: [...policy.kinds].sort(compareNames).map(kind => ({
      kind: kind.kind,
      urgency: kind.urgency,
      repeatable: kind.repeatable,
      targetMs: kind.targetMs,
      expectedRunMs: kind.expectedRunMs,
      resources: copyResources(kind.resources),
      queueLimit: kind.queueLimit,
    })),
  };
  return `${JSON.stringify(ordered, null, 2)}\n`;
}
