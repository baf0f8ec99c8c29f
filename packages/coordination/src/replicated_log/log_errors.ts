/** Errors of the replicated log. */
import {MustardferryError} from '@mustardferry/model';

import type {MemberId} from './members.js';

/** The command was not proposed because this member is not the leader. */
export class NotLeaderError extends MustardferryError {
  readonly code = 'not-leader';

  constructor(
    /** Current leader, if known. */
    readonly leader: MemberId | null,
  ) {
    super(`not the leader; known leader: ${leader?.name ?? 'none'}`);
  }
}

/** The command was not proposed for another reason; it can be retried. */
export class NotProposedError extends MustardferryError {
  readonly code = 'not-proposed';
}

/** Leadership was lost after proposing; the command may or may not commit. */
export class OutcomeUnknownError extends MustardferryError {
  readonly code = 'outcome-unknown';
}

/** Storage or state machine failed; the log stopped or lost its disk. */
export class LogFailedError extends MustardferryError {
  readonly code = 'log-failed';
}
