/** Working set of one step of the core: its inputs and the collected effects. */
import type {LogEffect} from './core_events.js';
import type {LogCoreConfig, LogCoreState} from './core_state.js';
import type {LogMessage} from './log_messages.js';
import type {MemberId} from './members.js';

/** Inputs of the step, and the effects that its functions append to. */
export interface StepContext<C> {
  readonly cfg: LogCoreConfig;
  readonly now: number;
  readonly random: number;
  readonly effects: LogEffect<C>[];
}

/** Message without the members that `send` fills in. */
export type Unaddressed<M> = M extends unknown ? Omit<M, 'to'> : never;

/** Adds a message to the effects. */
export function send<C>(
  ctx: StepContext<C>,
  to: MemberId,
  message: Unaddressed<LogMessage<C>>,
  afterVoteSync = false,
): void {
  const addressed = {
    ...message,
    to: message.type === 'join' ? '' : to.incarnation,
  } as LogMessage<C>;
  ctx.effects.push({type: 'send', to, message: addressed, afterVoteSync});
}

/** Refuses the reads that wait for a confirmation of this leader. */
export function refuseReads<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
): void {
  for (const {id} of state.pendingReads)
    ctx.effects.push({type: 'read-refused', id});
}
