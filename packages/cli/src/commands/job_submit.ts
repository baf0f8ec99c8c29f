/** `mustardferry job submit`: submits a job under an idempotency key. */
import {randomUUID} from 'node:crypto';

import {
  type Command,
  CONNECTION_FLAGS,
  integerArg,
  JSON_FLAG,
  positionalArg,
  readInput,
  switchArg,
  textArg,
  withClient,
} from '../command.js';
import {FileError, UsageError} from '../errors.js';
import {exitCodeOfJob, formatJob, jobViewOf} from '../job_view.js';

/** Longest wait that `--wait` accepts, in seconds. */
const MAX_WAIT_S = 3_600;

function checkJson(file: string, bytes: Uint8Array): string {
  const text = Buffer.from(bytes).toString('utf8');
  try {
    JSON.parse(text);
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    throw new FileError(`${file} is not JSON: ${reason}`, {cause});
  }
  return text;
}

function keyOf(key: string | undefined, home: string | undefined): string {
  if (key !== undefined && home !== undefined) {
    throw new UsageError('--home has no effect on a given --key; omit one');
  }
  // The same key is sent on each attempt, so the client has to choose it.
  return key ?? `${home === undefined ? '' : `dc:${home}:`}${randomUUID()}`;
}

export const jobSubmitCommand: Command = {
  path: ['job', 'submit'],
  positionals: '<file>',
  summary: 'Submit a job; <file> is the JSON body, - is standard input',
  flags: {
    ...CONNECTION_FLAGS,
    ...JSON_FLAG,
    key: {
      type: 'string',
      requiresArg: true,
      describe: 'Idempotency key (default: random, printed first)',
    },
    home: {
      type: 'string',
      requiresArg: true,
      describe: 'Data centre that shall own the job',
    },
    wait: {
      type: 'string',
      requiresArg: true,
      describe: 'Seconds to wait for the answer (default 30, 0 for none)',
    },
  },
  examples: [
    ['$0 job submit job.json --key order-17', 'Submit and wait'],
    ['$0 job submit job.json --wait 0', 'Submit only'],
  ],
  run: async (args, context) => {
    const file = positionalArg(args, 'file');
    const key = keyOf(textArg(args, 'key'), textArg(args, 'home'));
    const waitS = integerArg(args, 'wait', 0, MAX_WAIT_S) ?? 30;
    const body = checkJson(file, await readInput(file, context));
    context.err(`idempotency key ${key}\n`);
    return withClient(args, context, async client => {
      const reply = await client.send({
        method: 'POST',
        path: '/v1/jobs',
        headers: {
          'content-type': 'application/json',
          'idempotency-key': key,
          prefer: `wait=${waitS}`,
        },
        body,
        waitMs: waitS * 1_000,
      });
      const view = jobViewOf(reply);
      context.out(formatJob(view, switchArg(args, 'json')));
      return exitCodeOfJob(view);
    });
  },
};
