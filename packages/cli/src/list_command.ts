/** Commands that read one list from an instance and show it as a table. */
import {listMember, objectBody} from './api_client.js';
import {
  type Command,
  CONNECTION_FLAGS,
  JSON_FLAG,
  switchArg,
  withClient,
} from './command.js';
import {EXIT} from './exit_codes.js';
import {formatJson, formatTable} from './output.js';

/** Cell of a table. */
export type Cell = string | number | boolean;

/** What distinguishes one list command. `T` is an element of the list. */
export interface ListCommandOptions<T> {
  readonly name: string;
  readonly summary: string;
  readonly example: readonly [string, string];
  /** Member of the reply that holds the list. */
  readonly member: string;
  readonly header: readonly string[];
  readonly row: (item: T) => readonly Cell[];
  /** Text above the table, from the whole reply. */
  readonly title?: (body: Readonly<Record<string, unknown>>) => string;
}

/** Creates the command `mustardferry NAME`, which reads `GET /v1/NAME`. */
export function listCommand<T>(options: ListCommandOptions<T>): Command {
  const {name, summary, example, member, header, row, title} = options;
  return {
    path: [name],
    positionals: '',
    summary,
    flags: {...CONNECTION_FLAGS, ...JSON_FLAG},
    examples: [example],
    run: (args, context) =>
      withClient(args, context, async client => {
        const reply = await client.send({method: 'GET', path: `/v1/${name}`});
        const list = listMember(reply, member) as readonly T[];
        if (switchArg(args, 'json')) {
          context.out(formatJson(reply.body));
          return EXIT.SUCCESS;
        }
        if (title !== undefined) context.out(title(objectBody(reply)));
        context.out(formatTable(header, list.map(row)));
        return EXIT.SUCCESS;
      }),
  };
}
