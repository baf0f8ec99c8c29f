/** Routes for operators. */
import {AnswersError, generatePolicy} from '@mustardferry/config';
import type {
  ControlResult,
  FirstControlResult,
} from '@mustardferry/coordination';
import type {
  AnswersAccepted,
  AnswersView,
  ConfigView,
  InstanceView,
  SharesView,
  TeamPolicy,
  UpstreamView,
} from '@mustardferry/model';
import {assertNever} from '@mustardferry/model';
import type {FastifyInstance, FastifyReply, FastifyRequest} from 'fastify';

import {
  ControlOutcomeUnknownError,
  ControlUnavailableError,
} from '../control/control_errors.js';
import type {ControlService} from '../control/control_service.js';
import type {AccessControl} from './access.js';
import {fail} from './problems.js';

/** Options of the routes. */
export interface OperatorRouteOptions {
  readonly instance: string;
  readonly control: ControlService;
  readonly access: AccessControl;
  readonly shares: () => SharesView;
  readonly upstreams: () => readonly UpstreamView[];
  readonly instances: () => readonly InstanceView[];
  /** Starts a graceful shutdown of this instance. */
  readonly drain: () => void;
}

const DEFAULT_AUDIT_LIMIT = 100;
const MAX_AUDIT_LIMIT = 1_000;
const MAX_OPERATOR_LENGTH = 128;

interface TeamParams {
  readonly Params: {readonly team: string};
}

interface AuditQuery {
  readonly Querystring: {readonly after?: string; readonly limit?: string};
}

/** Revision named by `If-Match`, as sent in the `ETag` of the answers. */
function baseRevision(req: FastifyRequest): number {
  const header = req.headers['if-match'];
  const match = /^"?(\d+)"?$/.exec(header ?? '');
  if (match === null) {
    fail('invalid-body', 'If-Match: the revision of the answers is required.');
  }
  return Number(match[1]);
}

function operatorOf(req: FastifyRequest): string {
  const header = req.headers['operator'];
  const name = typeof header === 'string' ? header : 'unnamed';
  return name.slice(0, MAX_OPERATOR_LENGTH);
}

function parsePolicy(text: unknown, team: string): TeamPolicy {
  if (typeof text !== 'string' || text.trim() === '') {
    return fail('answers-invalid', 'The answers file is empty.');
  }
  try {
    return generatePolicy(text, `${team}.ini`);
  } catch (err) {
    if (!(err instanceof AnswersError)) throw err;
    return fail('answers-invalid', err.message);
  }
}

function requestIdOf(req: FastifyRequest): string {
  const header = req.headers['request-id'];
  if (typeof header !== 'string' || header === '') {
    fail('invalid-body', 'Request-Id: required, so that a resend is safe.');
  }
  // The server replaces an unusable id, and a resend would get another one.
  if (header !== req.id) {
    fail('invalid-body', 'Request-Id: at most 128 printable characters.');
  }
  return header;
}

function count(text: string | undefined, otherwise: number): number {
  const value = text === undefined ? otherwise : Number(text);
  if (!Number.isInteger(value) || value < 0) {
    return fail('invalid-body', `${text} is not a whole number.`);
  }
  return value;
}

function refuse(
  result: Exclude<FirstControlResult, {outcome: 'accepted'}>,
): never {
  switch (result.outcome) {
    case 'conflict': {
      const {operator, requestId, revision} = result.winner;
      return fail(
        'revision-conflict',
        `Revision ${revision} by ${operator} (request ${requestId}) came first.`,
      );
    }
    case 'invalid':
      return fail('answers-invalid', `${result.code}: ${result.detail}`);
    default:
      return assertNever(result);
  }
}

function revisionOf(result: ControlResult): {
  readonly revision: number;
  readonly repeated: boolean;
} {
  const repeated = result.outcome === 'repeated';
  const first = result.outcome === 'repeated' ? result.first : result;
  if (first.outcome !== 'accepted') return refuse(first);
  return {revision: first.revision, repeated};
}

async function proposed(
  run: () => Promise<ControlResult>,
): Promise<ControlResult> {
  try {
    return await run();
  } catch (err) {
    if (err instanceof ControlUnavailableError) {
      return fail('control-unavailable', err.message, {retryAfterSeconds: 1});
    }
    if (err instanceof ControlOutcomeUnknownError) {
      return fail(
        'control-outcome-unknown',
        `${err.message}; resend with the same Request-Id.`,
        {retryAfterSeconds: 1},
      );
    }
    throw err;
  }
}

/** A state from before a restart may be older than what was shown then. */
function requireState(control: ControlService): void {
  if (control.hasState) return;
  fail('not-ready', 'No confirmed configuration is held yet.', {
    retryAfterSeconds: 1,
  });
}

function sendAnswers(
  res: FastifyReply,
  control: ControlService,
  team: string,
): FastifyReply {
  const answers = control.state.answers(team);
  const view: AnswersView = {
    team,
    revision: answers?.revision ?? 0,
    text: answers?.text ?? '',
  };
  return res.header('etag', `"${view.revision}"`).send(view);
}

function addAnswersRoutes(
  app: FastifyInstance,
  {control, access}: OperatorRouteOptions,
): void {
  app.get<TeamParams>('/v1/answers/:team', async (req, res) => {
    access.require('operators', req.headers);
    requireState(control);
    return sendAnswers(res, control, req.params.team);
  });
  app.put<TeamParams>('/v1/answers/:team', async (req, res) => {
    access.require('operators', req.headers);
    const {team} = req.params;
    const requestId = requestIdOf(req);
    const policy = parsePolicy(req.body, team);
    const result = await proposed(() =>
      control.propose({
        type: 'accept-answers',
        team,
        text: req.body as string,
        policy,
        baseRevision: baseRevision(req),
        operator: operatorOf(req),
        requestId,
        atMs: Date.now(),
      }),
    );
    const body: AnswersAccepted = {team, requestId, ...revisionOf(result)};
    return res.header('etag', `"${body.revision}"`).send(body);
  });
}

function addReportRoutes(
  app: FastifyInstance,
  options: OperatorRouteOptions,
): void {
  const {control, access} = options;
  app.get('/v1/config', async (req, res) => {
    access.require('operators', req.headers);
    requireState(control);
    const {confirmedMsAgo} = control;
    const view: ConfigView = {
      instance: options.instance,
      policy: control.policy,
      current: control.isCurrent,
      confirmedMsAgo: Number.isFinite(confirmedMsAgo)
        ? Math.round(confirmedMsAgo)
        : -1,
    };
    return res.header('etag', `"${view.policy.revision}"`).send(view);
  });
  app.get<AuditQuery>('/v1/audit', async (req, res) => {
    access.require('operators', req.headers);
    const after = count(req.query.after, 0);
    const limit = count(req.query.limit, DEFAULT_AUDIT_LIMIT);
    const page = await control.auditPage(
      after,
      Math.min(limit, MAX_AUDIT_LIMIT),
    );
    if (page === undefined) {
      fail('not-found', `Entries after ${after} are archived on the voters.`);
    }
    return res.send(page);
  });
}

function addStateRoutes(
  app: FastifyInstance,
  {access, shares, upstreams, instances}: OperatorRouteOptions,
): void {
  app.get('/v1/shares', async (req, res) => {
    access.require('operators', req.headers);
    return res.send(shares());
  });
  app.get('/v1/upstreams', async (req, res) => {
    access.require('operators', req.headers);
    return res.send({upstreams: upstreams()});
  });
  app.get('/v1/instances', async (req, res) => {
    access.require('operators', req.headers);
    return res.send({instances: instances()});
  });
}

/** Adds the operator routes to the server. */
export function addOperatorRoutes(
  app: FastifyInstance,
  options: OperatorRouteOptions,
): void {
  addAnswersRoutes(app, options);
  addReportRoutes(app, options);
  addStateRoutes(app, options);
  const {control, access, instance} = options;
  app.post('/v1/drain', async (req, res) => {
    access.require('operators', req.headers);
    // Best effort: a drain must work also while the control log does not.
    void control
      .propose({
        type: 'set-draining',
        instance,
        draining: true,
        operator: operatorOf(req),
        requestId: req.id,
        atMs: Date.now(),
      })
      .catch(() => undefined);
    options.drain();
    return res.code(202).send({instance, draining: true});
  });
}
