/** `mustardferry instances`: the entry instances of the deployment. */
import type {InstanceView} from '@mustardferry/model';

import {listCommand} from '../list_command.js';

export const instancesCommand = listCommand<InstanceView>({
  name: 'instances',
  summary: 'List the entry instances as seen by one of them',
  example: ['$0 instances', 'List instances'],
  member: 'instances',
  header: [
    'NAME',
    'DATA CENTRE',
    'ADDRESS',
    'REACHABLE',
    'DRAINING',
    'REVISION',
    'CONTROL',
    'OWNED GROUPS',
  ],
  row: item => [
    item.name,
    item.dataCentre,
    item.address,
    item.reachable,
    item.draining,
    item.policyRevision,
    item.controlRole,
    item.ownedGroups.join(' '),
  ],
});
