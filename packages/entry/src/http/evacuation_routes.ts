/** Routes for operators that evacuate and readmit data centres. */
import type {FirstControlResult} from '@mustardferry/coordination';
import type {
  EvacuationAccepted,
  EvacuationsView,
  EvacuationView,
} from '@mustardferry/model';
import type {FastifyInstance, FastifyRequest} from 'fastify';

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
export interface EvacuationRouteOptions {
  readonly control: ControlService;
  readonly access: AccessControl;
  /** Data centres named in the settings. */
  readonly dataCentres: readonly string[];
}

interface DataCentreParams {
  readonly Params: {readonly dataCentre: string};
}

function refuseInvalid({
  code,
  detail,
}: Extract<FirstControlResult, {outcome: 'invalid'}>): never {
  if (code === 'unknown-data-centre') return fail(code, detail);
  return fail('invalid-body', `${code}: ${detail}`);
}

function requireDataCentre(
  {control, dataCentres}: EvacuationRouteOptions,
  dataCentre: string,
): void {
  if (!dataCentres.includes(dataCentre)) {
    fail(
      'unknown-data-centre',
      `${dataCentre} is none of ${dataCentres.join(', ')}.`,
    );
  }
  requireState(control);
  // The refusal of an order would be stored under its request id.
  if (!control.state.knowsDataCentre(dataCentre)) {
    fail('not-ready', `${dataCentre} is not defined in the control log yet.`, {
      retryAfterSeconds: 1,
    });
  }
}

/**
 * Revision that an order is based on. Without `If-Match` it is the one held on
 * arrival, so that an order that this instance sends late can't undo a newer one.
 */
function baseRevision(
  req: FastifyRequest,
  control: ControlService,
  dataCentre: string,
): number {
  if (req.headers['if-match'] !== undefined) return requestedRevision(req);
  return control.state.evacuation(dataCentre)?.revision ?? 0;
}

async function order(
  options: EvacuationRouteOptions,
  req: FastifyRequest<DataCentreParams>,
  evacuated: boolean,
): Promise<EvacuationAccepted> {
  const {control, access} = options;
  access.require('operators', req.headers);
  const {dataCentre} = req.params;
  const requestId = requestIdOf(req);
  requireDataCentre(options, dataCentre);
  const result = await proposed(() =>
    control.propose({
      type: 'set-evacuated',
      dataCentre,
      evacuated,
      baseRevision: baseRevision(req, control, dataCentre),
      operator: operatorOf(req),
      requestId,
      atMs: Date.now(),
    }),
  );
  const accepted = requireAccepted(result, refuseInvalid);
  return {dataCentre, evacuated, requestId, ...accepted};
}

function viewOf(control: ControlService, dataCentre: string): EvacuationView {
  const record = control.state.evacuation(dataCentre);
  if (record === undefined) return {dataCentre, evacuated: false, revision: 0};
  const {evacuated, revision, changedAtMs, operator} = record;
  return {dataCentre, evacuated, revision, changedAtMs, operator};
}

/** Adds the evacuation routes to the server. */
export function addEvacuationRoutes(
  app: FastifyInstance,
  options: EvacuationRouteOptions,
): void {
  const {control, access, dataCentres} = options;
  app.get('/v1/evacuations', async (req, res) => {
    access.require('operators', req.headers);
    requireState(control);
    const view: EvacuationsView = {
      current: control.isCurrent,
      evacuations: dataCentres.map(name => viewOf(control, name)),
    };
    return res.send(view);
  });
  app.post<DataCentreParams>('/v1/evacuations/:dataCentre', async (req, res) =>
    res.send(await order(options, req, true)),
  );
  app.delete<DataCentreParams>(
    '/v1/evacuations/:dataCentre',
    async (req, res) => res.send(await order(options, req, false)),
  );
}
