/** `mustardferry upstreams`: the upstreams that an instance knows. */
import type {UpstreamView} from '@mustardferry/model';

import {listMember} from '../api_client.js';
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
  'WORKER',
  'ADDRESS',
  'RACK',
  'STATE',
  'SLOTS',
  'CREDITS HERE',
  'RUNNING HERE',
  'RENEWED MS AGO',
  'HOLDER',
];

export const upstreamsCommand: Command = {
  path: ['upstreams'],
  positionals: '',
  summary: 'List the upstreams that an instance knows',
  flags: {...CONNECTION_FLAGS, ...JSON_FLAG},
  examples: [['$0 upstreams --url http://127.0.0.1:7101', 'List upstreams']],
  run: (args, context) =>
    withClient(args, context, async client => {
      const reply = await client.send({method: 'GET', path: '/v1/upstreams'});
      const list = listMember(reply, 'upstreams') as readonly UpstreamView[];
      if (switchArg(args, 'json')) {
        context.out(formatJson(reply.body));
        return EXIT.SUCCESS;
      }
      const rows = list.map(({announcement, ...view}) => [
        announcement.worker,
        announcement.address,
        announcement.rack,
        view.state,
        announcement.capacity.slots,
        view.creditsHere,
        view.runningHere,
        view.lastRenewalMsAgo,
        view.holder,
      ]);
      context.out(formatTable(HEADER, rows));
      return EXIT.SUCCESS;
    }),
};
