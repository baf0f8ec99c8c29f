/** Check-quorum, the leader lease, and linearizable reads. */
import {
  committedInTerm,
  hasQuorum,
  type LogCoreConfig,
  type LogCoreState,
} from './core_state.js';
import {getMemberKey, isSameMember, type MemberId} from './members.js';
import type {StepContext} from './step_context.js';

interface Clock {
  readonly now: number;
  readonly cfg: LogCoreConfig;
}

/** Election timeouts without a quorum after which a leader steps down. */
const STEP_DOWN_TIMEOUTS = 2;

/** Whether a quorum answered within the election timeout. */
export function quorumIsActive<C>(
  state: LogCoreState<C>,
  clock: Clock,
): boolean {
  return quorumAnsweredWithin(state, clock.cfg.electionTimeoutMs, clock.now);
}

/**
 * Whether a leader is to give up. Its lease ends after one election timeout;
 * the second one leaves a leader that was late itself the time for a round, so
 * that its own delay does not cost the group an election.
 */
export function quorumIsLost<C>(
  state: LogCoreState<C>,
  {now, cfg}: Clock,
): boolean {
  const limitMs = STEP_DOWN_TIMEOUTS * cfg.electionTimeoutMs;
  return !quorumAnsweredWithin(state, limitMs, now);
}

function quorumAnsweredWithin<C>(
  state: LogCoreState<C>,
  limitMs: number,
  now: number,
): boolean {
  return hasQuorum(state.config, member => {
    if (isSameMember(member, state.self)) return true;
    const ackedAt = state.progress[getMemberKey(member)]?.ackedAt ?? -Infinity;
    const since = Math.max(ackedAt, state.leaderSince);
    return now - since < limitMs;
  });
}

/** Latest time at which a quorum is known to have followed this leader. */
export function quorumAckedAt<C>(state: LogCoreState<C>, now: number): number {
  if (state.role !== 'leader') return Number.NEGATIVE_INFINITY;
  const ackedAt = (member: MemberId) =>
    isSameMember(member, state.self)
      ? now
      : (state.progress[getMemberKey(member)]?.ackedAt ?? -Infinity);
  const {voters, outgoingVoters: previous} = state.config;
  const times = [...voters, ...(previous ?? [])].map(ackedAt);
  times.sort((a, b) => b - a);
  return (
    times.find(at => hasQuorum(state.config, m => ackedAt(m) >= at)) ??
    Number.NEGATIVE_INFINITY
  );
}

/**
 * End of the leader's lease: until then no member grants a vote, except to a
 * candidate that this leader asked to take over (which ends the lease) and
 * after a `peer-lost` event, which trades the lease for a faster election.
 */
export function leaseUntil<C>(
  state: LogCoreState<C>,
  {now, cfg}: Clock,
): number {
  if (state.role !== 'leader' || state.leaseVoid) {
    return Number.NEGATIVE_INFINITY;
  }
  return quorumAckedAt(state, now) + cfg.electionTimeoutMs;
}

/** Reports the reads whose round a quorum has answered. */
export function completeReads<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
): LogCoreState<C> {
  if (state.reads.length === 0 || !committedInTerm(state)) return state;
  const confirmed = (round: number) =>
    hasQuorum(
      state.config,
      member =>
        isSameMember(member, state.self) ||
        (state.progress[getMemberKey(member)]?.ackedRound ?? 0) >= round,
    );
  const ready = state.reads.filter(read => confirmed(read.round));
  if (ready.length === 0) return state;
  for (const {id} of ready) ctx.effects.push({type: 'read-ready', id});
  return {...state, reads: state.reads.filter(read => !ready.includes(read))};
}
