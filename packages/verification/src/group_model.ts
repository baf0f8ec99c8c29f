/** Members of a group that run the real core, with their disks, for models. */
import {
  createInitialState,
  type LogCoreConfig,
  type LogCoreState,
  type LogEffect,
  type LogEvent,
  type LogMessage,
  type MemberId,
  step,
  type StoredLog,
} from '@mustardferry/coordination';

/** A message with its sender. */
export interface Envelope {
  readonly from: MemberId;
  readonly to: MemberId;
  readonly message: LogMessage<string>;
}

type StorageEffect = Extract<
  LogEffect<string>,
  {type: 'save-vote' | 'append' | 'truncate' | 'save-snapshot'}
>;

/** Not yet synced operation, or a message that waits for those before it. */
type Pending = StorageEffect | {readonly type: 'held'; readonly out: Envelope};

/** One running member. */
export interface ModelMember {
  readonly core: LogCoreState<string>;
  readonly disk: StoredLog<string>;
  readonly pending: readonly Pending[];
}

/** Rules of a modelled group, with the seeded faults that concern it. */
export interface GroupRules {
  readonly cfg: LogCoreConfig;
  readonly voters: readonly MemberId[];
  readonly acknowledgeBeforeSync: boolean;
}

/** A member after an event, and the messages that it sent. */
export interface MemberStep {
  readonly member: ModelMember;
  readonly sent: readonly Envelope[];
}

type WithoutClock<E> = E extends unknown ? Omit<E, 'now' | 'random'> : never;

/** Event at time 0; times play no role in the models. */
export type ModelEvent = WithoutClock<LogEvent<string>>;

const EMPTY_DISK: StoredLog<string> = {
  term: 0,
  votedFor: null,
  snapshot: null,
  entries: [],
};

/** Configuration of the core for models. */
export function modelConfig(
  options: Pick<LogCoreConfig, 'syncEverything' | 'hasDisk' | 'targetVoters'>,
): LogCoreConfig {
  return {
    ...options,
    heartbeatMs: 1,
    electionTimeoutMs: 10,
    maxEntriesPerMessage: 10,
  };
}

/** Starts a member from its disk. */
export function startMember(
  self: MemberId,
  disk: StoredLog<string>,
  rules: GroupRules,
): ModelMember {
  const start = {...disk, self, voters: rules.voters, now: 0, random: 0};
  const core = timeless(createInitialState(start, rules.cfg));
  return {core, disk, pending: []};
}

/** Starts a member that never ran. */
export function newMember(self: MemberId, rules: GroupRules): ModelMember {
  return startMember(self, EMPTY_DISK, rules);
}

/** Lets a member handle an event. */
export function stepMember(
  member: ModelMember,
  event: ModelEvent,
  rules: GroupRules,
): MemberStep {
  const clocked = {...event, now: 0, random: 0} as LogEvent<string>;
  const {state, effects} = step(member.core, clocked, rules.cfg);
  const pending = [...member.pending];
  const sent: Envelope[] = [];
  for (const effect of effects) {
    if (effect.type === 'send') {
      const message = withoutRound(effect.message);
      const out = {from: state.self, to: effect.to, message};
      const vote = pending.findLastIndex(({type}) => type === 'save-vote');
      const holds =
        effect.afterVoteSync && vote >= 0 && !rules.acknowledgeBeforeSync;
      if (holds) pending.splice(vote + 1, 0, {type: 'held', out});
      else sent.push(out);
    } else if (effect.type !== 'read-ready' && effect.type !== 'read-refused') {
      pending.push(effect);
    }
  }
  const next = {...member, core: timeless(state), pending};
  if (!rules.acknowledgeBeforeSync) return {member: next, sent};
  return confirmUnsynced(next, sent, effects, rules);
}

/** The seeded fault: reports appended entries as synced at once. */
function confirmUnsynced(
  member: ModelMember,
  sent: readonly Envelope[],
  effects: readonly LogEffect<string>[],
  rules: GroupRules,
): MemberStep {
  let result: MemberStep = {member, sent};
  for (const effect of effects) {
    const last = effect.type === 'append' ? effect.entries.at(-1) : undefined;
    if (!last) continue;
    const event = {type: 'synced' as const, index: last.index, term: last.term};
    const next = stepMember(result.member, event, rules);
    result = {member: next.member, sent: [...result.sent, ...next.sent]};
  }
  return result;
}

/** Completes the oldest pending operation of a member. */
export function syncMember(member: ModelMember, rules: GroupRules): MemberStep {
  const [first, ...rest] = member.pending;
  if (!first || first.type === 'held') return {member, sent: []};
  const released: Envelope[] = [];
  while (rest[0]?.type === 'held') {
    const held = rest.shift();
    if (held?.type === 'held') released.push(held.out);
  }
  const synced = {...member, disk: write(member.disk, first), pending: rest};
  const last = first.type === 'append' ? first.entries.at(-1) : undefined;
  if (!last) return {member: synced, sent: released};
  const event = {type: 'synced' as const, index: last.index, term: last.term};
  const next = stepMember(synced, event, rules);
  return {member: next.member, sent: [...released, ...next.sent]};
}

function write(
  disk: StoredLog<string>,
  effect: StorageEffect,
): StoredLog<string> {
  switch (effect.type) {
    case 'save-vote':
      return {...disk, term: effect.term, votedFor: effect.votedFor};
    case 'append':
      return {...disk, entries: [...disk.entries, ...effect.entries]};
    case 'truncate': {
      const {fromIndex} = effect;
      const entries = disk.entries.filter(entry => entry.index < fromIndex);
      return {...disk, entries};
    }
    case 'save-snapshot': {
      const {snapshot, keepSuffix} = effect;
      const entries = keepSuffix
        ? disk.entries.filter(entry => entry.index > snapshot.index)
        : [];
      return {...disk, snapshot, entries};
    }
  }
}

/**
 * Removes times and rounds, which only grow. Leases are then always expired
 * and elections always due, so that every timing is explored.
 */
function timeless(core: LogCoreState<string>): LogCoreState<string> {
  const progress = Object.fromEntries(
    Object.entries(core.progress).map(([key, peer]) => [
      key,
      {
        ...peer,
        ackedRound: 0,
        ackedAt: 0,
        promisedUntil: 0,
        addedAt: 0,
        snapshotSentAt: -1000,
      },
    ]),
  );
  return {
    ...core,
    progress,
    electionDeadline: 0,
    heartbeatDeadline: 0,
    lastLeaderContactAt: -1000,
    contactGapMs: 0,
    promisedUntil: 0,
    leaderLost: false,
    earlierLeaseUntil: 0,
    leaderSince: 0,
    lastLeaderRound: 0,
    round: 0,
    roundTimes: [],
  };
}

function withoutRound(message: LogMessage<string>): LogMessage<string> {
  return 'round' in message ? {...message, round: 0} : message;
}
