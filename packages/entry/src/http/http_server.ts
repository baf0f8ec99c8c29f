/** The HTTP listener of an entry instance. */
import {randomUUID} from 'node:crypto';

import type {RequestLimits} from '@mustardferry/model';
import {type Problem, PROBLEM_MEDIA_TYPE} from '@mustardferry/model';
import type {Logger} from '@mustardferry/runtime';
import Fastify, {
  type FastifyError,
  type FastifyInstance,
  type FastifyReply,
} from 'fastify';

import {problem, ProblemError} from './problems.js';

/** Options of the listener. */
export interface HttpServerOptions {
  readonly limits: RequestLimits;
  readonly logger: Logger;
}

const MAX_ID_LENGTH = 128;
const KEEP_ALIVE_MS = 72_000;

function requestIdOf(header: string | string[] | undefined): string {
  const given = Array.isArray(header) ? header[0] : header;
  const usable =
    given !== undefined &&
    given.length <= MAX_ID_LENGTH &&
    /^[\x21-\x7e]+$/.test(given);
  return usable ? given : randomUUID();
}

/** Converts an error of the HTTP layer to a problem. */
function problemOf(err: FastifyError): Problem {
  if (err instanceof ProblemError) return err.problem;
  switch (err.code) {
    case 'FST_ERR_CTP_BODY_TOO_LARGE':
      return problem('body-too-large', 'The body exceeds the configured size.');
    case 'FST_ERR_CTP_INVALID_MEDIA_TYPE':
      return problem('unsupported-encoding', 'Send the documented media type.');
    case 'FST_ERR_CTP_EMPTY_JSON_BODY':
    case 'FST_ERR_CTP_INVALID_CONTENT_LENGTH':
      return problem('invalid-body', 'The body is empty or truncated.');
    default:
      if (err.statusCode === 400) return problem('invalid-body', err.message);
      return problem('internal', 'The request could not be handled.');
  }
}

/** Sends a problem with its headers. */
export function sendProblem(res: FastifyReply, body: Problem): FastifyReply {
  const requestId = res.request.id;
  if (body.retryAfterSeconds !== undefined) {
    void res.header('retry-after', String(body.retryAfterSeconds));
  }
  return res
    .code(body.status)
    .type(PROBLEM_MEDIA_TYPE)
    .send(JSON.stringify({...body, requestId}));
}

function addJsonParser(app: FastifyInstance): void {
  app.removeAllContentTypeParsers();
  const utf8 = new TextDecoder('utf-8', {fatal: true});
  const parse = (body: string | Buffer, json: boolean): unknown => {
    let text: string;
    try {
      text = utf8.decode(body as Buffer);
    } catch (err) {
      throw new ProblemError(
        problem('unsupported-encoding', 'The body is not valid UTF-8.'),
        {cause: err},
      );
    }
    if (!json) return text;
    try {
      return JSON.parse(text) as unknown;
    } catch (err) {
      throw new ProblemError(
        problem('invalid-body', `The body is not valid JSON: ${String(err)}`),
        {cause: err},
      );
    }
  };
  app.addContentTypeParser(
    'application/json',
    {parseAs: 'buffer'},
    (_req, body, done) => settle(() => parse(body, true), done),
  );
  app.addContentTypeParser(
    'text/plain',
    {parseAs: 'buffer'},
    (_req, body, done) => settle(() => parse(body, false), done),
  );
}

function settle(
  run: () => unknown,
  done: (err: Error | null, value?: unknown) => void,
): void {
  try {
    done(null, run());
  } catch (err) {
    done(err as Error);
  }
}

/** Creates the server with its limits, parsers and error bodies. */
export function createHttpServer(options: HttpServerOptions): FastifyInstance {
  const {limits, logger} = options;
  const app = Fastify({
    logger: false,
    bodyLimit: limits.maxBodyBytes,
    keepAliveTimeout: KEEP_ALIVE_MS,
    genReqId: req => requestIdOf(req.headers['request-id']),
    http: {maxHeaderSize: limits.maxHeaderBytes},
    forceCloseConnections: 'idle',
  });
  app.server.maxConnections = limits.maxConnections;
  addJsonParser(app);
  app.setErrorHandler((err: FastifyError, req, res) => {
    const body = problemOf(err);
    if (body.code === 'internal') {
      logger.error('http-handler-failed', {err, requestId: req.id});
    }
    return sendProblem(res, body);
  });
  app.setNotFoundHandler((req, res) =>
    sendProblem(res, problem('not-found', `${req.method} ${req.url}`)),
  );
  app.addHook('onSend', async (req, res) => {
    void res.header('request-id', req.id);
  });
  return app;
}
