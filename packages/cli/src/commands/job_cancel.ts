/** `mustardferry job cancel`: cancels a job. */
import {
  type Command,
  CONNECTION_FLAGS,
  JSON_FLAG,
  positionalArg,
  switchArg,
  withClient,
} from '../command.js';
import {ProblemError} from '../errors.js';
import {EXIT} from '../exit_codes.js';
import {formatJob, jobViewOf} from '../job_view.js';
import {formatJson} from '../output.js';

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
      try {
        const reply = await client.send({method: 'DELETE', path});
        const view = jobViewOf(reply, jobId);
        context.out(formatJob(view, switchArg(args, 'json')));
      } catch (err) {
        // A job that was cancelled in time is answered by the error of a GET.
        if (!(err instanceof ProblemError) || err.code !== 'cancelled')
          throw err;
        const text = `job ${jobId} cancelled\n`;
        context.out(switchArg(args, 'json') ? formatJson(err.problem) : text);
      }
      return EXIT.SUCCESS;
    }),
};
