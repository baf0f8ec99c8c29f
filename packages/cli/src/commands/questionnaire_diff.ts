/** `mustardferry questionnaire diff`: lists the answers that differ. */
import {diffPolicies, generatePolicy} from '@mustardferry/config';

import {
  type Command,
  JSON_FLAG,
  positionalArg,
  readInput,
  switchArg,
} from '../command.js';
import {EXIT} from '../exit_codes.js';
import {formatJson} from '../output.js';

export const questionnaireDiffCommand: Command = {
  path: ['questionnaire', 'diff'],
  positionals: '<before> <after>',
  summary: 'List the answers that differ between two files',
  flags: {...JSON_FLAG},
  examples: [['$0 questionnaire diff old.ini new.ini', 'List changed answers']],
  run: async (args, context) => {
    const read = async (name: string) => {
      const file = positionalArg(args, name);
      return generatePolicy(await readInput(file, context), file);
    };
    const changes = diffPolicies(await read('before'), await read('after'));
    if (switchArg(args, 'json')) context.out(formatJson({changes}));
    else context.out(changes.map(line => `${line}\n`).join(''));
    return EXIT.SUCCESS;
  },
};
