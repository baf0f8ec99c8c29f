/** Routes for upstreams. */
import type {FastifyInstance} from 'fastify';

import type {UpstreamService} from '../upstreams/upstream_service.js';
import type {AccessControl} from './access.js';
import {parseBody} from './schemas.js';

/** Options of the routes. */
export interface UpstreamRouteOptions {
  readonly upstreams: UpstreamService;
  readonly access: AccessControl;
}

/** Adds the upstream routes to the server. */
export function addUpstreamRoutes(
  app: FastifyInstance,
  {upstreams, access}: UpstreamRouteOptions,
): void {
  app.post('/v1/upstreams/announce', async (req, res) => {
    access.require('upstreams', req.headers);
    return res.send(upstreams.announce(parseBody('announce', req.body)));
  });
  app.post('/v1/upstreams/leave', async (req, res) => {
    access.require('upstreams', req.headers);
    return res.send({accepted: upstreams.leave(parseBody('leave', req.body))});
  });
  app.post('/v1/upstreams/usage', async (req, res) => {
    access.require('upstreams', req.headers);
    upstreams.reportUsage(parseBody('usage', req.body));
    return res.code(204).send();
  });
}
