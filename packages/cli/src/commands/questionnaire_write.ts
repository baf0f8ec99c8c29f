/** `mustardferry questionnaire write`: prints a questionnaire to fill in. */
import {writeFile} from 'node:fs/promises';

import {NAME_PATTERN, writeQuestionnaire} from '@mustardferry/config';

import {type Command, listArg, textArg} from '../command.js';
import {FileError, UsageError} from '../errors.js';
import {EXIT} from '../exit_codes.js';

function checkNames(names: readonly (string | undefined)[]): void {
  for (const name of names) {
    if (name !== undefined && !NAME_PATTERN.test(name)) {
      throw new UsageError(
        `"${name}" is not a valid name; start with a letter and use letters, digits, "_" and "-"`,
      );
    }
  }
}

export const questionnaireWriteCommand: Command = {
  path: ['questionnaire', 'write'],
  positionals: '',
  summary: 'Write a questionnaire for a team to fill in',
  flags: {
    team: {type: 'string', requiresArg: true, describe: 'Name of the team'},
    kind: {
      type: 'string',
      requiresArg: true,
      describe: 'Kind of request to ask about; repeatable',
    },
    output: {
      type: 'string',
      requiresArg: true,
      describe: 'File to create; standard output by default',
    },
  },
  examples: [
    [
      '$0 questionnaire write --team payments --kind payment-posting',
      'Print a questionnaire',
    ],
  ],
  run: async (args, context) => {
    const team = textArg(args, 'team');
    const kinds = listArg(args, 'kind');
    checkNames([team, ...kinds]);
    const text = writeQuestionnaire({
      ...(team === undefined ? {} : {team}),
      ...(kinds.length === 0 ? {} : {kinds: [...new Set(kinds)]}),
    });
    const output = textArg(args, 'output');
    if (output === undefined) {
      context.out(text);
      return EXIT.SUCCESS;
    }
    try {
      // An existing file may hold a team's answers.
      await writeFile(output, text, {flag: 'wx'});
    } catch (cause) {
      const reason = cause instanceof Error ? cause.message : String(cause);
      throw new FileError(`${output} can't be written: ${reason}`, {cause});
    }
    return EXIT.SUCCESS;
  },
};
