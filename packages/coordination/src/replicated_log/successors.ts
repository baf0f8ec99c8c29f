/** Selects the target of a leadership transfer, and checks for disks. */
import {
  committedInTerm,
  type LogCoreConfig,
  type LogCoreState,
  type Progress,
} from './core_state.js';
import {getMemberKey, type MemberId} from './members.js';

function getOtherVoterProgress<C>(state: LogCoreState<C>): readonly Progress[] {
  return state.config.voters.flatMap(
    voter => state.progress[getMemberKey(voter)] ?? [],
  );
}

/** Returns the most up-to-date other voter; of several, the last to answer. */
export function chooseSuccessor<C>(state: LogCoreState<C>): MemberId | null {
  const candidates = [...getOtherVoterProgress(state)];
  candidates.sort((a, b) => b.match - a.match || b.ackedAt - a.ackedAt);
  return candidates[0]?.member ?? null;
}

/** Returns the preferred leader if it is another voter that could take over. */
export function choosePreferred<C>(
  state: LogCoreState<C>,
  name: string | undefined,
): MemberId | null {
  if (!name || !committedInTerm(state) || state.transfer) return null;
  const preferred = getOtherVoterProgress(state).find(
    peer => peer.member.name === name && peer.match >= state.commitIndex,
  );
  // A reply to the last round or the one before shows that it is connected.
  if (!preferred || preferred.ackedRound < state.round - 1) return null;
  return preferred.member;
}

/** Whether this member or a recently active voter has a working disk. */
export function isDiskReachable<C>(
  state: LogCoreState<C>,
  {now, cfg}: {readonly now: number; readonly cfg: LogCoreConfig},
): boolean {
  if (cfg.hasDisk && !state.diskFailed) return true;
  return getOtherVoterProgress(state).some(
    peer => peer.disk && now - peer.ackedAt < cfg.electionTimeoutMs,
  );
}
