/** Description of a command, from which parser, help and pages are made. */
import {readFile} from 'node:fs/promises';
import {userInfo} from 'node:os';

import type {InstanceSettings} from '@mustardferry/model';
import type {Options} from 'yargs';

import {ApiClient} from './api_client.js';
import {FileError, UsageError} from './errors.js';

/** Where a command writes and reads; replaced in tests. */
export interface CliContext {
  /** Writes to standard output, without adding a line end. */
  readonly out: (text: string) => void;
  /** Writes to standard error, without adding a line end. */
  readonly err: (text: string) => void;
  readonly readStdin: () => Promise<Uint8Array>;
  /** Starts an entry instance; resolves to the exit code of the process. */
  readonly runInstance: (settings: InstanceSettings) => Promise<number>;
  /** Resolves after `ms` milliseconds; pauses between polls. */
  readonly pause: (ms: number) => Promise<void>;
}

/** Parsed flags and positional arguments, by their names in the help. */
export type CommandArguments = Readonly<Record<string, unknown>>;

/** One command. */
export interface Command {
  /** Words that select it, for example `['job', 'submit']`. */
  readonly path: readonly [string, ...string[]];
  /** Positional arguments in yargs notation, for example `<file>`. */
  readonly positionals: string;
  readonly summary: string;
  readonly flags: Readonly<Record<string, Options>>;
  /** Command line and what it does. */
  readonly examples: readonly (readonly [string, string])[];
  readonly run: (
    args: CommandArguments,
    context: CliContext,
  ) => Promise<number>;
}

/** Flag for machine-readable output. */
export const JSON_FLAG = {
  json: {type: 'boolean', describe: 'Write JSON for programs'},
} as const satisfies Readonly<Record<string, Options>>;

/** URL of an instance that listens at the address used in the examples. */
export const DEFAULT_URL = 'http://127.0.0.1:7101';

/** Flags of all commands that talk to instances. */
export const CONNECTION_FLAGS = {
  url: {
    type: 'string',
    requiresArg: true,
    describe: `Instance or balancer; repeatable, tried in order (default ${DEFAULT_URL})`,
  },
  'token-file': {
    type: 'string',
    requiresArg: true,
    describe: 'File with the bearer token',
  },
  'timeout-ms': {
    type: 'string',
    requiresArg: true,
    describe: 'Time to wait for each reply (default 10000)',
  },
} as const satisfies Readonly<Record<string, Options>>;

/** Flag of the commands that leave an entry in the audit trail. */
export const OPERATOR_FLAG = {
  operator: {
    type: 'string',
    requiresArg: true,
    describe: 'Name for the audit trail (default: the login name)',
  },
} as const satisfies Readonly<Record<string, Options>>;

/** Value of a flag that may be given once. */
export function textArg(
  args: CommandArguments,
  name: string,
): string | undefined {
  const value = args[name];
  if (value === undefined) return undefined;
  if (Array.isArray(value)) throw new UsageError(`--${name} is given twice`);
  return String(value);
}

/** Value of a positional argument that yargs has checked to be present. */
export function positionalArg(args: CommandArguments, name: string): string {
  const value = textArg(args, name);
  if (value === undefined) throw new UsageError(`${name} is missing`);
  return value;
}

/** Values of a repeatable flag. */
export function listArg(
  args: CommandArguments,
  name: string,
): readonly string[] {
  const value = args[name];
  if (value === undefined) return [];
  return (Array.isArray(value) ? value : [value]).map(String);
}

/** Value of the `Operator` header. */
export function operatorOf(args: CommandArguments): string {
  const name = textArg(args, 'operator') ?? userInfo().username;
  if (!/^[\x21-\x7e]{1,128}$/.test(name)) {
    throw new UsageError('--operator must be printable ASCII without spaces');
  }
  return name;
}

/** Whether a switch was given. */
export function switchArg(args: CommandArguments, name: string): boolean {
  return args[name] === true;
}

/** A whole number from `min` to `max`. */
export function integerArg(
  args: CommandArguments,
  name: string,
  min: number,
  max: number,
): number | undefined {
  const text = textArg(args, name);
  if (text === undefined) return undefined;
  const value = Number(text);
  if (!/^\d+$/.test(text) || value < min || value > max) {
    throw new UsageError(
      `--${name} must be a whole number from ${min} to ${max}`,
    );
  }
  return value;
}

function checkedUrl(text: string): string {
  const url = URL.canParse(text) ? new URL(text) : undefined;
  if (url === undefined || !/^https?:$/.test(url.protocol)) {
    throw new UsageError(
      `"${text}" is not a URL such as ${DEFAULT_URL}, see --url`,
    );
  }
  // The routes of the API are fixed, so a path would be dropped silently.
  if (url.pathname !== '/' || url.search !== '' || url.username !== '') {
    throw new UsageError(`"${text}" must have no path, query or user name`);
  }
  return url.origin;
}

/** File name that stands for standard input; `-` is converted to it. */
export const STDIN_FILE = '/dev/stdin';

/** Reads a file or standard input. */
export async function readInput(
  file: string,
  context: CliContext,
): Promise<Uint8Array> {
  try {
    return await (file === STDIN_FILE ? context.readStdin() : readFile(file));
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    throw new FileError(`${file} can't be read: ${reason}`, {cause});
  }
}

async function readToken(
  args: CommandArguments,
  context: CliContext,
): Promise<string | undefined> {
  const file = textArg(args, 'token-file');
  if (file === undefined) return undefined;
  const token = Buffer.from(await readInput(file, context))
    .toString('utf8')
    .trim();
  if (!/^[A-Za-z0-9._~+/=-]+$/.test(token)) {
    throw new FileError(`${file} does not hold a bearer token`);
  }
  return token;
}

/** URLs given by `--url`, or the default one. */
export function urlsOf(
  args: CommandArguments,
  name = 'url',
): readonly string[] {
  const urls = listArg(args, name).map(checkedUrl);
  return urls.length === 0 ? [DEFAULT_URL] : urls;
}

/** Runs `use` with a client made from the connection flags, then closes it. */
export async function withClient<T>(
  args: CommandArguments,
  context: CliContext,
  use: (client: ApiClient) => Promise<T>,
  urls: readonly string[] = urlsOf(args),
): Promise<T> {
  const client = new ApiClient({
    urls,
    token: await readToken(args, context),
    timeoutMs: integerArg(args, 'timeout-ms', 1, 3_600_000) ?? 10_000,
  });
  try {
    return await use(client);
  } finally {
    await client.close();
  }
}
