/** Check-quorum, leader lease and linearizable reads. */
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
export function isQuorumActive<C>(
  state: LogCoreState<C>,
  clock: Clock,
): boolean {
  return hasQuorumAnsweredWithin(state, clock.cfg.electionTimeoutMs, clock.now);
}

/**
 * Whether a leader must step down. Its lease ends after one election timeout.
 * During the second one a leader that was itself delayed can complete a round,
 * so that its delay does not cause an election.
 */
export function isQuorumLost<C>(
  state: LogCoreState<C>,
  {now, cfg}: Clock,
): boolean {
  const limitMs = STEP_DOWN_TIMEOUTS * cfg.electionTimeoutMs;
  return !hasQuorumAnsweredWithin(state, limitMs, now);
}

function hasQuorumAnsweredWithin<C>(
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

/** Returns when a quorum is last known to have followed this leader. */
export function getQuorumAckTime<C>(
  state: LogCoreState<C>,
  now: number,
): number {
  return findQuorumTime(state, 'ackedAt', now);
}

/** Returns the latest time that holds for a quorum, with the leader's own. */
function findQuorumTime<C>(
  state: LogCoreState<C>,
  field: 'ackedAt' | 'promisedUntil',
  ownTime: number,
): number {
  if (state.role !== 'leader') return Number.NEGATIVE_INFINITY;
  const getTime = (member: MemberId) =>
    isSameMember(member, state.self)
      ? ownTime
      : (state.progress[getMemberKey(member)]?.[field] ?? -Infinity);
  const {voters, outgoingVoters} = state.config;
  const times = [...voters, ...(outgoingVoters ?? [])].map(getTime);
  times.sort((a, b) => b - a);
  return (
    times.find(at => hasQuorum(state.config, m => getTime(m) >= at)) ??
    Number.NEGATIVE_INFINITY
  );
}

/**
 * Returns the end of the leader's lease. Until then no member grants a vote,
 * except to the target of a leadership transfer, which ends the lease, and after
 * a `peer-lost` event or a restart. Voters tell their candidate for how long
 * such a lease may last; the next leader has to respect it.
 */
export function leaseUntil<C>(
  state: LogCoreState<C>,
  {now, cfg}: Clock,
): number {
  if (state.role !== 'leader' || state.leaseRevoked) {
    return Number.NEGATIVE_INFINITY;
  }
  return findQuorumTime(state, 'promisedUntil', now + cfg.electionTimeoutMs);
}

/**
 * Reads the lease of a leader, which is needed before each of thousands of
 * orders a second, and computes it only when the state has changed.
 */
export class LeaseReader<C> {
  private state: LogCoreState<C> | null = null;
  private untilMs = Number.NEGATIVE_INFINITY;

  /** Returns the remaining time of the lease in ms; 0 without a lease. */
  getRemainingMs(state: LogCoreState<C>, clock: Clock): number {
    // For one state the end of the lease never moves closer, as only this
    // member's own confirmation advances with the clock.
    if (state !== this.state || this.untilMs <= clock.now) {
      this.state = state;
      this.untilMs = leaseUntil(state, clock);
    }
    return Math.max(0, this.untilMs - clock.now);
  }
}

/** Completes the pending reads whose round a quorum has answered. */
export function completeReads<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
): LogCoreState<C> {
  if (state.pendingReads.length === 0 || !committedInTerm(state)) return state;
  const isConfirmed = (round: number) =>
    hasQuorum(
      state.config,
      member =>
        isSameMember(member, state.self) ||
        (state.progress[getMemberKey(member)]?.ackedRound ?? 0) >= round,
    );
  const ready = state.pendingReads.filter(read => isConfirmed(read.round));
  if (ready.length === 0) return state;
  for (const {id} of ready) ctx.effects.push({type: 'read-ready', id});
  return {
    ...state,
    pendingReads: state.pendingReads.filter(read => !ready.includes(read)),
  };
}
