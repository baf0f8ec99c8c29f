import {expect} from 'chai';
import type {FastifyInstance} from 'fastify';

import type {JobGateway} from '../../src/gateway/job_gateway.js';
import {AccessControl} from '../../src/http/access.js';
import {createHttpServer} from '../../src/http/http_server.js';
import {addJobRoutes} from '../../src/http/job_routes.js';
import {JOB_ID, LOGGER, settings} from '../takeover_fixtures.js';

const KEY = {'idempotency-key': 'k1'};
const JOBS = '/v1/jobs';

describe('job routes', () => {
  let app: FastifyInstance;

  afterEach(() => app.close());

  const cases = [
    {method: 'POST', url: JOBS, headers: {}, outcome: 'not-run'},
    {method: 'POST', url: JOBS, headers: KEY, outcome: 'unknown'},
    {method: 'GET', url: `${JOBS}/${JOB_ID}`, headers: {}, outcome: 'unknown'},
    {
      method: 'DELETE',
      url: `${JOBS}/${JOB_ID}`,
      headers: {},
      outcome: 'unknown',
    },
  ] as const;
  for (const code of ['draining', 'not-ready'] as const) {
    for (const {method, url, headers, outcome} of cases) {
      const key = headers === KEY ? ' with a key' : '';
      it(`${code}: does not claim more than ${outcome} for ${method}${key}`, async () => {
        const {limits, tokens} = settings();
        app = createHttpServer({limits, logger: LOGGER});
        addJobRoutes(app, {
          gateway: {} as JobGateway,
          access: new AccessControl(tokens),
          limits,
          refusal: () => code,
        });
        const payload = method === 'POST' ? {payload: {}} : {};
        const res = await app.inject({method, url, headers, ...payload});
        expect(res.statusCode).to.equal(503);
        expect(res.json()).to.include({code, outcome});
      });
    }
  }
});
