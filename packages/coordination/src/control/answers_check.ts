/**
 * Validates changed answers against the answers in force. Runs when the command
 * is applied, because the answers may have changed since it was proposed.
 */
import type {TeamPolicy} from '@mustardferry/model';

import type {
  AcceptAnswersCommand,
  FirstControlResult,
  InvalidCommandCode,
  TeamAnswers,
} from './control_messages.js';

/** Maximum length of an answers file in UTF-16 code units. */
export const MAX_ANSWERS_LENGTH = 65_536;

/** Tolerance for rounding errors when decimal fractions are summed. */
const SHARE_TOLERANCE_PERCENT = 1e-6;

/** Creates the result of an invalid command. */
export function invalid(
  code: InvalidCommandCode,
  detail: string,
): FirstControlResult {
  return {outcome: 'invalid', code, detail};
}

function checkPolicy(
  command: AcceptAnswersCommand,
): FirstControlResult | undefined {
  const {team, policy, text} = command;
  if (policy.team !== team) {
    return invalid('team-mismatch', `policy of ${policy.team} for ${team}`);
  }
  if (text.length > MAX_ANSWERS_LENGTH) {
    return invalid('answers-too-large', `${text.length} characters`);
  }
  // Written as a negation so that NaN is refused, too.
  if (!(policy.sharePercent > 0 && policy.sharePercent <= 100)) {
    return invalid('share-out-of-range', `${policy.sharePercent} percent`);
  }
  const kinds = policy.kinds.map(kind => kind.kind);
  const repeatedKind = kinds.find((kind, i) => kinds.indexOf(kind) !== i);
  if (repeatedKind !== undefined)
    return invalid('duplicate-kind', repeatedKind);
  return undefined;
}

function sumShares(teams: Iterable<TeamPolicy>, excludedTeam: string): number {
  let sum = 0;
  for (const policy of teams) {
    if (policy.team !== excludedTeam) sum += policy.sharePercent;
  }
  return sum;
}

/** Returns why the command is refused, or undefined when it is acceptable. */
export function checkAnswers(
  command: AcceptAnswersCommand,
  answers: ReadonlyMap<string, TeamAnswers>,
  index: number,
): FirstControlResult | undefined {
  const current = answers.get(command.team);
  const revision = current?.revision ?? 0;
  // Commands of one log entry share its index, which becomes the revision, but
  // a revision must identify a single change.
  if (command.baseRevision !== revision || revision === index) {
    if (current === undefined) {
      const detail = `${command.team} has no answers`;
      return invalid('no-such-revision', detail);
    }
    const {operator, requestId} = current;
    return {outcome: 'conflict', winner: {operator, requestId, revision}};
  }
  const fault = checkPolicy(command);
  if (fault !== undefined) return fault;
  const policies = [...answers.values()].map(each => each.policy);
  const otherTeamsPercent = sumShares(policies, command.team);
  const sum = otherTeamsPercent + command.policy.sharePercent;
  if (sum > 100 + SHARE_TOLERANCE_PERCENT) {
    return invalid('shares-above-100', `all teams together ${sum} percent`);
  }
  return undefined;
}
