/** `mustardferry questionnaire check`: checks answers files together. */
import {
  AnswersError,
  checkContradictions,
  type ConfigProblem,
  formatProblem,
  generatePolicy,
} from '@mustardferry/config';
import type {TeamPolicy} from '@mustardferry/model';

import {
  type Command,
  JSON_FLAG,
  listArg,
  readInput,
  switchArg,
} from '../command.js';
import {EXIT} from '../exit_codes.js';
import {formatJson} from '../output.js';

export const questionnaireCheckCommand: Command = {
  path: ['questionnaire', 'check'],
  positionals: '<files..>',
  summary: 'Check answers files, alone and against each other',
  flags: {...JSON_FLAG},
  examples: [
    ['$0 questionnaire check examples/coop/*.ini', 'Check all teams together'],
  ],
  run: async (args, context) => {
    const policies: TeamPolicy[] = [];
    const problems: ConfigProblem[] = [];
    const files = listArg(args, 'files');
    for (const file of files) {
      const input = await readInput(file, context);
      try {
        policies.push(generatePolicy(input, file));
      } catch (err) {
        if (!(err instanceof AnswersError)) throw err;
        problems.push(...err.problems);
      }
    }
    problems.push(...checkContradictions(policies));
    const valid = problems.length === 0;
    if (switchArg(args, 'json')) context.out(formatJson({valid, problems}));
    else if (valid) context.out(`${files.length} file(s) valid\n`);
    else context.err(problems.map(item => `${formatProblem(item)}\n`).join(''));
    return valid ? EXIT.SUCCESS : EXIT.FAILED;
  },
};
