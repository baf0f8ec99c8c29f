/** `mustardferry job cancel`: cancels a job. */
import {
  type Command,
  CONNECTION_FLAGS,
  JSON_FLAG,
  positionalArg,
  switchArg,
  withClient,
} from '../command.js';
import {EXIT} from '../exit_codes.js';
import {formatJob, jobViewOf} from '../job_view.js';

export const jobCancelCommand: Command = {
  path: ['job', 'cancel'],
  positionals: '<job>',
  summary: 'Cancel a job; a finished job keeps its answer',
  flags: {...CONNECTION_FLAGS, ...JSON_FLAG},
  examples: [['$0 job cancel east.0.Zm9vYmFyYmF6cXV4MDEyMw', 'Cancel a job']],
  run: (args, context) =>
    withClient(args, context, async client => {
      const jobId = positionalArg(args, 'job');
      const path = `/v1/jobs/${encodeURIComponent(jobId)}`;
      const reply = await client.send({method: 'DELETE', path});
      const view = jobViewOf(reply, jobId);
      context.out(formatJob(view, switchArg(args, 'json')));
      return EXIT.SUCCESS;
    }),
};
