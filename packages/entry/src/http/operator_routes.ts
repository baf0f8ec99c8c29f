/** Routes for operators. */
import {AnswersError, generatePolicy} from '@mustardferry/config';
import type {FirstControlResult} from '@mustardferry/coordination';
import type {
  AnswersAccepted,
  AnswersView,
  ConfigView,
  InstanceView,
  SharesView,
  TeamPolicy,
  UpstreamView,
} from '@mustardferry/model';
import type {FastifyInstance, FastifyReply} from 'fastify';

import type {ControlService} from '../control/control_service.js';
import type {AccessControl} from './access.js';
import {
  operatorOf,
  proposed,
  requestedRevision,
  requestIdOf,
  requireAccepted,
  requireState,
} from './operator_requests.js';
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

interface TeamParams {
  readonly Params: {readonly team: string};
}

interface AuditQuery {
  readonly Querystring: {readonly after?: string; readonly limit?: string};
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

function count(text: string | undefined, otherwise: number): number {
  const value = text === undefined ? otherwise : Number(text);
  if (!Number.isInteger(value) || value < 0) {
    return fail('invalid-body', `${text} is not a whole number.`);
  }
  return value;
}

function refuseInvalid({
  code,
  detail,
}: Extract<FirstControlResult, {outcome: 'invalid'}>): never {
  return fail('answers-invalid', `${code}: ${detail}`);
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
        baseRevision: requestedRevision(req),
        operator: operatorOf(req),
        requestId,
        atMs: Date.now(),
      }),
    );
    const body: AnswersAccepted = {
      team,
      requestId,
      ...requireAccepted(result, refuseInvalid),
    };
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
