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
import {EXIT} from '../exit_codes.js';
import {exitCodeOfJob, formatJob, isFinished, jobViewOf} from '../job_view.js';

/** Pause between polls; most jobs end within a second. */
const POLL_INTERVAL_MS = 250;

async function watch(
  client: ApiClient,
  context: CliContext,
  jobId: string,
  polls: number,
): Promise<JobView> {
  const path = `/v1/jobs/${encodeURIComponent(jobId)}`;
  let state = '';
  for (let poll = 1; ; poll++) {
    const view = jobViewOf(await client.send({method: 'GET', path}), jobId);
    if (isFinished(view) || poll >= polls) return view;
    if (view.state !== state) context.err(`${jobId} ${view.state}\n`);
    state = view.state;
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
      context.out(formatJob(view, switchArg(args, 'json')));
      return isFinished(view) ? exitCodeOfJob(view) : EXIT.OUTCOME_UNKNOWN;
    }),
};
