/** Voter sets that the log contains, and the entries that change them. */
import type {LogCoreState, VoterConfig} from './core_state.js';
import type {LogEntry, VoterChange} from './log_entries.js';
import {getMemberKey, isSameMember, type MemberId} from './members.js';

/** Derives the voter sets from the snapshot and the entries after it. */
export function deriveVoterConfig<C>(state: LogCoreState<C>): VoterConfig {
  const {commitIndex} = state;
  let config: VoterConfig = {
    voters: state.snapshot.voters,
    outgoingVoters: null,
    votersBeforeChange: null,
    changeIndex: 0,
    closingIndex: 0,
    removedKeys: [],
  };
  for (const {index, replacement, closes} of state.entries) {
    if (replacement) {
      const {voters, removedKeys} = config;
      const {remove, add} = replacement;
      const committed = index <= commitIndex;
      config = {
        voters: applyVoterChange(voters, replacement),
        outgoingVoters: committed ? null : voters,
        votersBeforeChange: voters,
        changeIndex: index,
        closingIndex: 0,
        removedKeys: [
          ...removedKeys.filter(key => key !== getMemberKey(add)),
          ...(committed && remove ? [getMemberKey(remove)] : []),
        ],
      };
    } else if (closes !== undefined) {
      const votersBeforeChange =
        index <= commitIndex ? null : config.votersBeforeChange;
      config = {
        ...config,
        outgoingVoters: null,
        votersBeforeChange,
        closingIndex: index,
      };
    }
  }
  return config;
}

function applyVoterChange(
  voters: readonly MemberId[],
  {remove, add}: VoterChange,
): readonly MemberId[] {
  if (!remove) return [...voters, add];
  return voters.map(voter => (isSameMember(voter, remove) ? add : voter));
}

/** Whether an entry starts or closes a voter change. */
export function changesVoterConfig<C>({
  replacement,
  closes,
}: LogEntry<C>): boolean {
  return replacement !== undefined || closes !== undefined;
}
