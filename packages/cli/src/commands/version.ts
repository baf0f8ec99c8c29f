/** `mustardferry version`: version of the program and of its runtime. */
import {type Command, JSON_FLAG, switchArg} from '../command.js';
import {EXIT} from '../exit_codes.js';
import {formatJson} from '../output.js';
import {VERSION} from '../version.js';

export const versionCommand: Command = {
  path: ['version'],
  positionals: '',
  summary: 'Print the version of the program and of Node.js',
  flags: {...JSON_FLAG},
  examples: [['$0 version --json', 'Print for a program']],
  run: async (args, context) => {
    const versions = {mustardferry: VERSION, node: process.versions.node};
    context.out(
      switchArg(args, 'json')
        ? formatJson(versions)
        : `mustardferry ${versions.mustardferry}, Node.js ${versions.node}\n`,
    );
    return EXIT.SUCCESS;
  },
};
