/** `mustardferry explain`: why a job was treated as it was. */
import type {ExplainStep} from '@mustardferry/model';

import {listMember} from '../api_client.js';
import {
  type Command,
  CONNECTION_FLAGS,
  JSON_FLAG,
  positionalArg,
  switchArg,
  withClient,
} from '../command.js';
import {EXIT} from '../exit_codes.js';
import {formatJson, formatTable, formatTime} from '../output.js';

const HEADER = ['TIME', 'TASK', 'STEP', 'REASON', 'ANSWER', 'DETAIL'];

export const explainCommand: Command = {
  path: ['explain'],
  positionals: '<job>',
  summary: 'Show the steps of a job with the reason for each',
  flags: {...CONNECTION_FLAGS, ...JSON_FLAG},
  examples: [['$0 explain east.0.Zm9vYmFyYmF6cXV4MDEyMw', 'Explain a job']],
  run: (args, context) =>
    withClient(args, context, async client => {
      const job = encodeURIComponent(positionalArg(args, 'job'));
      const reply = await client.send({
        method: 'GET',
        path: `/v1/jobs/${job}/explain`,
      });
      const steps = listMember(reply, 'steps') as readonly ExplainStep[];
      if (switchArg(args, 'json')) {
        context.out(formatJson(reply.body));
        return EXIT.SUCCESS;
      }
      const rows = steps.map(step => [
        formatTime(step.atMs),
        step.taskId === '' ? '-' : step.taskId,
        step.step,
        step.reason,
        step.answer ?? '-',
        step.detail,
      ]);
      context.out(formatTable(HEADER, rows));
      return EXIT.SUCCESS;
    }),
};
