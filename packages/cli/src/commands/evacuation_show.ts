/** `mustardferry evacuation show`: which data centres are evacuated. */
import type {EvacuationView} from '@mustardferry/model';

import {listMember, objectBody} from '../api_client.js';
import {
  type Command,
  CONNECTION_FLAGS,
  JSON_FLAG,
  switchArg,
  withClient,
} from '../command.js';
import {EXIT} from '../exit_codes.js';
import {formatJson, formatTable, formatTime} from '../output.js';

const HEADER = ['DATA CENTRE', 'EVACUATED', 'REVISION', 'SINCE', 'OPERATOR'];

export const evacuationShowCommand: Command = {
  path: ['evacuation', 'show'],
  positionals: '',
  summary: 'List the data centres and whether they are evacuated',
  flags: {...CONNECTION_FLAGS, ...JSON_FLAG},
  examples: [['$0 evacuation show', 'List the data centres']],
  run: (args, context) =>
    withClient(args, context, async client => {
      const reply = await client.send({method: 'GET', path: '/v1/evacuations'});
      const list = listMember(
        reply,
        'evacuations',
      ) as readonly EvacuationView[];
      if (switchArg(args, 'json')) {
        context.out(formatJson(reply.body));
        return EXIT.SUCCESS;
      }
      if (objectBody(reply).current !== true) {
        context.err(`${reply.url} holds a state that may be older\n`);
      }
      const rows = list.map(item => [
        item.dataCentre,
        item.evacuated,
        item.revision,
        item.changedAtMs === undefined ? '-' : formatTime(item.changedAtMs),
        item.operator ?? '-',
      ]);
      context.out(formatTable(HEADER, rows));
      return EXIT.SUCCESS;
    }),
};
