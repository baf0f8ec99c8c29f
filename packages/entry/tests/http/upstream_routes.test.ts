import {expect} from 'chai';

import {settings, upstream} from '../fixtures.js';
import {TestServer} from './app.js';

const {address, incarnation, capacity: used} = upstream();
const BODIES = {
  announce: upstream(),
  leave: {address, incarnation},
  usage: {address, incarnation, lagMs: 1, used, runningTasks: 1},
};

describe('upstream routes', () => {
  for (const [route, payload] of Object.entries(BODIES)) {
    const url = `/v1/upstreams/${route}`;
    it(`${route} is closed to clients and bad bodies, open to upstreams`, async () => {
      const tokens = {...settings().tokens, clients: ['c'], upstreams: ['u']};
      const {app} = new TestServer({tokens});
      const post = async (token: string, body: object) => {
        const headers = {authorization: `Bearer ${token}`};
        const req = {method: 'POST' as const, url, payload: body, headers};
        return (await app.inject(req)).statusCode;
      };
      expect(await post('c', payload)).to.equal(401);
      expect(await post('u', {...payload, incarnation: 'x'})).to.equal(400);
      expect(await post('u', payload)).to.be.oneOf([200, 204]);
    });
  }
});
