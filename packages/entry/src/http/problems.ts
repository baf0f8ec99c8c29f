/** Problem details (RFC 9457) and the catalogue of error codes. */
import {
  type ErrorOutcome,
  type JobAnswer,
  MustardferryError,
  type Problem,
} from '@mustardferry/model';

interface CatalogEntry {
  readonly status: number;
  readonly outcome: ErrorOutcome;
  readonly title: string;
}

function entry(
  status: number,
  outcome: ErrorOutcome,
  title: string,
): CatalogEntry {
  return {status, outcome, title};
}

/**
 * Every error code of the HTTP API; docs/errors.md explains each. A refusal as
 * `draining` or `not-ready` is `unknown` for a request that names a job or a
 * key, because the owner was not asked.
 */
export const PROBLEM_CATALOG = {
  unauthorized: entry(401, 'not-run', 'Missing or wrong bearer token'),
  'invalid-body': entry(400, 'not-run', 'The request is malformed'),
  'body-too-large': entry(413, 'not-run', 'The request body is too large'),
  'unsupported-encoding': entry(415, 'not-run', 'Unsupported content'),
  'unknown-team': entry(422, 'not-run', 'The team is not configured'),
  'unknown-kind': entry(422, 'not-run', 'The team has no such kind'),
  'duplicate-task-id': entry(422, 'not-run', 'Task ids are not unique'),
  'too-many-tasks': entry(422, 'not-run', 'The job has too many tasks'),
  'key-conflict': entry(409, 'not-run', 'The key was used with another body'),
  'queue-full': entry(429, 'not-run', 'The queue of this kind is full'),
  'target-not-reachable': entry(
    503,
    'not-run',
    'The response-time target can not be met',
  ),
  'quota-zero': entry(422, 'not-run', 'The quota of the team excludes the job'),
  'no-upstream-for-kind': entry(503, 'not-run', 'No upstream offers the kind'),
  'no-upstream-large-enough': entry(
    422,
    'not-run',
    'No upstream is large enough',
  ),
  'data-centre-evacuated': entry(
    503,
    'not-run',
    'The data centre is evacuated',
  ),
  draining: entry(503, 'not-run', 'The instance is shutting down'),
  'not-ready': entry(503, 'not-run', 'The instance is not ready'),
  'home-unreachable': entry(
    503,
    'unknown',
    'The home data centre is unreachable',
  ),
  'owner-unknown': entry(503, 'unknown', 'The owner of the job is unknown'),
  'no-durable-storage': entry(
    503,
    'not-run',
    'No synced storage for a job that runs at most once',
  ),
  'deadline-exceeded': entry(504, 'failed', 'The deadline of the job passed'),
  cancelled: entry(410, 'failed', 'The job was cancelled'),
  'task-failed': entry(502, 'failed', 'A task failed'),
  'task-outcome-unknown': entry(
    502,
    'unknown',
    'The outcome of a task is unknown',
  ),
  'job-not-found': entry(404, 'unknown', 'No record of this job'),
  'not-found': entry(404, 'not-run', 'No such resource'),
  'revision-conflict': entry(
    412,
    'not-run',
    'A newer change was accepted since the given revision',
  ),
  'unknown-data-centre': entry(404, 'not-run', 'No such data centre'),
  'answers-invalid': entry(422, 'not-run', 'The answers are invalid'),
  'control-unavailable': entry(
    503,
    'not-run',
    'The control log accepts no change now',
  ),
  'control-outcome-unknown': entry(
    503,
    'unknown',
    'The outcome of the change is unknown',
  ),
  internal: entry(500, 'unknown', 'Internal error'),
} as const satisfies Readonly<Record<string, CatalogEntry>>;

/** A documented error code. */
export type ProblemCode = keyof typeof PROBLEM_CATALOG;

/** Members of a problem that differ from its catalogue entry. */
export type ProblemExtras = Partial<
  Pick<
    Problem,
    'outcome' | 'jobId' | 'requestId' | 'retryAfterSeconds' | 'errors'
  >
>;

/** Whether a text is a documented code. */
export function isProblemCode(code: string): code is ProblemCode {
  return Object.hasOwn(PROBLEM_CATALOG, code);
}

/** Creates a problem body from a code. */
export function problem(
  code: ProblemCode,
  detail: string,
  extras: ProblemExtras = {},
): Problem {
  const {status, outcome, title} = PROBLEM_CATALOG[code];
  return {
    type: `urn:mustardferry:error:${code}`,
    title,
    status,
    detail,
    code,
    outcome,
    ...extras,
  };
}

/** Converts the stored answer of a job that did not complete. */
export function problemOfAnswer(
  answer: Exclude<JobAnswer, {outcome: 'complete'}>,
): Problem {
  const code = isProblemCode(answer.code) ? answer.code : 'internal';
  return problem(code, answer.detail, {
    outcome: answer.outcome,
    jobId: answer.jobId,
  });
}

/** A request handler ends the request with this problem. */
export class ProblemError extends MustardferryError {
  readonly code = 'problem';

  constructor(
    readonly problem: Problem,
    options?: {readonly cause?: unknown},
  ) {
    super(`${problem.code}: ${problem.detail}`, options);
  }
}

/** Throws a problem with the given code. */
export function fail(
  code: ProblemCode,
  detail: string,
  extras: ProblemExtras = {},
): never {
  throw new ProblemError(problem(code, detail, extras));
}
