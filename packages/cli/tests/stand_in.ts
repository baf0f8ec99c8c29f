/** In-process instance stand-in and command runner for the tests of commands. */
import type {Problem} from '@mustardferry/model';
import Fastify, {type FastifyInstance, type FastifyRequest} from 'fastify';

import {runCli} from '../src/cli.js';
import type {CliContext} from '../src/command.js';

/** One request as received. */
export interface Received {
  readonly method: string;
  readonly url: string;
  readonly headers: FastifyRequest['headers'];
  readonly body: unknown;
}

/** What the stand-in does with a request. */
export type Reaction =
  | {readonly status: number; readonly body: unknown}
  /** Closes the connection without a reply, as a dying instance does. */
  | 'lose-reply'
  /** Keeps the connection open without a reply, as a silent partition does. */
  | 'stay-silent';

/** Answers requests with a script and records them. */
export class StandIn {
  readonly received: Received[] = [];
  url = '';
  private readonly app: FastifyInstance = Fastify({
    forceCloseConnections: true,
  });

  constructor(react: (request: Received, count: number) => Reaction) {
    this.app.addContentTypeParser(
      'text/plain',
      {parseAs: 'string'},
      (_req, body, done) => done(null, body),
    );
    this.app.all('*', async (req, reply) => {
      const {method, url, headers, body} = req;
      const request = {method, url, headers, body};
      this.received.push(request);
      const reaction = react(request, this.received.length);
      if (reaction === 'lose-reply') {
        req.raw.socket.destroy();
        return reply.hijack();
      }
      if (reaction === 'stay-silent') return reply.hijack();
      return reply.status(reaction.status).send(reaction.body);
    });
  }

  async start(): Promise<this> {
    this.url = await this.app.listen({host: '127.0.0.1', port: 0});
    return this;
  }

  async stop(): Promise<void> {
    await this.app.close();
  }
}

/** Output and exit code of one command line. */
export interface CliResult {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

/** Runs a command line in this process. */
export async function run(
  args: readonly string[],
  options: {readonly stdin?: string} & Partial<CliContext> = {},
): Promise<CliResult> {
  let out = '';
  let err = '';
  const code = await runCli(args, {
    out: text => (out += text),
    err: text => (err += text),
    readStdin: async () => Buffer.from(options.stdin ?? ''),
    runInstance: async () => 0,
    pause: async () => undefined,
    ...options,
  });
  return {code, out, err};
}

/** Runs a command line against a new stand-in. */
export async function runAgainst(
  args: readonly string[],
  react: (request: Received, count: number) => Reaction,
) {
  const server = await new StandIn(react).start();
  const result = await run([...args, '--url', server.url]);
  await server.stop();
  return {...result, received: server.received};
}

/** An error body with the given code. */
export function problem(
  status: number,
  code: string,
  outcome: Problem['outcome'],
): Reaction {
  const type = `urn:mustardferry:error:${code}`;
  const body: Problem = {
    type,
    title: code,
    status,
    detail: code,
    code,
    outcome,
  };
  return {status, body};
}
