/** Records of starts in the log, and where they are known. */
import {entriesOf, type SettledGroup} from './settled_group.js';

/** Part of a state that shows where starts are recorded. */
export interface RecordedStarts {
  readonly group: SettledGroup;
  /** `INDEX:TERM` of the starts that two members held at the same time. */
  readonly knownTwice: readonly string[];
}

/** Attempt number of a recorded start, or null for other entries. */
export function startAttempt(commands: readonly string[]): number | null {
  const command = commands.find(c => c.startsWith('start s '));
  return command ? Number(command.split(' ')[2]) : null;
}

/**
 * Remembers the starts that two members hold. A later loss of one of them is
 * allowed, also before the start is sent.
 */
export function noteKnown<S extends RecordedStarts>(state: S): S {
  const keys = state.group.members.flatMap(member =>
    entriesOf(member, false)
      .filter(entry => startAttempt(entry.commands) !== null)
      .map(entry => `${entry.index}:${entry.term}`),
  );
  const twice = keys.filter((key, i) => keys.indexOf(key) !== i);
  const fresh = twice.filter(key => !state.knownTwice.includes(key));
  if (fresh.length === 0) return state;
  const knownTwice = [...new Set([...state.knownTwice, ...fresh])].sort();
  return {...state, knownTwice};
}

/** Whether a sent start is missing on disks or was never known twice. */
export function unrecorded(
  {group, knownTwice}: RecordedStarts,
  index: number,
  term: number,
): string | null {
  const synced = group.members.some(({disk}) =>
    disk.entries.some(entry => entry.index === index && entry.term === term),
  );
  return synced && knownTwice.includes(`${index}:${term}`)
    ? null
    : 'a start was sent before it was synced and known to two members';
}
