/**
 * Invariants of docs/design.md, judged from the workers' own records and from
 * what the clients received, never from what the product says about itself.
 */
import type {TaskResult} from '@mustardferry/model';

import type {Exchange, JobOutcome} from '../load/outcomes.js';
import type {TraceJob} from '../load/trace.js';
import type {StartEvent, WorkerRecords} from '../workers/worker_record.js';

/** Names of the invariants. */
export const INVARIANTS = [
  'doubled-start',
  'second-start-by-resubmission',
  'partial-answer',
  'false-not-run',
  'wrong-caller',
  'lost-answer',
  'lost-submission',
] as const;

/** One observed violation. */
export interface Violation {
  readonly invariant: (typeof INVARIANTS)[number];
  readonly jobIndex: number;
  readonly detail: string;
}

/** Starts of each task by its value. */
export function startsByValue(
  records: WorkerRecords,
): ReadonlyMap<string, readonly StartEvent[]> {
  const result = new Map<string, StartEvent[]>();
  for (const start of records.starts) {
    const known = result.get(start.value);
    if (known === undefined) result.set(start.value, [start]);
    else known.push(start);
  }
  return result;
}

/**
 * Judges starts of one task. A second attempt number of a repeatable task is
 * the dispatcher's decision and only wasteful. A second start with the same
 * attempt number, or under another job id, means that the submission was
 * admitted twice; it counts only when the client did submit twice, since a
 * new owner may repeat an attempt that its predecessor didn't record.
 */
function judgeStarts(
  job: TraceJob,
  outcome: JobOutcome,
  starts: readonly StartEvent[],
): Violation[] {
  if (starts.length < 2) return [];
  const detail = starts
    .map(s => `${s.taskId}@${s.attempt} on ${s.worker} by ${s.instance}`)
    .join(', ');
  if (!job.kind.repeatable) {
    return [{invariant: 'doubled-start', jobIndex: job.index, detail}];
  }
  const attempts = new Set(starts.map(s => `${s.taskId}@${s.attempt}`));
  const taskIds = new Set(starts.map(s => s.taskId));
  const repeated = attempts.size < starts.length || taskIds.size > 1;
  if (!repeated || outcome.exchanges.length < 2) return [];
  const invariant = 'second-start-by-resubmission';
  return [{invariant, jobIndex: job.index, detail}];
}

function judgeResults(
  job: TraceJob,
  results: readonly TaskResult[],
): Violation[] {
  const wanted = job.tasks.map(task => task.value);
  const got = results.map(result => {
    const value = result.value as {readonly value?: unknown} | null;
    return typeof value === 'object' ? value?.value : undefined;
  });
  const jobIndex = job.index;
  const foreign = got.find(
    value => typeof value === 'string' && !wanted.includes(value),
  );
  if (foreign !== undefined) {
    const detail = `got the value ${String(foreign)}`;
    return [{invariant: 'wrong-caller', jobIndex, detail}];
  }
  const inOrder =
    results.length === wanted.length &&
    wanted.every((value, i) => got[i] === value) &&
    job.tasks.every((task, i) => results[i]?.id === task.id);
  if (inOrder) return [];
  const detail = `${results.length} of ${wanted.length} results, or out of order`;
  return [{invariant: 'partial-answer', jobIndex, detail}];
}

/** Whether another submission of the job may have been admitted afterwards. */
function admittedLater(refused: Exchange, all: readonly Exchange[]): boolean {
  return all.some(
    other =>
      other !== refused &&
      other.result !== 'not-run' &&
      other.doneMs >= refused.sentMs,
  );
}

function judgeNotRun(
  outcome: JobOutcome,
  starts: readonly StartEvent[],
): Violation[] {
  const first = Math.min(...starts.map(start => start.startMs));
  if (first === Infinity) return [];
  const wrong = outcome.exchanges.find(
    exchange =>
      exchange.result === 'not-run' &&
      (first < exchange.sentMs || !admittedLater(exchange, outcome.exchanges)),
  );
  if (wrong === undefined) return [];
  const detail = `not-run (${wrong.code}) to a request of ${wrong.sentMs}, start at ${first}`;
  return [{invariant: 'false-not-run', jobIndex: outcome.index, detail}];
}

function judgeLater(outcome: JobOutcome): Violation[] {
  const complete = outcome.exchanges.some(e => e.result === 'complete');
  const acknowledged = outcome.exchanges.some(
    e => e.status === 202 || e.result === 'accepted',
  );
  const state = outcome.laterQuery?.state;
  const jobIndex = outcome.index;
  // An unreachable home can't confirm an answer, which isn't a denial.
  if (state === undefined || state === 'unreachable') return [];
  if (complete && state !== 'complete') {
    const detail = `a complete answer is later ${state}`;
    return [{invariant: 'lost-answer', jobIndex, detail}];
  }
  if (!acknowledged || state !== 'denied') return [];
  const detail = 'an accepted job is later unknown to its home';
  return [{invariant: 'lost-submission', jobIndex, detail}];
}

/** Judges a whole run. */
export function judge(
  jobs: readonly TraceJob[],
  outcomes: readonly JobOutcome[],
  records: WorkerRecords,
): Violation[] {
  const byValue = startsByValue(records);
  return outcomes.flatMap(outcome => {
    const job = jobs[outcome.index];
    if (job === undefined) return [];
    const perTask = job.tasks.map(task => byValue.get(task.value) ?? []);
    const answers = outcome.exchanges.filter(e => e.result === 'complete');
    const later = outcome.laterQuery;
    return [
      ...perTask.flatMap(starts => judgeStarts(job, outcome, starts)),
      ...answers.flatMap(e => judgeResults(job, e.results ?? [])),
      ...(later?.state === 'complete'
        ? judgeResults(job, later.results ?? [])
        : []),
      ...judgeNotRun(outcome, perTask.flat()),
      ...judgeLater(outcome),
    ];
  });
}
