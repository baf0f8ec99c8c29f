/** `mustardferry config show`: the configuration in force on each instance. */
import {formatPolicy} from '@mustardferry/config';
import type {ConfigView} from '@mustardferry/model';

import {objectBody} from '../api_client.js';
import {
  type CliContext,
  type Command,
  type CommandArguments,
  CONNECTION_FLAGS,
  JSON_FLAG,
  listArg,
  switchArg,
  urlsOf,
  withClient,
} from '../command.js';
import {ProblemError, UnreachableError} from '../errors.js';
import {EXIT} from '../exit_codes.js';
import {formatJson, formatTable} from '../output.js';

/** What one URL answered. */
interface InstanceConfig {
  readonly url: string;
  readonly view: ConfigView | undefined;
  /** Empty when the instance answered. */
  readonly error: string;
}

async function askInstance(
  args: CommandArguments,
  context: CliContext,
  url: string,
): Promise<InstanceConfig> {
  const fetch = () =>
    withClient(
      args,
      context,
      client => client.send({method: 'GET', path: '/v1/config'}),
      [url],
    );
  try {
    const view = objectBody(await fetch()) as unknown as ConfigView;
    return {url, view, error: ''};
  } catch (err) {
    if (err instanceof UnreachableError || err instanceof ProblemError) {
      return {url, view: undefined, error: err.message};
    }
    throw err;
  }
}

function toRow({url, view, error}: InstanceConfig) {
  return view === undefined
    ? [url, '-', '-', '-', error]
    : [
        url,
        view.instance,
        view.policy.revision,
        view.current,
        `confirmed ${view.confirmedMsAgo} ms ago`,
      ];
}

function exitCodeOf(configs: readonly InstanceConfig[]) {
  if (configs.every(config => config.error === '')) return EXIT.SUCCESS;
  return configs.some(config => config.error.startsWith('no instance'))
    ? EXIT.UNREACHABLE
    : EXIT.FAILED;
}

export const configShowCommand: Command = {
  path: ['config', 'show'],
  positionals: '',
  summary: 'Show the configuration in force on each instance',
  flags: {
    ...CONNECTION_FLAGS,
    ...JSON_FLAG,
    instance: {
      type: 'string',
      requiresArg: true,
      describe: 'Instance to ask; repeatable, all are asked (default: --url)',
    },
    policy: {type: 'boolean', describe: 'Also print the policy of each team'},
  },
  examples: [
    [
      '$0 config show --instance http://127.0.0.1:7101 --instance http://127.0.0.1:7102',
      'Compare two instances',
    ],
  ],
  run: async (args, context) => {
    const given = listArg(args, 'instance').length > 0;
    const urls = urlsOf(args, given ? 'instance' : 'url');
    const configs = await Promise.all(
      urls.map(url => askInstance(args, context, url)),
    );
    if (switchArg(args, 'json')) {
      context.out(formatJson({instances: configs}));
      return exitCodeOf(configs);
    }
    const header = ['URL', 'INSTANCE', 'REVISION', 'CURRENT', 'DETAIL'];
    context.out(formatTable(header, configs.map(toRow)));
    if (switchArg(args, 'policy')) {
      for (const {url, view} of configs) {
        context.out(`\n${url}\n`);
        for (const team of view?.policy.teams ?? []) {
          context.out(formatPolicy(team));
        }
      }
    }
    return exitCodeOf(configs);
  },
};
