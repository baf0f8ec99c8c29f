/** `mustardferry upstreams`: the upstreams that an instance knows. */
import type {UpstreamView} from '@mustardferry/model';

import {listCommand} from '../list_command.js';

export const upstreamsCommand = listCommand<UpstreamView>({
  name: 'upstreams',
  summary: 'List the upstreams that an instance knows',
  example: ['$0 upstreams --url http://127.0.0.1:7101', 'List upstreams'],
  member: 'upstreams',
  header: [
    'WORKER',
    'ADDRESS',
    'RACK',
    'STATE',
    'SLOTS',
    'CREDITS HERE',
    'RUNNING HERE',
    'RENEWED MS AGO',
    'HOLDER',
  ],
  row: ({announcement, ...view}) => [
    announcement.worker,
    announcement.address,
    announcement.rack,
    view.state,
    announcement.capacity.slots,
    view.creditsHere,
    view.runningHere,
    view.lastRenewalMsAgo,
    view.holder,
  ],
});
