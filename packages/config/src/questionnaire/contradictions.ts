/** Contradictions inside one team's policy and between those of all teams. */
import {
  type KindPolicy,
  RESOURCE_NAMES,
  type ResourceName,
  type TeamPolicy,
} from '@mustardferry/model';

import type {ConfigProblem} from '../problems.js';

/** Answer key of each resource. */
export const RESOURCE_KEYS: Readonly<Record<ResourceName, string>> = {
  slots: 'slots',
  processors: 'processors',
  memoryMb: 'memory_mb',
  accelerators: 'accelerators',
};

/** Decimal shares such as 33.3 add up with rounding errors below this. */
const SHARE_TOLERANCE_PERCENT = 1e-6;

function checkKind(team: TeamPolicy, kind: KindPolicy): ConfigProblem[] {
  const problems: ConfigProblem[] = [];
  const report = (key: string, reason: string) =>
    problems.push({
      file: team.team,
      section: `kind ${kind.kind}`,
      key,
      reason,
    });
  if (kind.urgency === 'urgent' && !(kind.targetMs > 0)) {
    report('target_ms', 'is required: an urgent kind needs a target');
  }
  for (const name of RESOURCE_NAMES) {
    const size = kind.resources[name];
    const key = RESOURCE_KEYS[name];
    if (name === 'accelerators' ? !(size >= 0) : !(size > 0)) {
      report(key, `is ${size}; a size can't be zero or negative`);
    }
    if (size > team.quota[name]) {
      report(
        key,
        `one task needs ${size}, but quota_${key} is ${team.quota[name]}`,
      );
    }
  }
  return problems;
}

function checkTeam(team: TeamPolicy): ConfigProblem[] {
  const problems: ConfigProblem[] = [];
  const seen = new Set<string>();
  for (const kind of team.kinds) {
    if (seen.has(kind.kind)) {
      problems.push({
        file: team.team,
        section: `kind ${kind.kind}`,
        key: '',
        reason: `the kind "${kind.kind}" is declared twice`,
      });
    }
    seen.add(kind.kind);
    problems.push(...checkKind(team, kind));
  }
  return problems;
}

/**
 * All contradictions in a set of team policies; empty when they are consistent.
 * The team's name stands in `file`.
 */
export function checkContradictions(
  policies: readonly TeamPolicy[],
): readonly ConfigProblem[] {
  const problems = policies.flatMap(checkTeam);
  const seen = new Set<string>();
  for (const {team} of policies) {
    if (seen.has(team)) {
      const reason = `the team "${team}" is declared twice`;
      problems.push({file: team, section: 'team', key: 'name', reason});
    }
    seen.add(team);
  }
  const total = policies.reduce((sum, team) => sum + team.sharePercent, 0);
  if (total > 100 + SHARE_TOLERANCE_PERCENT) {
    const shares = policies.map(team => `${team.team} ${team.sharePercent}`);
    problems.push({
      file: 'all teams',
      section: 'team',
      key: 'share_percent',
      reason: `the shares add up to ${Number(total.toFixed(6))} percent, above 100: ${shares.join(', ')}`,
    });
  }
  return problems;
}
