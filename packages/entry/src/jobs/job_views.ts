/** Builds the views of jobs that clients receive. */
import type {SubmissionRecord} from '@mustardferry/coordination';
import type {JobAnswer, JobView} from '@mustardferry/model';

import {problemOfAnswer} from '../http/problems.js';

/** Builds the view of a job from its record and its answer, if any. */
export function buildJobView(
  record: SubmissionRecord,
  answer: JobAnswer | undefined,
  running: boolean,
): JobView {
  const base = {
    jobId: record.jobId,
    team: record.team,
    kind: record.kind,
    idempotencyKey: record.idempotencyKey,
    recordKeptUntilMs: record.keepUntilMs,
  };
  if (answer === undefined) {
    return {...base, state: running ? 'running' : 'queued'};
  }
  if (answer.outcome === 'complete') {
    return {...base, state: 'complete', results: answer.results};
  }
  return {...base, state: 'failed', problem: problemOfAnswer(answer)};
}
