/** Changes to a single submission record. */
import type {JobAnswer} from '@mustardferry/model';

import type {AdmitCommand, SubmissionRecord} from './record_messages.js';
import type {StoredRecord} from './record_store.js';

/** Whether the answer belongs to the record and is complete and in order. */
export function answerMatches(
  record: StoredRecord,
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

/** The record of a new submission. */
export function recordOf(command: AdmitCommand): StoredRecord {
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

/** Adds the starts and the answer that only `other` has. */
export function merge(record: StoredRecord, other: SubmissionRecord): void {
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
    close(record, other.answer, other.finishedAtMs ?? other.admittedAtMs);
  }
}

/** Stores the answer and frees what only a running job needs. */
export function close(
  record: StoredRecord,
  answer: JobAnswer,
  atMs: number,
): void {
  record.answer = answer;
  record.finishedAtMs = atMs;
  record.tasks = [];
  record.starts = [];
}
