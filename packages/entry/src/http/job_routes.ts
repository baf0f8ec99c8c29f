/** Routes for clients. */
import type {OwnerReply} from '@mustardferry/links';
import type {JobView, RequestLimits} from '@mustardferry/model';
import type {FastifyInstance, FastifyReply, FastifyRequest} from 'fastify';

import type {JobGateway} from '../gateway/job_gateway.js';
import type {AccessControl} from './access.js';
import {sendProblem} from './http_server.js';
import {fail, problem} from './problems.js';
import {parseBody} from './schemas.js';

/** Options of the routes. */
export interface JobRouteOptions {
  readonly gateway: JobGateway;
  readonly access: AccessControl;
  readonly limits: RequestLimits;
  /** Whether new requests are taken; a code when they are not. */
  readonly refusal: () => 'not-ready' | 'draining' | undefined;
}

const MAX_KEY_LENGTH = 255;

/** Wait asked for by `Prefer: wait=SECONDS` (RFC 7240), in milliseconds. */
function waitOf(req: FastifyRequest, limits: RequestLimits): number {
  const header = req.headers['prefer'];
  const text = Array.isArray(header) ? header.join(',') : (header ?? '');
  const match = /(?:^|[,;\s])wait=(\d+(?:\.\d+)?)(?:$|[,;\s])/.exec(text);
  if (match === null) return limits.maxWaitMs;
  return Math.min(Number(match[1]) * 1_000, limits.maxWaitMs);
}

function keyOf(req: FastifyRequest): string | undefined {
  const header = req.headers['idempotency-key'];
  if (header === undefined) return undefined;
  if (Array.isArray(header) || !/^[\x21-\x7e]+$/.test(header)) {
    return fail('invalid-body', 'Idempotency-Key: one printable ASCII value.');
  }
  if (header.length > MAX_KEY_LENGTH) {
    return fail('invalid-body', `Idempotency-Key: over ${MAX_KEY_LENGTH}.`);
  }
  return header;
}

function checkTasks(
  tasks: readonly {readonly id: string}[],
  limits: RequestLimits,
): void {
  if (tasks.length > limits.maxTasksPerJob) {
    fail(
      'too-many-tasks',
      `${tasks.length} tasks; the limit is ${limits.maxTasksPerJob}.`,
    );
  }
  const seen = new Set<string>();
  for (const {id} of tasks) {
    if (seen.has(id)) fail('duplicate-task-id', `Task id ${id} is repeated.`);
    seen.add(id);
  }
}

function sendView(res: FastifyReply, view: JobView): FastifyReply {
  if (view.problem !== undefined) return sendProblem(res, view.problem);
  if (view.state === 'complete') return res.code(200).send(view);
  return res
    .code(202)
    .header('location', `/v1/jobs/${encodeURIComponent(view.jobId)}`)
    .send(view);
}

function sendReply(res: FastifyReply, reply: OwnerReply): FastifyReply {
  switch (reply.type) {
    case 'job':
      return sendView(res, reply.view);
    case 'problem':
      return sendProblem(res, reply.problem);
    case 'not-owner':
      return sendProblem(
        res,
        problem('owner-unknown', 'The owner changed.', {jobId: reply.jobId}),
      );
  }
}

interface JobParams {
  readonly Params: {readonly id: string};
}

type Guard = (req: FastifyRequest) => void;

/**
 * Whether the request is about a job that may have been admitted before: only
 * its owner, which a refusing instance doesn't ask, knows what became of it.
 */
function mayBeAdmitted(req: FastifyRequest): boolean {
  return req.method !== 'POST' || req.headers['idempotency-key'] !== undefined;
}

function guardOf(options: JobRouteOptions): Guard {
  return req => {
    options.access.require('clients', req.headers);
    const refusal = options.refusal();
    if (refusal === undefined) return;
    fail(refusal, 'Use another instance.', {
      outcome: mayBeAdmitted(req) ? 'unknown' : 'not-run',
      retryAfterSeconds: 1,
    });
  };
}

function addSubmitRoute(
  app: FastifyInstance,
  {gateway, limits}: JobRouteOptions,
  guard: Guard,
): void {
  app.post('/v1/jobs', async (req, res) => {
    guard(req);
    const body = parseBody('job', req.body);
    checkTasks(body.tasks, limits);
    const reply = await gateway.submit({
      body,
      idempotencyKey: keyOf(req),
      waitMs: waitOf(req, limits),
      requestId: req.id,
    });
    return sendReply(res, reply);
  });
}

/** Adds the client routes to the server. */
export function addJobRoutes(
  app: FastifyInstance,
  options: JobRouteOptions,
): void {
  const {gateway, limits} = options;
  const guard = guardOf(options);
  addSubmitRoute(app, options, guard);
  const jobRequest = (req: FastifyRequest<JobParams>, waitMs: number) => ({
    jobId: req.params.id,
    requestId: req.id,
    waitMs,
  });
  app.get<JobParams>('/v1/jobs/:id', async (req, res) => {
    guard(req);
    const wait = req.headers.prefer === undefined ? 0 : waitOf(req, limits);
    return sendReply(res, await gateway.get(jobRequest(req, wait)));
  });
  app.delete<JobParams>('/v1/jobs/:id', async (req, res) => {
    guard(req);
    const reply = await gateway.cancel(jobRequest(req, limits.maxWaitMs));
    return sendReply(res, reply);
  });
  app.get<JobParams>('/v1/jobs/:id/explain', async (req, res) => {
    guard(req);
    const reply = await gateway.explain(jobRequest(req, 0));
    if (reply.type !== 'steps') return sendReply(res, reply);
    return res.send({jobId: reply.jobId, steps: reply.steps});
  });
}
