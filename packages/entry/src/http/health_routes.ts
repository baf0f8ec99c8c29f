/** Routes for the load balancer. */
import type {FastifyInstance} from 'fastify';

import {sendProblem} from './http_server.js';
import {problem} from './problems.js';

/** Why an instance should get no requests. */
export interface HealthRefusal {
  readonly code: 'not-ready' | 'draining';
  readonly detail: string;
}

/** Options of the routes. */
export interface HealthRouteOptions {
  readonly refusal: () => HealthRefusal | undefined;
}

/** Adds liveness and readiness. */
export function addHealthRoutes(
  app: FastifyInstance,
  {refusal}: HealthRouteOptions,
): void {
  app.get('/healthz', async (_req, res) => res.send({status: 'ok'}));
  app.get('/readyz', async (_req, res) => {
    const refused = refusal();
    if (refused === undefined) return res.send({status: 'ready'});
    return sendProblem(res, problem(refused.code, refused.detail));
  });
}
