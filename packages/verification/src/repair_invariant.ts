/** Invariant: a group survives any single loss once a repair is complete. */
import {
  getTermAt,
  hasQuorum,
  isSameMember,
  lastIndex,
  type LogCoreState,
  type MemberId,
} from '@mustardferry/coordination';

import type {Fault} from './faults.js';

type Core = LogCoreState<string>;

/**
 * Describes the loss of one voter that would stop the group although a leader
 * takes its last voter replacement for complete, or returns null.
 */
export function strandedAfterRepair(
  cores: readonly Core[],
  fault: Fault | null,
): string | null {
  for (const {role, config, commitIndex} of cores) {
    if (role !== 'leader' || config.changeIndex === 0) continue;
    const complete =
      fault === 'repaired-at-commit'
        ? config.changeIndex <= commitIndex
        : config.beforeRepair === null;
    const voters = cores.filter(core => isAmong(config.voters, core.self));
    // A voter that was lost since then is no longer covered.
    if (!complete || voters.length < config.voters.length) continue;
    for (const lost of voters) {
      const left = voters.filter(core => core !== lost);
      if (left.some(candidate => canWin(candidate, left))) continue;
      return `no member can be elected after the loss of ${lost.self.name}`;
    }
  }
  return null;
}

/** Whether the candidate's voter sets and log let the others elect it. */
function canWin(candidate: Core, left: readonly Core[]): boolean {
  const granting = left
    .filter(core => isUpToDate(candidate, core))
    .map(core => core.self);
  return hasQuorum(candidate.config, voter => isAmong(granting, voter));
}

function isUpToDate(candidate: Core, voter: Core): boolean {
  const own = getTermAt(candidate, lastIndex(candidate));
  const other = getTermAt(voter, lastIndex(voter));
  if (own !== other) return own > other;
  return lastIndex(candidate) >= lastIndex(voter);
}

function isAmong(members: readonly MemberId[], member: MemberId): boolean {
  return members.some(other => isSameMember(other, member));
}
