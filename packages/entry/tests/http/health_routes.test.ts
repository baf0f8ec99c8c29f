import {expect} from 'chai';

import {TestServer} from './app.js';

describe('health routes', () => {
  for (const refusal of [undefined, 'not-ready', 'draining'] as const) {
    it(`sends no requests to an instance that is ${refusal ?? 'ready'} in error`, async () => {
      const server = new TestServer();
      server.refusal = refusal;
      const ready = await server.app.inject('/readyz');
      expect(ready.statusCode).to.equal(refusal === undefined ? 200 : 503);
      if (refusal !== undefined) {
        expect(ready.json()).to.include({code: refusal, outcome: 'not-run'});
      }
      // A restart by the platform would abort requests in flight.
      const alive = await server.app.inject('/healthz');
      expect(alive.statusCode).to.equal(200);
    });
  }
});
