/** `mustardferry answers apply`: submits the answers of a team. */
import {randomUUID} from 'node:crypto';

import {AnswersError, diffPolicies, generatePolicy} from '@mustardferry/config';
import type {AnswersView, TeamPolicy} from '@mustardferry/model';

import {type ApiClient, objectBody} from '../api_client.js';
import {
  type Command,
  CONNECTION_FLAGS,
  integerArg,
  JSON_FLAG,
  OPERATOR_FLAG,
  operatorOf,
  positionalArg,
  readInput,
  switchArg,
  textArg,
  withClient,
} from '../command.js';
import {EXIT} from '../exit_codes.js';
import {formatJson} from '../output.js';

/** Answers in force, or undefined when the team has none. */
async function currentAnswers(
  client: ApiClient,
  team: string,
): Promise<AnswersView | undefined> {
  const path = `/v1/answers/${encodeURIComponent(team)}`;
  const reply = await client.send({method: 'GET', path});
  const view = objectBody(reply) as unknown as AnswersView;
  return view.revision === 0 ? undefined : view;
}

/** Text for an accepted change: the new revision and each changed answer. */
function describeAccepted(
  accepted: Readonly<Record<string, unknown>>,
  current: AnswersView | undefined,
  after: TeamPolicy,
): string {
  const note =
    accepted.repeated === true
      ? ' (stored reply to an earlier identical request)'
      : '';
  const lines = [
    `accepted: team ${after.team}, revision ${String(accepted.revision)}${note}`,
  ];
  try {
    const before = current && generatePolicy(current.text);
    lines.push(...diffPolicies(before, after));
  } catch (err) {
    // The change is in force, so an unreadable predecessor is not a failure.
    if (!(err instanceof AnswersError)) throw err;
    lines.push('the earlier answers are not valid any more; no comparison');
  }
  return lines.map(line => `${line}\n`).join('');
}

export const answersApplyCommand: Command = {
  path: ['answers', 'apply'],
  positionals: '<file>',
  summary: 'Submit the answers of a team',
  flags: {
    ...CONNECTION_FLAGS,
    ...JSON_FLAG,
    ...OPERATOR_FLAG,
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
    const operator = operatorOf(args);
    return withClient(args, context, async client => {
      const current = await currentAnswers(client, after.team);
      const revision = given ?? current?.revision ?? 0;
      // Both are needed to repeat the command after an unknown outcome.
      context.err(`--request-id ${requestId} --revision ${revision}\n`);
      const reply = await client.send({
        method: 'PUT',
        path: `/v1/answers/${encodeURIComponent(after.team)}`,
        headers: {
          'content-type': 'text/plain; charset=utf-8',
          'if-match': `"${revision}"`,
          operator,
          'request-id': requestId,
        },
        body: Buffer.from(input).toString('utf8'),
      });
      const accepted = objectBody(reply);
      context.out(
        switchArg(args, 'json')
          ? formatJson(accepted)
          : describeAccepted(accepted, current, after),
      );
      return EXIT.SUCCESS;
    });
  },
};
