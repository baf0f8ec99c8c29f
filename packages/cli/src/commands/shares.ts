/** `mustardferry shares`: the sharing report of a data centre. */
import type {TeamShare} from '@mustardferry/model';

import {listMember, objectBody} from '../api_client.js';
import {
  type Command,
  CONNECTION_FLAGS,
  JSON_FLAG,
  switchArg,
  withClient,
} from '../command.js';
import {EXIT} from '../exit_codes.js';
import {formatJson, formatTable} from '../output.js';

const HEADER = [
  'TEAM',
  'PROMISED %',
  'RECEIVED %',
  'BACKLOGGED %',
  'SLOTS',
  'QUEUED',
  'REFUSED JOBS',
];

export const sharesCommand: Command = {
  path: ['shares'],
  positionals: '',
  summary: 'Show promised and received shares in the data centre of --url',
  flags: {...CONNECTION_FLAGS, ...JSON_FLAG},
  examples: [['$0 shares', 'Show the sharing report']],
  run: (args, context) =>
    withClient(args, context, async client => {
      const reply = await client.send({method: 'GET', path: '/v1/shares'});
      const teams = listMember(reply, 'teams') as readonly TeamShare[];
      if (switchArg(args, 'json')) {
        context.out(formatJson(reply.body));
        return EXIT.SUCCESS;
      }
      const {dataCentre, windowMs} = objectBody(reply);
      const rows = teams.map(team => [
        team.team,
        team.promisedPercent.toFixed(1),
        team.receivedPercent.toFixed(1),
        (team.backloggedFraction * 100).toFixed(0),
        team.running.slots,
        team.queuedTasks,
        team.refusedJobs,
      ]);
      context.out(
        `data centre ${String(dataCentre)}, last ${String(windowMs)} ms\n`,
      );
      context.out(formatTable(HEADER, rows));
      return EXIT.SUCCESS;
    }),
};
