/** `mustardferry questionnaire generate`: prints the generated policy. */
import {formatPolicy, generatePolicy} from '@mustardferry/config';

import {type Command, positionalArg, readInput} from '../command.js';
import {EXIT} from '../exit_codes.js';

export const questionnaireGenerateCommand: Command = {
  path: ['questionnaire', 'generate'],
  positionals: '<file>',
  summary: 'Print the policy generated from an answers file, as JSON',
  flags: {},
  examples: [
    ['$0 questionnaire generate examples/coop/payments.ini', 'Print a policy'],
  ],
  run: async (args, context) => {
    const file = positionalArg(args, 'file');
    const input = await readInput(file, context);
    context.out(formatPolicy(generatePolicy(input, file)));
    return EXIT.SUCCESS;
  },
};
