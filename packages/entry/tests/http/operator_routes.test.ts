import {readFileSync} from 'node:fs';

import type {ControlResult} from '@mustardferry/coordination';
import {expect} from 'chai';

import {
  ControlOutcomeUnknownError,
  ControlUnavailableError,
} from '../../src/control/control_errors.js';
import {settings} from '../fixtures.js';
import {TestServer} from './app.js';

const EXAMPLE = new URL(
  '../../../../examples/coop/payments.ini',
  import.meta.url,
);
const TEXT = readFileSync(EXAMPLE, 'utf8');
const TEAM = 'payments';
const HEADERS = {
  'content-type': 'text/plain',
  'if-match': '"1"',
  'request-id': 'r1',
};

function put(
  server: TestServer,
  change: Record<string, string | undefined> = {},
  payload = TEXT,
  team = TEAM,
) {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries({...HEADERS, ...change})) {
    if (value !== undefined) headers[name] = value;
  }
  const url = `/v1/answers/${team}`;
  return server.app.inject({method: 'PUT', url, payload, headers});
}

describe('operator routes', () => {
  const bad: readonly (readonly [
    string,
    Record<string, string | undefined>,
    string,
  ])[] = [
    ['If-Match is missing', {'if-match': undefined}, 'invalid-body'],
    ['If-Match is no revision', {'if-match': '*'}, 'invalid-body'],
    ['Request-Id is missing', {'request-id': undefined}, 'invalid-body'],
    ['Request-Id is empty', {'request-id': ''}, 'invalid-body'],
    // An id of our own in its place would make a resend a second change.
    ['Request-Id has spaces', {'request-id': 'a b'}, 'invalid-body'],
    ['Request-Id is too long', {'request-id': 'r'.repeat(129)}, 'invalid-body'],
    ['the body is JSON', {'content-type': 'application/json'}, 'invalid-body'],
  ];
  for (const [name, change, code] of bad) {
    it(`changes nothing when ${name}`, async () => {
      const server = new TestServer();
      const res = await put(server, change);
      expect(res.json()).to.include({code, outcome: 'not-run'});
      expect(server.commands).to.have.length(0);
    });
  }

  for (const text of [' ', '[team]\nname = other\n', 'not ini at all']) {
    it(`changes nothing for the answers ${JSON.stringify(text)}`, async () => {
      const server = new TestServer();
      const res = await put(server, {}, text);
      expect(res.statusCode).to.equal(422);
      expect(res.json()).to.include({code: 'answers-invalid'});
      expect(server.commands).to.have.length(0);
    });
  }

  const winner = {operator: 'ann', requestId: 'r0', revision: 7};
  const accepted = {outcome: 'accepted', revision: 2} as const;
  const results: readonly {
    readonly name: string;
    readonly propose: () => Promise<ControlResult>;
    readonly status: number;
    readonly body: Readonly<Record<string, unknown>>;
  }[] = [
    {
      name: 'an accepted change',
      propose: async () => accepted,
      status: 200,
      body: {revision: 2, repeated: false, requestId: 'r1'},
    },
    {
      name: 'a resend of an accepted change',
      propose: async () => ({outcome: 'repeated', first: accepted}),
      status: 200,
      body: {revision: 2, repeated: true},
    },
    {
      name: 'a stale If-Match',
      propose: async () =>
        ({outcome: 'conflict', winner}) as unknown as ControlResult,
      status: 412,
      body: {code: 'revision-conflict', outcome: 'not-run'},
    },
    {
      name: 'a resend of a refused change',
      propose: async () =>
        ({
          outcome: 'repeated',
          first: {outcome: 'conflict', winner},
        }) as unknown as ControlResult,
      status: 412,
      body: {code: 'revision-conflict'},
    },
    {
      name: 'a change that was not proposed',
      propose: () => Promise.reject(new ControlUnavailableError('no leader')),
      status: 503,
      body: {code: 'control-unavailable', outcome: 'not-run'},
    },
    {
      name: 'a change whose answer was lost',
      propose: () => Promise.reject(new ControlOutcomeUnknownError('lost')),
      status: 503,
      body: {code: 'control-outcome-unknown', outcome: 'unknown'},
    },
    {
      name: 'an unexpected error',
      propose: () => Promise.reject(new Error('fault')),
      status: 500,
      body: {code: 'internal', outcome: 'unknown'},
    },
  ];
  for (const {name, propose, status, body} of results) {
    it(`reports ${name} as what it is`, async () => {
      const server = new TestServer();
      server.propose = propose;
      const res = await put(server, {operator: 'bob'});
      expect(res.statusCode).to.equal(status);
      expect(res.json()).to.include(body);
      expect(server.commands[0]).to.include({
        type: 'accept-answers',
        baseRevision: 1,
        requestId: 'r1',
        operator: 'bob',
        text: TEXT,
      });
    });
  }

  it('never presents a state that was not confirmed as current', async () => {
    const res = await new TestServer().app.inject('/v1/config');
    expect(res.json()).to.include({current: false, confirmedMsAgo: -1});
    expect(res.headers.etag).to.equal('"0"');
  });

  it('gives a team without answers, also of the longest name, a revision', async () => {
    const team = 'x'.repeat(128);
    const res = await new TestServer().app.inject(`/v1/answers/${team}`);
    expect(res.json()).to.deep.equal({team, revision: 0, text: ''});
    expect(res.headers.etag).to.equal('"0"');
  });

  const audit: readonly (readonly [string, number])[] = [
    ['after=-1', 400],
    ['limit=x', 400],
    ['after=1.5', 400],
    ['after=1', 404],
  ];
  for (const [query, status] of audit) {
    it(`does not show another page of the audit for ${query}`, async () => {
      const res = await new TestServer().app.inject(`/v1/audit?${query}`);
      expect(res.statusCode).to.equal(status);
    });
  }

  it('drains also while the control log is unavailable', async () => {
    const server = new TestServer();
    server.propose = () => Promise.reject(new ControlUnavailableError('none'));
    const res = await server.app.inject({method: 'POST', url: '/v1/drain'});
    expect(res.statusCode).to.equal(202);
    expect(server.drains).to.equal(1);
  });

  const routes = [
    ['GET', '/v1/config'],
    ['GET', '/v1/answers/a'],
    ['PUT', '/v1/answers/a'],
    ['GET', '/v1/audit'],
    ['GET', '/v1/shares'],
    ['GET', '/v1/upstreams'],
    ['GET', '/v1/instances'],
    ['POST', '/v1/drain'],
  ] as const;
  for (const [method, url] of routes) {
    it(`is closed to clients: ${method} ${url}`, async () => {
      const tokens = {...settings().tokens, clients: ['c'], operators: ['o']};
      const server = new TestServer({tokens});
      const headers = {authorization: 'Bearer c'};
      const res = await server.app.inject({method, url, headers});
      expect(res.statusCode).to.equal(401);
      expect(server.drains + server.commands.length).to.equal(0);
    });
  }
});
