/** `mustardferry answers apply`: submits the answers of a team. */
import {randomUUID} from 'node:crypto';

import {diffPolicies, generatePolicy} from '@mustardferry/config';
import type {AnswersView} from '@mustardferry/model';

import {type ApiClient, objectBody} from '../api_client.js';
import {
  type Command,
  CONNECTION_FLAGS,
  integerArg,
  JSON_FLAG,
  positionalArg,
  readInput,
  switchArg,
  textArg,
  withClient,
} from '../command.js';
import {ProblemError} from '../errors.js';
import {EXIT} from '../exit_codes.js';
import {formatJson} from '../output.js';

/** Answers in force, or undefined when the team has none. */
async function currentAnswers(
  client: ApiClient,
  team: string,
): Promise<AnswersView | undefined> {
  try {
    const path = `/v1/answers/${encodeURIComponent(team)}`;
    const reply = await client.send({method: 'GET', path});
    return objectBody(reply) as unknown as AnswersView;
  } catch (err) {
    if (err instanceof ProblemError && err.code === 'unknown-team') {
      return undefined;
    }
    throw err;
  }
}

export const answersApplyCommand: Command = {
  path: ['answers', 'apply'],
  positionals: '<file>',
  summary: 'Submit the answers of a team',
  flags: {
    ...CONNECTION_FLAGS,
    ...JSON_FLAG,
    revision: {
      type: 'string',
      requiresArg: true,
      describe:
        "Revision of the team's answers that the change is based on; 0 for a new team (default: the one in force)",
    },
    'request-id': {
      type: 'string',
      requiresArg: true,
      describe: 'Id that makes a repeated command harmless (default: random)',
    },
  },
  examples: [
    ['$0 answers apply payments.ini --revision 12', 'Change a team'],
    ['$0 answers apply payments.ini --revision 0', 'Add a team'],
  ],
  run: async (args, context) => {
    const file = positionalArg(args, 'file');
    const input = await readInput(file, context);
    const after = generatePolicy(input, file);
    const given = integerArg(args, 'revision', 0, Number.MAX_SAFE_INTEGER);
    const requestId = textArg(args, 'request-id') ?? randomUUID();
    context.err(`request id ${requestId}\n`);
    return withClient(args, context, async client => {
      const current = await currentAnswers(client, after.team);
      const revision = given ?? current?.revision ?? 0;
      const reply = await client.send({
        method: 'PUT',
        path: `/v1/answers/${encodeURIComponent(after.team)}`,
        headers: {
          'content-type': 'text/plain; charset=utf-8',
          'if-match': `"${revision}"`,
          'request-id': requestId,
        },
        body: Buffer.from(input).toString('utf8'),
      });
      const accepted = objectBody(reply);
      if (switchArg(args, 'json')) {
        context.out(formatJson(accepted));
        return EXIT.SUCCESS;
      }
      const before =
        current === undefined ? undefined : generatePolicy(current.text);
      context.out(
        [
          `accepted: team ${after.team}, revision ${String(accepted.revision)}${accepted.repeated === true ? ' (stored reply to an earlier identical request)' : ''}`,
          ...diffPolicies(before, after),
        ]
          .map(line => `${line}\n`)
          .join(''),
      );
      return EXIT.SUCCESS;
    });
  },
};
