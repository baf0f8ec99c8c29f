/**
 * How long a member waits for a silent leader, and what it promises to it.
 *
 * Load pattern: callers wait while a leader is lost, so a leader whose messages
 * came evenly is missed soon. The messages of a busy leader, or to a busy
 * member, come in bursts; an election would add to that load, so the timeout
 * grows with the observed gaps, as in accrual failure detection (Hayashibara et
 * al., 2004).
 */
import {
  drawElectionDeadline,
  type LogCoreConfig,
  type LogCoreState,
} from './core_state.js';
import type {AppendMessage, InstallSnapshotMessage} from './log_messages.js';
import {isSameMember, type MemberId} from './members.js';
import type {StepContext} from './step_context.js';

/** Election timeout as a multiple of the longest recent gap. */
const GAP_FACTOR = 4;

/** Half-life in ms of the longest gap. */
const GAP_HALF_LIFE_MS = 2_000;

type LeaderContact = Pick<
  LogCoreState<unknown>,
  | 'lastLeaderContactAt'
  | 'contactGapMs'
  | 'promisedUntil'
  | 'leaderLost'
  | 'electionDeadline'
>;

/** Returns what a message from the leader of the term changes. */
export function observeLeader<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  from: MemberId,
  message: AppendMessage<C> | InstallSnapshotMessage,
): LeaderContact {
  const {now, cfg} = ctx;
  const isKnown =
    state.term === message.term &&
    state.leader !== null &&
    isSameMember(state.leader, from);
  // A new leader has much to do in its first seconds, so it gets the full
  // timeout.
  const contactGapMs = isKnown ? computeGap(state, now) : cfg.electionTimeoutMs;
  const timeoutMs = getElectionTimeout(contactGapMs, cfg);
  const readsPromise = message.type === 'append' && message.readsPromise;
  const promisedMs = readsPromise ? timeoutMs : cfg.electionTimeoutMs;
  const promisedUntil = Math.max(state.promisedUntil, now + promisedMs);
  const deadline = drawElectionDeadline(ctx, {electionTimeoutMs: timeoutMs});
  return {
    lastLeaderContactAt: now,
    contactGapMs,
    promisedUntil,
    leaderLost: false,
    electionDeadline: Math.max(promisedUntil, deadline),
  };
}

/** Whether a promise to a leader that is not known to be lost is in force. */
export function isFollowingLeader<C>(
  {leaderLost, promisedUntil}: LogCoreState<C>,
  now: number,
): boolean {
  return !leaderLost && now < promisedUntil;
}

/** Remaining time in ms of the promise not to vote for another leader. */
export function getRemainingPromiseMs<C>(
  {promisedUntil}: LogCoreState<C>,
  now: number,
): number {
  return Math.max(0, promisedUntil - now);
}

function computeGap<C>(state: LogCoreState<C>, now: number): number {
  const gapMs = now - state.lastLeaderContactAt;
  const decayed = state.contactGapMs * 0.5 ** (gapMs / GAP_HALF_LIFE_MS);
  return Math.max(gapMs, decayed);
}

function getElectionTimeout(gapMs: number, cfg: LogCoreConfig): number {
  const {electionTimeoutMs, calmElectionTimeoutMs = electionTimeoutMs} = cfg;
  return Math.min(
    electionTimeoutMs,
    Math.max(calmElectionTimeoutMs, GAP_FACTOR * gapMs),
  );
}
