/** What the leader learns from the replies of the other members. */
import type {LogCoreState, Progress} from './core_state.js';
import {completeReads} from './leases.js';
import type {AppendReply} from './log_messages.js';
import {getMemberKey, type MemberId} from './members.js';
import {advanceCommit, requestTakeover, sendAppend} from './replication.js';
import type {StepContext} from './step_context.js';
import {promoteLearner} from './voter_changes.js';

/** Records a member's reply and continues with what it allows. */
export function receiveAppendReply<C>(
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
  const known = recordReply(state, peer, message);
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
  return completeReads(ctx, promoteLearner(ctx, requestTakeover(ctx, sent)));
}

function recordReply<C>(
  state: LogCoreState<C>,
  peer: Progress,
  message: AppendReply,
): Progress {
  const sentAt = state.roundTimes.find(time => time.round === message.round);
  const contact: Progress = {
    ...peer,
    disk: message.disk,
    ackedRound: Math.max(peer.ackedRound, message.round),
    ackedAt: Math.max(peer.ackedAt, sentAt?.at ?? Number.NEGATIVE_INFINITY),
  };
  if (!message.ok) {
    const next = Math.max(
      peer.match + 1,
      Math.min(peer.next, message.match + 1),
    );
    return {...contact, next};
  }
  const match = Math.max(peer.match, message.match);
  return {
    ...contact,
    match,
    next: Math.max(peer.next, match + 1),
    synced: Math.max(peer.synced, message.synced),
  };
}
