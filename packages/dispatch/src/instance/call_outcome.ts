/** Outcomes of calls to the leader. */
import type {Reply} from '../messages/calls.js';

/** Outcome of a call to the leader. */
export type CallOutcome =
  | {readonly type: 'replied'; readonly reply: Reply}
  /** There was no conclusive reply within the time limit. */
  | {
      readonly type: 'unanswered';
      /** Whether the call may have taken effect. */
      readonly mayHaveRun: boolean;
      readonly obstacle: CallObstacle;
    };

/** Result of the last attempt of an unanswered call. */
export type CallObstacle =
  /** The time limit passed, or the call was unwanted, before any attempt. */
  | 'none'
  /** The connection closed, or another leader was elected meanwhile. */
  | 'lost'
  | 'timeout'
  | 'no-leader'
  /** The called instance is no longer the leader. */
  | 'not-leader'
  /** The leadership ended while the call was pending. */
  | 'interrupted'
  /** A new leader refused the call, but an earlier one may have run it. */
  | 'refused'
  /** Too few voters are connected for a majority. */
  | 'isolated';

/** Whether a reply ends its call; after others the call is retried. */
export function isFinalReply(
  reply: Reply,
): reply is Exclude<Reply, {type: 'not-leader' | 'interrupted'}> {
  return reply.type !== 'not-leader' && reply.type !== 'interrupted';
}
