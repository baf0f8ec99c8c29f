/** `mustardferry shares`: the sharing report of a data centre. */
import type {TeamShare} from '@mustardferry/model';

import {listCommand} from '../list_command.js';

export const sharesCommand = listCommand<TeamShare>({
  name: 'shares',
  summary: 'Show promised and received shares in the data centre of --url',
  example: ['$0 shares', 'Show the sharing report'],
  member: 'teams',
  header: [
    'TEAM',
    'PROMISED %',
    'RECEIVED %',
    'BACKLOGGED %',
    'SLOTS',
    'QUEUED',
    'REFUSED JOBS',
  ],
  row: team => [
    team.team,
    team.promisedPercent.toFixed(1),
    team.receivedPercent.toFixed(1),
    (team.backloggedFraction * 100).toFixed(0),
    team.running.slots,
    team.queuedTasks,
    team.refusedJobs,
  ],
  title: ({dataCentre, windowMs}) =>
    `data centre ${String(dataCentre)}, last ${String(windowMs)} ms\n`,
});
