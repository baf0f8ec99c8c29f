/** Checks of answers against each other, made again at the point of decision. */
import type {TeamPolicy} from '@mustardferry/model';

import type {
  AcceptAnswersCommand,
  FirstControlResult,
  InvalidCommandCode,
  TeamAnswers,
} from './control_messages.js';

/** Largest answers file in UTF-16 units; larger ones are refused. */
export const MAX_ANSWERS_LENGTH = 65_536;

/** Tolerates the rounding of sums of decimal fractions. */
const SHARE_TOLERANCE_PERCENT = 1e-6;

/** Builds an invalid result. */
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
  // Also false for NaN.
  if (!(policy.sharePercent > 0 && policy.sharePercent <= 100)) {
    return invalid('share-out-of-range', `${policy.sharePercent} percent`);
  }
  const kinds = policy.kinds.map(kind => kind.kind);
  const twice = kinds.find((kind, i) => kinds.indexOf(kind) !== i);
  if (twice !== undefined) return invalid('duplicate-kind', twice);
  return undefined;
}

function sumOfShares(teams: Iterable<TeamPolicy>, except: string): number {
  let sum = 0;
  for (const policy of teams) {
    if (policy.team !== except) sum += policy.sharePercent;
  }
  return sum;
}

/** Why the command can't be accepted on the current answers, or undefined. */
export function refuseAnswers(
  command: AcceptAnswersCommand,
  answers: ReadonlyMap<string, TeamAnswers>,
  index: number,
): FirstControlResult | undefined {
  const current = answers.get(command.team);
  const revision = current?.revision ?? 0;
  // Commands of one log entry share its index, and a revision names one change.
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
  const others = sumOfShares(policies, command.team);
  const sum = others + command.policy.sharePercent;
  if (sum > 100 + SHARE_TOLERANCE_PERCENT) {
    return invalid('shares-above-100', `all teams together ${sum} percent`);
  }
  return undefined;
}
