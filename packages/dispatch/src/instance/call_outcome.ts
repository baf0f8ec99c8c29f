/** What became of a call to the leader. */
import type {Reply} from '../messages/calls.js';

/** Outcome of a call. */
export type CallOutcome =
  | {readonly type: 'replied'; readonly reply: Reply}
  /** No reply in time. */
  | {
      readonly type: 'unanswered';
      /** Whether the call may have had an effect. */
      readonly mayHaveRun: boolean;
      readonly obstacle: CallObstacle;
    };

/** What became of the last attempt of a call that had no reply. */
export type CallObstacle =
  /** Nothing was tried before the time was over. */
  | 'none'
  /** The connection ended, or its leader was left for another one. */
  | 'lost'
  | 'timeout'
  | 'no-leader'
  /** The instance that was asked leads no more. */
  | 'not-leader'
  /** The leadership ended while the call was open. */
  | 'interrupted'
  /** Refused by a later leader, after an earlier one may have run it. */
  | 'refused'
  /** Too few voters are connected. */
  | 'isolated';
