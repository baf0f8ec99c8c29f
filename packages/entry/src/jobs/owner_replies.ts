/** Creates the replies of an owner that carry no job view. */
import type {RecordsState} from '@mustardferry/coordination';
import type {OwnerReply} from '@mustardferry/links';
import type {Policy} from '@mustardferry/model';

import {problem, type ProblemCode} from '../http/problems.js';

type ProblemReply = Extract<OwnerReply, {type: 'problem'}>;

/** Reply with a problem of one job. */
export function problemReply(
  jobId: string,
  code: ProblemCode,
  detail: string,
): ProblemReply {
  return {type: 'problem', jobId, problem: problem(code, detail, {jobId})};
}

/** Reply for a key under which another body was submitted. */
export function conflictReply(jobId: string): ProblemReply {
  return problemReply(
    jobId,
    'key-conflict',
    'Another body was submitted under this key.',
  );
}

/** Reply of an instance that does not own the job, or no longer does. */
export function notOwnerReply(
  jobId: string,
): Extract<OwnerReply, {type: 'not-owner'}> {
  return {type: 'not-owner', jobId, owner: undefined};
}

/** Reply for a team or kind that is not configured. */
export function unknownKindReply(
  jobId: string,
  policy: Policy,
  team: string,
  kind: string,
): ProblemReply {
  const known = policy.teams.some(candidate => candidate.team === team);
  return known
    ? problemReply(jobId, 'unknown-kind', `Team ${team} has no ${kind}.`)
    : problemReply(jobId, 'unknown-team', `No answers for ${team}.`);
}

/**
 * Reply for a job without a record. The state of the group tells whether a record
 * may have been lost.
 */
export function noRecordReply(
  jobId: string,
  state: RecordsState,
  now: number,
): ProblemReply {
  if (state.lookUpRecord(jobId, now).state === 'unknown') {
    return problemReply(
      jobId,
      'owner-unknown',
      'The record may have been lost with a majority of its replicas.',
    );
  }
  return problemReply(
    jobId,
    'job-not-found',
    'The job was never admitted, or its retention time has ended.',
  );
}
