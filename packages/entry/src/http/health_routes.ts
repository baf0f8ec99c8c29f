/** Routes for the load balancer. */
import type {FastifyInstance} from 'fastify';

import {sendProblem} from './http_server.js';
import {problem} from './problems.js';

/** Options of the routes. */
export interface HealthRouteOptions {
  readonly refusal: () => 'not-ready' | 'draining' | undefined;
}

/** Adds liveness and readiness. */
export function addHealthRoutes(
  app: FastifyInstance,
  {refusal}: HealthRouteOptions,
): void {
  app.get('/healthz', async (_req, res) => res.send({status: 'ok'}));
  app.get('/readyz', async (_req, res) => {
    const code = refusal();
    if (code === undefined) return res.send({status: 'ready'});
    return sendProblem(res, problem(code, 'Send requests elsewhere.'));
  });
}
