/** `mustardferry answers show`: prints the answers of a team in force. */
import {objectBody} from '../api_client.js';
import {
  type Command,
  CONNECTION_FLAGS,
  JSON_FLAG,
  positionalArg,
  switchArg,
  withClient,
} from '../command.js';
import {EXIT} from '../exit_codes.js';
import {formatJson} from '../output.js';

export const answersShowCommand: Command = {
  path: ['answers', 'show'],
  positionals: '<team>',
  summary: 'Print the answers of a team that are in force',
  flags: {...CONNECTION_FLAGS, ...JSON_FLAG},
  examples: [
    ['$0 answers show payments > payments.ini', 'Get the file to edit'],
  ],
  run: (args, context) =>
    withClient(args, context, async client => {
      const team = encodeURIComponent(positionalArg(args, 'team'));
      const reply = await client.send({
        method: 'GET',
        path: `/v1/answers/${team}`,
      });
      const view = objectBody(reply);
      if (view.revision === 0) {
        context.err('no answers of this team are in force\n');
        return EXIT.FAILED;
      }
      if (switchArg(args, 'json')) {
        context.out(formatJson(view));
      } else {
        // The revision goes to standard error, so that the text can be saved.
        context.err(`revision ${String(view.revision)}\n`);
        context.out(String(view.text));
      }
      return EXIT.SUCCESS;
    }),
};
