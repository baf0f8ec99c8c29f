/** `mustardferry drain`: starts the planned stop of one instance. */
import {randomUUID} from 'node:crypto';

import {
  type Command,
  CONNECTION_FLAGS,
  JSON_FLAG,
  listArg,
  OPERATOR_FLAG,
  operatorOf,
  switchArg,
  withClient,
} from '../command.js';
import {UsageError} from '../errors.js';
import {EXIT} from '../exit_codes.js';
import {formatJson} from '../output.js';

export const drainCommand: Command = {
  path: ['drain'],
  positionals: '',
  summary: 'Drain the instance at --url: no new jobs, running ones finish',
  flags: {...CONNECTION_FLAGS, ...JSON_FLAG, ...OPERATOR_FLAG},
  examples: [['$0 drain --url http://127.0.0.1:7102', 'Drain one instance']],
  run: async (args, context) => {
    // With several URLs a failed attempt would drain another instance.
    if (listArg(args, 'url').length !== 1) {
      throw new UsageError('drain needs exactly one --url');
    }
    const operator = operatorOf(args);
    return withClient(args, context, async client => {
      const reply = await client.send({
        method: 'POST',
        path: '/v1/drain',
        headers: {
          'content-type': 'application/json',
          operator,
          'request-id': randomUUID(),
        },
        body: '{}',
      });
      if (switchArg(args, 'json')) context.out(formatJson(reply.body ?? {}));
      else context.out(`${reply.url} is draining\n`);
      return EXIT.SUCCESS;
    });
  },
};
