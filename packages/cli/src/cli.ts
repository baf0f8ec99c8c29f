/** Parsing of the command line and execution of the selected command. */
import {ConfigError, unknownNameReason} from '@mustardferry/config';
import {MustardferryError} from '@mustardferry/model';
import yargs, {type Argv} from 'yargs';

import {
  type CliContext,
  type Command,
  type CommandArguments,
  STDIN_FILE,
} from './command.js';
import {COMMANDS, GROUP_SUMMARIES} from './commands.js';
import {CliError, ProblemError, UsageError} from './errors.js';
import {EXIT, EXIT_CODES_HELP} from './exit_codes.js';
import {formatJson} from './output.js';
import {VERSION} from './version.js';

/** What the parser found. */
type Selection =
  | {readonly kind: 'output'; readonly text: string}
  | {
      readonly kind: 'command';
      readonly command: Command;
      readonly args: CommandArguments;
    };

/** Holds the command chosen by yargs and its level, for suggestions. */
interface ParserState {
  selected?: {readonly command: Command; readonly args: CommandArguments};
  /** Flags valid at the level that was reached. */
  flags: readonly string[];
  /** Command words valid at the level that was reached. */
  words: readonly string[];
  /** Words and positionals of the level that was reached. */
  usage: string;
}

function addCommand(parser: Argv, command: Command, state: ParserState): Argv {
  const word = command.path.at(-1) ?? '';
  return parser.command(
    `${word} ${command.positionals}`.trim(),
    command.summary,
    sub => {
      state.flags = [...Object.keys(command.flags), 'help'];
      state.words = [];
      state.usage = [...command.path, command.positionals].join(' ').trim();
      for (const [line, text] of command.examples) sub.example(line, text);
      return sub
        .options(command.flags)
        .version(false)
        .epilogue(EXIT_CODES_HELP);
    },
    args => {
      state.selected = {command, args};
    },
  );
}

function addGroup(
  parser: Argv,
  word: string,
  commands: readonly Command[],
  state: ParserState,
): Argv {
  return parser.command(word, GROUP_SUMMARIES[word] ?? '', sub => {
    state.usage = word;
    state.flags = ['help'];
    state.words = commands.map(command => command.path.at(-1) ?? '');
    for (const command of commands) addCommand(sub, command, state);
    return sub
      .version(false)
      .demandCommand(1, `a command is missing: ${state.words.join(', ')}`)
      .epilogue(EXIT_CODES_HELP);
  });
}

function firstWords(): readonly string[] {
  return [...new Set(COMMANDS.map(command => command.path[0]))];
}

/** Rewrites messages of yargs so that unknown names get the nearest valid one. */
function usageMessage(
  message: string,
  args: readonly string[],
  state: ParserState,
): string {
  const flags = state.flags.map(flag => `--${flag}`);
  const unknownFlag = args
    .filter(arg => arg.startsWith('--') && arg !== '--')
    .map(arg => arg.split('=', 1)[0] ?? arg)
    .find(arg => !flags.includes(arg));
  if (unknownFlag !== undefined) {
    return unknownNameReason('flag', unknownFlag, flags);
  }
  if (message.startsWith('Not enough non-option arguments')) {
    return `an argument of "${state.usage}" is missing`;
  }
  const found = /^Unknown (?:argument|command)s?: ([^,]*)/.exec(message);
  const name = found?.[1];
  if (name === undefined) return message;
  return state.words.length > 0
    ? unknownNameReason('command', name, state.words)
    : `unexpected argument "${name}"; usage: ${state.usage}`;
}

function createParser(args: readonly string[], state: ParserState): Argv {
  const parser = yargs([...args])
    .scriptName('mustardferry')
    .locale('en')
    .usage('$0 <command>\n\nDispatcher for sub-second tasks.')
    .parserConfiguration({
      'camel-case-expansion': false,
      'dot-notation': false,
      'parse-numbers': false,
      'parse-positional-numbers': false,
      'boolean-negation': false,
    })
    .strict()
    .exitProcess(false)
    .wrap(null)
    .help('help')
    .version('version', VERSION)
    .epilogue(EXIT_CODES_HELP)
    .demandCommand(1, 'a command is missing; see --help')
    .fail((message, err) => {
      const text = message ?? err?.message ?? 'invalid command line';
      throw new UsageError(usageMessage(text, args, state));
    });
  for (const word of firstWords()) {
    const commands = COMMANDS.filter(command => command.path[0] === word);
    const [first] = commands;
    if (first?.path.length === 1) addCommand(parser, first, state);
    else addGroup(parser, word, commands, state);
  }
  return parser;
}

async function select(args: readonly string[]): Promise<Selection> {
  const state: ParserState = {
    flags: ['help', 'version'],
    words: firstWords(),
    usage: '',
  };
  let text = '';
  const parser = createParser(args, state);
  await parser.parseAsync([...args], {}, (_err, _argv, output) => {
    text = output;
  });
  const {selected} = state;
  if (selected !== undefined) return {kind: 'command', ...selected};
  return {kind: 'output', text: `${text}\n`};
}

/**
 * Runs one command line.
 *
 * @param args Words after the program name.
 * @returns The exit code, see docs/cli.md.
 */
export async function runCli(
  args: readonly string[],
  context: CliContext,
): Promise<number> {
  try {
    // yargs takes a lone "-" for a switch without a value.
    const words = args.map(arg => (arg === '-' ? STDIN_FILE : arg));
    const selection = await select(words);
    if (selection.kind === 'command') {
      return await selection.command.run(selection.args, context);
    }
    context.out(selection.text);
    return EXIT.SUCCESS;
  } catch (err) {
    if (err instanceof UsageError) {
      context.err(`${err.message}\nSee mustardferry --help.\n`);
      return err.exitCode;
    }
    if (err instanceof ProblemError && args.includes('--json')) {
      context.out(formatJson(err.problem));
    }
    if (err instanceof CliError || err instanceof ConfigError) {
      context.err(`${err.message}\n`);
      return err instanceof CliError ? err.exitCode : EXIT.FAILED;
    }
    if (err instanceof MustardferryError) {
      context.err(`${err.code}: ${err.message}\n`);
      return EXIT.FAILED;
    }
    throw err;
  }
}
