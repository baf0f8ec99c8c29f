/** `mustardferry instances`: the entry instances of the deployment. */
import type {InstanceView} from '@mustardferry/model';

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
  'NAME',
  'DATA CENTRE',
  'ADDRESS',
  'REACHABLE',
  'DRAINING',
  'REVISION',
  'CONTROL',
  'OWNED GROUPS',
];

export const instancesCommand: Command = {
  path: ['instances'],
  positionals: '',
  summary: 'List the entry instances as seen by one of them',
  flags: {...CONNECTION_FLAGS, ...JSON_FLAG},
  examples: [['$0 instances', 'List instances']],
  run: (args, context) =>
    withClient(args, context, async client => {
      const reply = await client.send({method: 'GET', path: '/v1/instances'});
      const list = listMember(reply, 'instances') as readonly InstanceView[];
      if (switchArg(args, 'json')) {
        context.out(formatJson(reply.body));
        return EXIT.SUCCESS;
      }
      const rows = list.map(item => [
        item.name,
        item.dataCentre,
        item.address,
        item.reachable,
        item.draining,
        item.policyRevision,
        item.controlRole,
        item.ownedGroups.join(' '),
      ]);
      context.out(formatTable(HEADER, rows));
      return EXIT.SUCCESS;
    }),
};
