/** Invariants of the replicated log, with the history that they need. */
import {getEntryAt, type LogCoreState} from '@mustardferry/coordination';

/** What was observed so far: leaders by term, and committed entries. */
export interface LogHistory {
  readonly leaders: Readonly<Record<number, string>>;
  readonly committed: readonly {
    readonly value: string;
    /** Term of the member that first knew it as committed. */
    readonly atTerm: number;
  }[];
  readonly violation: string | null;
}

/** History before the first event. */
export const NO_HISTORY: LogHistory = {
  leaders: {},
  committed: [],
  violation: null,
};

/** Adds what a member's state shows. Entries must not be snapshotted. */
export function observe(
  history: LogHistory,
  core: LogCoreState<string>,
): LogHistory {
  const {name, incarnation} = core.self;
  const key = `${name}#${incarnation}`;
  let {leaders, committed, violation} = history;
  if (core.role === 'leader' && leaders[core.term] !== key) {
    if (leaders[core.term] !== undefined) {
      violation = `two leaders in term ${core.term}`;
    }
    leaders = {...leaders, [core.term]: key};
  }
  for (let index = 1; index <= core.commitIndex; index++) {
    const value = valueAt(core, index);
    const known = committed[index - 1];
    if (!known) committed = [...committed, {value, atTerm: core.term}];
    else if (known.value !== value) {
      violation = `committed entry ${index} changed`;
    }
  }
  if (core.role === 'leader') {
    const lost = committed.findIndex(
      ({value, atTerm}, i) =>
        core.term > atTerm && valueAt(core, i + 1) !== value,
    );
    if (lost >= 0) violation = `committed entry ${lost + 1} was lost`;
  }
  const same = leaders === history.leaders && committed === history.committed;
  if (same && violation === history.violation) return history;
  return {leaders, committed, violation};
}

function valueAt(core: LogCoreState<string>, index: number): string {
  const entry = getEntryAt(core, index);
  return entry ? `${entry.term}:${entry.commands.join()}` : 'none';
}
