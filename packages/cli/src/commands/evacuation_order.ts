/** `mustardferry evacuation start` and `end`: empty and readmit a data centre. */
import {randomUUID} from 'node:crypto';

import type {EvacuationAccepted, EvacuationView} from '@mustardferry/model';

import {type ApiClient, listMember, objectBody} from '../api_client.js';
import {
  type Command,
  type CommandArguments,
  CONNECTION_FLAGS,
  integerArg,
  JSON_FLAG,
  OPERATOR_FLAG,
  operatorOf,
  positionalArg,
  switchArg,
  textArg,
  withClient,
} from '../command.js';
import {EXIT} from '../exit_codes.js';
import {formatJson} from '../output.js';

/** What distinguishes the two commands. */
interface OrderOptions {
  readonly word: 'start' | 'end';
  readonly method: 'POST' | 'DELETE';
  readonly summary: string;
  readonly example: string;
}

const ORDER_FLAGS = {
  revision: {
    type: 'string',
    requiresArg: true,
    describe:
      'Revision of the last order that this one is based on; 0 when there was none (default: the one in force)',
  },
  'request-id': {
    type: 'string',
    requiresArg: true,
    describe: 'Id that makes a repeated command harmless (default: random)',
  },
} as const;

/** Revision of the last order; 0 also for a data centre that is not listed. */
async function currentRevision(
  client: ApiClient,
  dataCentre: string,
): Promise<number> {
  const reply = await client.send({method: 'GET', path: '/v1/evacuations'});
  const list = listMember(reply, 'evacuations') as readonly EvacuationView[];
  return list.find(each => each.dataCentre === dataCentre)?.revision ?? 0;
}

async function sendOrder(
  client: ApiClient,
  args: CommandArguments,
  method: 'POST' | 'DELETE',
  note: (text: string) => void,
): Promise<EvacuationAccepted> {
  const dataCentre = positionalArg(args, 'datacentre');
  const given = integerArg(args, 'revision', 0, Number.MAX_SAFE_INTEGER);
  const requestId = textArg(args, 'request-id') ?? randomUUID();
  const operator = operatorOf(args);
  const revision = given ?? (await currentRevision(client, dataCentre));
  // Both are needed to repeat the command after an unknown outcome.
  note(`--request-id ${requestId} --revision ${revision}\n`);
  const reply = await client.send({
    method,
    path: `/v1/evacuations/${encodeURIComponent(dataCentre)}`,
    headers: {
      'if-match': `"${revision}"`,
      operator,
      'request-id': requestId,
    },
  });
  return objectBody(reply) as unknown as EvacuationAccepted;
}

function describeAccepted(accepted: EvacuationAccepted): string {
  const {dataCentre, evacuated, revision, repeated} = accepted;
  const state = evacuated ? 'evacuated' : 'readmitted';
  const note = repeated
    ? ' (stored reply to an earlier identical request)'
    : '';
  return `accepted: ${dataCentre} ${state}, revision ${revision}${note}\n`;
}

function orderCommand(options: OrderOptions): Command {
  const {word, method, summary, example} = options;
  return {
    path: ['evacuation', word],
    positionals: '<datacentre>',
    summary,
    flags: {
      ...CONNECTION_FLAGS,
      ...JSON_FLAG,
      ...OPERATOR_FLAG,
      ...ORDER_FLAGS,
    },
    examples: [[`$0 evacuation ${word} east`, example]],
    run: (args, context) =>
      withClient(args, context, async client => {
        const accepted = await sendOrder(client, args, method, context.err);
        context.out(
          switchArg(args, 'json')
            ? formatJson(accepted)
            : describeAccepted(accepted),
        );
        return EXIT.SUCCESS;
      }),
  };
}

export const evacuationStartCommand = orderCommand({
  word: 'start',
  method: 'POST',
  summary: 'Evacuate a data centre: no task starts there, runs there end',
  example: 'Evacuate a data centre',
});

export const evacuationEndCommand = orderCommand({
  word: 'end',
  method: 'DELETE',
  summary: 'Readmit a data centre',
  example: 'Readmit a data centre',
});
