/** Changes to a single submission record. */
import type {JobAnswer} from '@mustardferry/model';

import type {AdmitCommand, SubmissionRecord} from './record_messages.js';
import type {MutableRecord} from './record_store.js';

/**
 * Whether the answer belongs to the job and, if complete, has one result for
 * each task, in the order of the tasks.
 */
export function isMatchingAnswer(
  record: MutableRecord,
  answer: JobAnswer,
): boolean {
  if (answer.jobId !== record.jobId) return false;
  if (answer.outcome !== 'complete') return true;
  const {results} = answer;
  return (
    results.length === record.taskCount &&
    results.every((result, i) => result.id === record.tasks[i]?.id)
  );
}

/** Creates the record of a new submission. */
export function createRecord(command: AdmitCommand): MutableRecord {
  return {
    jobId: command.jobId,
    team: command.team,
    kind: command.kind,
    idempotencyKey: command.idempotencyKey,
    digest: command.digest,
    repeatable: command.repeatable,
    taskCount: command.tasks.length,
    tasks: command.tasks,
    ...(command.deadlineMs === undefined
      ? {}
      : {deadlineMs: command.deadlineMs}),
    admittedAtMs: command.atMs,
    keepUntilMs: command.keepUntilMs,
    starts: [],
    imported: false,
  };
}

/** Merges the starts and the answer of `other` into the record. */
export function mergeRecord(
  record: MutableRecord,
  other: SubmissionRecord,
): void {
  for (const start of other.starts) {
    const at = record.starts.findIndex(
      known =>
        known.taskIndex === start.taskIndex && known.attempt === start.attempt,
    );
    const known = record.starts[at];
    if (known === undefined) record.starts.push(start);
    else if (start.sealed) record.starts[at] = {...known, sealed: true};
  }
  record.imported = true;
  if (record.answer === undefined && other.answer !== undefined) {
    finishRecord(
      record,
      other.answer,
      other.finishedAtMs ?? other.admittedAtMs,
    );
  }
}

/** Stores the answer and drops what only a running job needs. */
export function finishRecord(
  record: MutableRecord,
  answer: JobAnswer,
  atMs: number,
): void {
  record.answer = answer;
  record.finishedAtMs = atMs;
  record.tasks = [];
  record.starts = [];
}
