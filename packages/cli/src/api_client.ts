/**
 * HTTP client of the commands. URLs are tried in order. A request whose reply
 * was lost is sent again unchanged, so with the same `Request-Id` or
 * `Idempotency-Key`, which makes the resend harmless.
 */
import type {Problem} from '@mustardferry/model';
import {Agent} from 'undici';

import {
  OutcomeUnknownError,
  ProblemError,
  ReplyError,
  UnreachableError,
} from './errors.js';

/** Largest reply that is read, far above any page of the API. */
const MAX_REPLY_BYTES = 64 * 1024 * 1024;

/** Passes over all URLs; the second one resends after lost replies. */
const MAX_ROUNDS = 2;

/** Errors raised before anything was sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EAI_AGAIN',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Refusals by one instance that another one may not share. */
const TRY_ELSEWHERE_CODES: ReadonlySet<string> = new Set([
  'draining',
  'not-ready',
  'control-unavailable',
]);

/** Where and how to connect. */
export interface ApiClientOptions {
  /** Base URLs in the order in which they are tried; at least one. */
  readonly urls: readonly string[];
  readonly token?: string | undefined;
  /** Time for connecting, and for each reply on top of any requested wait. */
  readonly timeoutMs: number;
}

/** One request to the API. */
export interface ApiRequest {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** Path and query, starting with `/`. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | undefined;
  /** Time that the instance was asked to hold the reply. */
  readonly waitMs?: number;
}

/** A reply with a status below 400. */
export interface ApiReply {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** Parsed JSON; undefined when there is no body. */
  readonly body: unknown;
  readonly url: string;
}

type Attempt =
  | {readonly kind: 'reply'; readonly reply: ApiReply}
  | {readonly kind: 'problem'; readonly problem: Problem}
  | {readonly kind: 'not-sent' | 'lost'; readonly reason: string};

function isProblem(body: unknown): body is Problem {
  return (
    typeof body === 'object' &&
    body !== null &&
    'code' in body &&
    typeof body.code === 'string' &&
    'outcome' in body &&
    typeof body.outcome === 'string'
  );
}

function parseBody(text: string): unknown {
  if (text === '') return undefined;
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

function failureOf(err: unknown): Attempt {
  const code =
    err instanceof Error && 'code' in err ? String(err.code) : 'unknown';
  const detail = err instanceof Error ? err.message : String(err);
  const kind = NOT_SENT_CODES.has(code) ? 'not-sent' : 'lost';
  return {kind, reason: detail === '' ? code : detail};
}

/** Client of one or more entry instances. Close it after use. */
export class ApiClient {
  private readonly agent: Agent;

  constructor(private readonly options: ApiClientOptions) {
    this.agent = new Agent({
      connect: {timeout: options.timeoutMs},
      maxResponseSize: MAX_REPLY_BYTES,
    });
  }

  /**
   * Sends a request until one instance answers it.
   *
   * @throws ProblemError, UnreachableError, OutcomeUnknownError or ReplyError.
   */
  async send(request: ApiRequest): Promise<ApiReply> {
    let refusal: Problem | undefined;
    let lost = false;
    const reasons: string[] = [];
    for (let round = 0; round < MAX_ROUNDS; round++) {
      for (const url of this.options.urls) {
        const attempt = await this.attempt(url, request);
        if (attempt.kind === 'reply') return attempt.reply;
        if (attempt.kind === 'problem') {
          if (!TRY_ELSEWHERE_CODES.has(attempt.problem.code)) {
            throw new ProblemError(attempt.problem);
          }
          refusal = attempt.problem;
        } else {
          lost ||= attempt.kind === 'lost';
          reasons.push(`${url}: ${attempt.reason}`);
        }
      }
      if (!lost) break;
    }
    throw this.failure(request, refusal, lost, reasons);
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private failure(
    request: ApiRequest,
    refusal: Problem | undefined,
    lost: boolean,
    reasons: readonly string[],
  ): Error {
    const detail = reasons.join('; ');
    // A refusal does not settle what became of a request whose reply was lost.
    if (lost && request.method !== 'GET') {
      return new OutcomeUnknownError(
        `no reply to ${request.method} ${request.path}: ${detail}`,
      );
    }
    if (refusal !== undefined) return new ProblemError(refusal);
    return new UnreachableError(`no instance reached: ${detail}`);
  }

  private async attempt(url: string, request: ApiRequest): Promise<Attempt> {
    try {
      return await this.exchange(url, request);
    } catch (err) {
      if (err instanceof ReplyError) throw err;
      return failureOf(err);
    }
  }

  private async exchange(url: string, request: ApiRequest): Promise<Attempt> {
    const {token, timeoutMs} = this.options;
    const limitMs = timeoutMs + (request.waitMs ?? 0);
    const reply = await this.agent.request({
      origin: new URL(url).origin,
      path: request.path,
      method: request.method,
      headers: {
        accept: 'application/json, application/problem+json',
        ...(token === undefined ? {} : {authorization: `Bearer ${token}`}),
        ...request.headers,
      },
      body: request.body ?? null,
      headersTimeout: limitMs,
      bodyTimeout: limitMs,
      // Leaves connecting its own time, so that a connect timeout is seen as
      // such and not as a lost reply.
      signal: AbortSignal.timeout(limitMs + timeoutMs),
    });
    const body = parseBody(await reply.body.text());
    if (reply.statusCode < 400) {
      const {statusCode: status, headers} = reply;
      return {kind: 'reply', reply: {status, headers, body, url}};
    }
    if (isProblem(body)) return {kind: 'problem', problem: body};
    // A balancer in between answers 5xx without saying whether it forwarded.
    const reason = `HTTP status ${reply.statusCode} without a problem body`;
    if (reply.statusCode >= 500) return {kind: 'lost', reason};
    throw new ReplyError(`${url}${request.path}: ${reason}`);
  }
}

/**
 * The body as an object.
 *
 * @throws ReplyError when the body is anything else.
 */
export function objectBody(reply: ApiReply): Readonly<Record<string, unknown>> {
  const {body} = reply;
  if (typeof body === 'object' && body !== null && !Array.isArray(body)) {
    return body as Record<string, unknown>;
  }
  throw new ReplyError(`${reply.url}: the reply is not a JSON object`);
}

/**
 * A member of the body that is a list.
 *
 * @throws ReplyError when it is missing.
 */
export function listMember(reply: ApiReply, name: string): readonly unknown[] {
  const list = objectBody(reply)[name];
  if (Array.isArray(list)) return list;
  throw new ReplyError(`${reply.url}: the reply has no list "${name}"`);
}
