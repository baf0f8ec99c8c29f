/** `mustardferry run`: starts an entry instance. */
import {loadSettings} from '@mustardferry/config';

import {type Command, positionalArg} from '../command.js';

export const runCommand: Command = {
  path: ['run'],
  positionals: '',
  summary: 'Start an entry instance',
  flags: {
    settings: {
      type: 'string',
      requiresArg: true,
      demandOption: true,
      describe: 'Settings file of this instance',
    },
  },
  examples: [
    [
      '$0 run --settings /etc/mustardferry/entry-east-1.ini',
      'Run in foreground',
    ],
  ],
  run: async (args, context) =>
    context.runInstance(await loadSettings(positionalArg(args, 'settings'))),
};
