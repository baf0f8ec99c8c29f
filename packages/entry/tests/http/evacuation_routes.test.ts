import type {ControlResult} from '@mustardferry/coordination';
import {expect} from 'chai';

import {ControlOutcomeUnknownError} from '../../src/control/control_errors.js';
import {settings} from '../fixtures.js';
import {TestServer} from './app.js';

const URL = '/v1/evacuations/dc1';
const IN_FORCE = {
  dataCentre: 'dc1',
  evacuated: true,
  revision: 7,
  changedAtMs: 5,
  operator: 'ann',
  requestId: 'r0',
};

function send(
  server: TestServer,
  method: 'POST' | 'DELETE',
  url = URL,
  change: Readonly<Record<string, string>> = {},
) {
  const headers = {'request-id': 'r1', operator: 'bob', ...change};
  return server.app.inject({method, url, headers});
}

describe('evacuation routes', () => {
  for (const [method, evacuated] of [
    ['POST', true],
    ['DELETE', false],
  ] as const) {
    it(`bases an order on the revision held on arrival, or on the given one: ${method}`, async () => {
      const server = new TestServer();
      const res = await send(server, method);
      expect(res.json()).to.deep.equal({
        dataCentre: 'dc1',
        evacuated,
        revision: 2,
        requestId: 'r1',
        repeated: false,
      });
      server.evacuation = IN_FORCE;
      await send(server, method);
      await send(server, method, URL, {'if-match': '"3"'});
      const common = {type: 'set-evacuated', dataCentre: 'dc1', evacuated};
      for (const [i, baseRevision] of [0, 7, 3].entries()) {
        expect(server.commands[i]).to.deep.include({
          ...common,
          baseRevision,
          operator: 'bob',
          requestId: 'r1',
        });
      }
    });
  }

  const unsent = [
    ['of an unknown data centre', '/v1/evacuations/dc9', {}, 404],
    ['of a malformed name', '/v1/evacuations/%20', {}, 404],
    ['before the data centre is defined', '/v1/evacuations/dc3', {}, 503],
    ['without a Request-Id', URL, {'request-id': ''}, 400],
    ['with a malformed If-Match', URL, {'if-match': '*'}, 400],
  ] as const;
  for (const [name, url, headers, status] of unsent) {
    it(`proposes no order ${name}`, async () => {
      const server = new TestServer();
      const res = await send(server, 'POST', url, headers);
      expect(res.statusCode).to.equal(status);
      expect(res.json()).to.include({outcome: 'not-run'});
      expect(server.commands).to.have.length(0);
    });
  }

  const winner = {operator: 'ann', requestId: 'r0', revision: 7};
  const first = {outcome: 'accepted', revision: 2} as const;
  const invalid = (code: 'unknown-data-centre' | 'request-id-reused') =>
    ({outcome: 'invalid', code, detail: 'd'}) as const;
  const results: readonly (readonly [
    string,
    ControlResult,
    number,
    Readonly<Record<string, unknown>>,
  ])[] = [
    [
      'a resend of an accepted order',
      {outcome: 'repeated', first},
      200,
      {revision: 2, repeated: true},
    ],
    [
      'an order that a newer one overtook',
      {outcome: 'conflict', winner},
      412,
      {code: 'revision-conflict'},
    ],
    [
      'a data centre that only this instance knows',
      invalid('unknown-data-centre'),
      404,
      {code: 'unknown-data-centre'},
    ],
    [
      'a request id of another order',
      invalid('request-id-reused'),
      400,
      {code: 'invalid-body'},
    ],
  ];
  for (const [name, result, status, body] of results) {
    it(`reports ${name} as what it is`, async () => {
      const server = new TestServer();
      server.propose = async () => result;
      const res = await send(server, 'POST');
      expect(res.statusCode).to.equal(status);
      expect(res.json()).to.include(body);
    });
  }

  it('does not report an order whose result was lost as refused', async () => {
    const server = new TestServer();
    server.propose = () => Promise.reject(new ControlOutcomeUnknownError('-'));
    const res = await send(server, 'POST');
    expect(res.json()).to.include({
      code: 'control-outcome-unknown',
      outcome: 'unknown',
    });
  });

  it('lists all data centres and tells that the state is not confirmed', async () => {
    const server = new TestServer();
    server.evacuation = IN_FORCE;
    const res = await server.app.inject('/v1/evacuations');
    const {dataCentre, evacuated, revision, changedAtMs, operator} = IN_FORCE;
    const view = {dataCentre, evacuated, revision, changedAtMs, operator};
    expect(res.json()).to.deep.equal({
      current: false,
      evacuations: [
        view,
        {dataCentre: 'dc2', evacuated: false, revision: 0},
        {dataCentre: 'dc3', evacuated: false, revision: 0},
      ],
    });
  });

  const routes = [
    ['GET', '/v1/evacuations'],
    ['POST', URL],
    ['DELETE', URL],
  ] as const;
  for (const [method, url] of routes) {
    it(`is closed to clients: ${method} ${url}`, async () => {
      const tokens = {...settings().tokens, clients: ['c'], operators: ['o']};
      const server = new TestServer({tokens});
      const headers = {authorization: 'Bearer c', 'request-id': 'r1'};
      const res = await server.app.inject({method, url, headers});
      expect(res.statusCode).to.equal(401);
      expect(server.commands).to.have.length(0);
      const allowed = {...headers, authorization: 'Bearer o'};
      const reply = await server.app.inject({method, url, headers: allowed});
      expect(reply.statusCode).to.equal(200);
    });
  }
});
