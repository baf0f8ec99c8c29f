/** Context of one step of the core. */
import type {LogEffect} from './core_events.js';
import type {LogCoreConfig, LogCoreState} from './core_state.js';
import type {LogMessage} from './log_messages.js';
import type {MemberId} from './members.js';

/** Inputs of the step, and the effects that it has requested so far. */
export interface StepContext<C> {
  readonly cfg: LogCoreConfig;
  readonly now: number;
  readonly random: number;
  readonly effects: LogEffect<C>[];
}

/** Message without the field that `sendMessage` adds. */
export type UnaddressedMessage<M> = M extends unknown ? Omit<M, 'to'> : never;

/** Requests an effect that sends a message. */
export function sendMessage<C>(
  ctx: StepContext<C>,
  to: MemberId,
  message: UnaddressedMessage<LogMessage<C>>,
  afterVoteSync = false,
): void {
  const addressed = {
    ...message,
    to: message.type === 'join' ? '' : to.incarnation,
  } as LogMessage<C>;
  ctx.effects.push({type: 'send', to, message: addressed, afterVoteSync});
}

/** Refuses all reads that wait for a confirmation of this leader. */
export function refusePendingReads<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
): void {
  for (const {id} of state.pendingReads)
    ctx.effects.push({type: 'read-refused', id});
}
