/** Errors of the replicated log. */
import {MustardferryError} from '@mustardferry/model';

import type {MemberId} from './members.js';

/** The command was never proposed: this member does not lead. */
export class NotLeaderError extends MustardferryError {
  readonly code = 'not-leader';

  constructor(
    /** The leader as far as known. */
    readonly leader: MemberId | null,
  ) {
    super(`not the leader; known leader: ${leader?.name ?? 'none'}`);
  }
}

/** The command was never proposed, for another reason; it can be retried. */
export class NotProposedError extends MustardferryError {
  readonly code = 'not-proposed';
}

/** Leadership was lost after proposing; the command may or may not commit. */
export class OutcomeUnknownError extends MustardferryError {
  readonly code = 'outcome-unknown';
}

/** Storage or the state machine failed; the log has stopped or lost its disk. */
export class LogFailedError extends MustardferryError {
  readonly code = 'log-failed';
}
