/** Handles replies to append messages on the leader. */
import type {LogCoreConfig, LogCoreState, Progress} from './core_state.js';
import {
  advanceCommit,
  sendAppend,
  sendTimeoutNow,
} from './leader_replication.js';
import {completeReads} from './leases.js';
import type {AppendReply} from './log_messages.js';
import {getMemberKey, type MemberId} from './members.js';
import type {StepContext} from './step_context.js';
import {promoteLearner} from './voter_changes.js';

/** Updates the sender's progress, then commits and sends what that allows. */
export function handleAppendReply<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  from: MemberId,
  message: AppendReply,
): LogCoreState<C> {
  const key = getMemberKey(from);
  const peer = state.progress[key];
  if (state.role !== 'leader' || message.term !== state.term || !peer) {
    return state;
  }
  const known = updateProgress(state, peer, message, ctx.cfg);
  const updated = {...state, progress: {...state.progress, [key]: known}};
  const committed = advanceCommit(ctx, updated);
  const current = committed.progress[key];
  const sent = current
    ? {
        ...committed,
        progress: {
          ...committed.progress,
          [key]: sendAppend(ctx, committed, current, false),
        },
      }
    : committed;
  return completeReads(ctx, promoteLearner(ctx, sendTimeoutNow(ctx, sent)));
}

function updateProgress<C>(
  state: LogCoreState<C>,
  peer: Progress,
  message: AppendReply,
  cfg: LogCoreConfig,
): Progress {
  const roundAt =
    state.roundTimes.find(({round}) => round === message.round)?.at ??
    Number.NEGATIVE_INFINITY;
  const {promisedMs = cfg.electionTimeoutMs} = message;
  const contacted: Progress = {
    ...peer,
    disk: message.disk,
    ackedRound: Math.max(peer.ackedRound, message.round),
    ackedAt: Math.max(peer.ackedAt, roundAt),
    promisedUntil: Math.max(peer.promisedUntil, roundAt + promisedMs),
  };
  if (!message.ok) {
    const next = Math.max(
      peer.match + 1,
      Math.min(peer.next, message.match + 1),
    );
    return {...contacted, next};
  }
  const match = Math.max(peer.match, message.match);
  return {
    ...contacted,
    match,
    next: Math.max(peer.next, match + 1),
    synced: Math.max(peer.synced, message.synced),
  };
}
