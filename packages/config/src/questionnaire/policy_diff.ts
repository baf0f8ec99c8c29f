/** Differences between two policies of a team, in terms of its answers. */
import {
  type KindPolicy,
  RESOURCE_NAMES,
  type TeamPolicy,
} from '@mustardferry/model';

import {RESOURCE_KEYS} from './contradictions.js';
import {preferenceOf} from './policy_generator.js';

/** Answer path such as `payments.team.share_percent` -> written value. */
type AnswerValues = ReadonlyMap<string, string>;

function kindValues(
  values: Map<string, string>,
  team: string,
  kind: KindPolicy,
): void {
  const path = `${team}.kind ${kind.kind}`;
  values.set(`${path}.urgency`, kind.urgency);
  values.set(`${path}.must_never_repeat`, kind.repeatable ? 'no' : 'yes');
  values.set(`${path}.target_ms`, String(kind.targetMs));
  values.set(`${path}.expected_run_ms`, String(kind.expectedRunMs));
  for (const name of RESOURCE_NAMES) {
    values.set(`${path}.${RESOURCE_KEYS[name]}`, String(kind.resources[name]));
  }
  values.set(`${path}.queue_limit`, String(kind.queueLimit));
}

function answerValues(policy: TeamPolicy | undefined): AnswerValues {
  const values = new Map<string, string>();
  if (policy === undefined) return values;
  const path = `${policy.team}.team`;
  const cost = policy.wastedMessageCostMs;
  values.set(`${path}.share_percent`, String(policy.sharePercent));
  for (const name of RESOURCE_NAMES) {
    const key = `${path}.quota_${RESOURCE_KEYS[name]}`;
    values.set(key, String(policy.quota[name]));
  }
  values.set(
    `${path}.prefer`,
    preferenceOf(cost) ?? `wasted message cost ${cost} ms`,
  );
  values.set(`${path}.retry_budget_percent`, String(policy.retryBudgetPercent));
  for (const kind of policy.kinds) kindValues(values, policy.team, kind);
  return values;
}

/**
 * Lists each changed answer as `TEAM.SECTION.KEY: BEFORE -> AFTER`, in the order
 * of the questionnaire. A policy is undefined when the team did not exist.
 */
export function diffPolicies(
  before: TeamPolicy | undefined,
  after: TeamPolicy | undefined,
): readonly string[] {
  const old = answerValues(before);
  const next = answerValues(after);
  const paths = [...new Set([...old.keys(), ...next.keys()])];
  return paths
    .filter(path => old.get(path) !== next.get(path))
    .map(
      path =>
        `${path}: ${old.get(path) ?? '(none)'} -> ${next.get(path) ?? '(removed)'}`,
    );
}
