/** Entry point of the `mustardferry` program. */
import {setTimeout as pause} from 'node:timers/promises';

import {runInstance} from '@mustardferry/entry';

import {runCli} from './cli.js';
import type {CliContext} from './command.js';

async function readStdin(): Promise<Uint8Array> {
  const chunks: Buffer[] = [];
  for await (const chunk of process.stdin) chunks.push(Buffer.from(chunk));
  return Buffer.concat(chunks);
}

const context: CliContext = {
  out: text => process.stdout.write(text),
  err: text => process.stderr.write(text),
  readStdin,
  runInstance,
  pause: ms => pause(ms),
};

// A reader such as `head` may close the pipe before all output is written.
process.stdout.on('error', (err: NodeJS.ErrnoException) => {
  if (err.code !== 'EPIPE') throw err;
});

// Node.js sets two leading words also inside a single executable application.
runCli(process.argv.slice(2), context).then(
  code => {
    // Setting the code lets pending output be written before the process ends.
    process.exitCode = code;
  },
  (err: unknown) => {
    console.error(err);
    process.exitCode = 1;
  },
);
