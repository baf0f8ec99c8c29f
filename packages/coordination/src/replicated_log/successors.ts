/** Choice of the voter that takes over leadership, and of reachable disks. */
import {
  committedInTerm,
  type LogCoreConfig,
  type LogCoreState,
  type Progress,
} from './core_state.js';
import {getMemberKey, type MemberId} from './members.js';

function otherVoterProgress<C>(state: LogCoreState<C>): readonly Progress[] {
  return state.config.voters.flatMap(
    voter => state.progress[getMemberKey(voter)] ?? [],
  );
}

/** The most recently heard of the most up-to-date voters. */
export function chooseSuccessor<C>(state: LogCoreState<C>): MemberId | null {
  const candidates = [...otherVoterProgress(state)];
  candidates.sort((a, b) => b.match - a.match || b.ackedAt - a.ackedAt);
  return candidates[0]?.member ?? null;
}

/** The preferred voter, when it is not leading but could at once. */
export function choosePreferred<C>(
  state: LogCoreState<C>,
  name: string | undefined,
): MemberId | null {
  if (!name || !committedInTerm(state) || state.transfer) return null;
  const preferred = otherVoterProgress(state).find(
    peer => peer.member.name === name && peer.match >= state.commitIndex,
  );
  // An answer to the newest round but one shows that the member is connected.
  if (!preferred || preferred.ackedRound < state.round - 1) return null;
  return preferred.member;
}

/** Whether a voter with a working disk was heard from recently. */
export function diskReachable<C>(
  state: LogCoreState<C>,
  {now, cfg}: {readonly now: number; readonly cfg: LogCoreConfig},
): boolean {
  if (cfg.hasDisk && !state.diskFailed) return true;
  return otherVoterProgress(state).some(
    peer => peer.disk && now - peer.ackedAt < cfg.electionTimeoutMs,
  );
}
