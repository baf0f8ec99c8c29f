/** `mustardferry job watch`: waits until a job is finished. */
import type {JobView} from '@mustardferry/model';

import type {ApiClient} from '../api_client.js';
import {
  type CliContext,
  type Command,
  CONNECTION_FLAGS,
  integerArg,
  JSON_FLAG,
  positionalArg,
  switchArg,
  withClient,
} from '../command.js';
import {ProblemError} from '../errors.js';
import {EXIT} from '../exit_codes.js';
import {exitCodeOfJob, formatJob, isFinished, jobViewOf} from '../job_view.js';

/** Pause between polls; most jobs end within a second. */
const POLL_INTERVAL_MS = 250;

/** Refusals that pass when a leader is elected or a partition heals. */
const PASSING_CODES: ReadonlySet<string> = new Set([
  'draining',
  'home-unreachable',
  'not-ready',
  'owner-unknown',
]);

/** State of the job, or undefined when it can't be known at present. */
async function poll(
  client: ApiClient,
  jobId: string,
): Promise<JobView | undefined> {
  const path = `/v1/jobs/${encodeURIComponent(jobId)}`;
  try {
    return jobViewOf(await client.send({method: 'GET', path}), jobId);
  } catch (err) {
    if (err instanceof ProblemError && PASSING_CODES.has(err.code)) {
      return undefined;
    }
    throw err;
  }
}

/** The finished job, or its last known state when it is time to give up. */
async function watch(
  client: ApiClient,
  context: CliContext,
  jobId: string,
  polls: number,
): Promise<JobView | undefined> {
  let state = '';
  for (let count = 1; ; count++) {
    const view = await poll(client, jobId);
    if (count >= polls || (view !== undefined && isFinished(view))) return view;
    const next = view?.state ?? 'not known at present';
    if (next !== state) context.err(`${jobId} ${next}\n`);
    state = next;
    await context.pause(POLL_INTERVAL_MS);
  }
}

export const jobWatchCommand: Command = {
  path: ['job', 'watch'],
  positionals: '<job>',
  summary: 'Wait until a job is finished and print its answer',
  flags: {
    ...CONNECTION_FLAGS,
    ...JSON_FLAG,
    'give-up-after-s': {
      type: 'string',
      requiresArg: true,
      describe: 'Seconds to watch (default 3600); then the exit code is 4',
    },
  },
  examples: [['$0 job watch east.0.Zm9vYmFyYmF6cXV4MDEyMw', 'Wait for a job']],
  run: (args, context) =>
    withClient(args, context, async client => {
      const jobId = positionalArg(args, 'job');
      const limitS = integerArg(args, 'give-up-after-s', 1, 86_400) ?? 3_600;
      const polls = Math.ceil((limitS * 1_000) / POLL_INTERVAL_MS);
      const view = await watch(client, context, jobId, polls);
      if (view === undefined) return EXIT.OUTCOME_UNKNOWN;
      context.out(formatJob(view, switchArg(args, 'json')));
      return isFinished(view) ? exitCodeOfJob(view) : EXIT.OUTCOME_UNKNOWN;
    }),
};
