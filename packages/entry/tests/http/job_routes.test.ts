import type {OwnerReply} from '@mustardferry/links';
import {expect} from 'chai';

import {problem} from '../../src/http/problems.js';
import {JOB_ID, settings} from '../fixtures.js';
import {TestServer} from './app.js';

const JOB = {team: 'coop', kind: 'posting', tasks: [{id: 't', payload: 1}]};
const JSON_TYPE = {'content-type': 'application/json'};

function post(
  server: TestServer,
  payload: string | Buffer,
  headers: Record<string, string> = {},
) {
  const all = {...JSON_TYPE, ...headers};
  return server.app.inject({
    method: 'POST',
    url: '/v1/jobs',
    payload,
    headers: all,
  });
}

describe('job routes', () => {
  const body = JSON.stringify(JOB);
  const utf16 = Buffer.from(body, 'utf16le');
  const tasks = (count: number, id?: string) =>
    JSON.stringify({
      ...JOB,
      tasks: Array.from({length: count}, (_, i) => ({
        id: id ?? `t${i}`,
        payload: 0,
      })),
    });
  const bad: readonly (readonly [
    string,
    string | Buffer,
    Record<string, string>,
    number,
    string,
  ])[] = [
    ['an empty body', '', {}, 400, 'invalid-body'],
    ['a truncated body', body.slice(0, -3), {}, 400, 'invalid-body'],
    [
      'an oversized body',
      `"${'x'.repeat(1_048_576)}"`,
      {},
      413,
      'body-too-large',
    ],
    ['wrong types', '{"team":1}', {}, 400, 'invalid-body'],
    ['duplicate task ids', tasks(2, 'same'), {}, 422, 'duplicate-task-id'],
    ['too many tasks', tasks(331), {}, 422, 'too-many-tasks'],
    ['UTF-16', utf16, {}, 400, 'invalid-body'],
    [
      'Latin-1',
      Buffer.from('"\xe9"', 'latin1'),
      {},
      415,
      'unsupported-encoding',
    ],
    [
      'a compressed body',
      body,
      {'content-encoding': 'gzip'},
      415,
      'unsupported-encoding',
    ],
    [
      'another charset',
      body,
      {'content-type': 'application/json; charset=utf-16'},
      415,
      'unsupported-encoding',
    ],
    [
      'another media type',
      body,
      {'content-type': 'text/xml'},
      415,
      'unsupported-encoding',
    ],
    [
      'text instead of JSON',
      body,
      {'content-type': 'text/plain'},
      400,
      'invalid-body',
    ],
    ['an empty key', body, {'idempotency-key': ''}, 400, 'invalid-body'],
    [
      'a key with spaces',
      body,
      {'idempotency-key': 'a b'},
      400,
      'invalid-body',
    ],
    [
      'a long key',
      body,
      {'idempotency-key': 'k'.repeat(256)},
      400,
      'invalid-body',
    ],
  ];
  for (const [name, payload, headers, status, code] of bad) {
    it(`submits nothing for ${name}, and says so`, async () => {
      const server = new TestServer();
      const res = await post(server, payload, headers);
      expect(res.statusCode).to.equal(status);
      expect(res.headers['content-type']).to.match(
        /^application\/problem\+json/,
      );
      expect(res.json()).to.include({code, outcome: 'not-run'});
      expect(res.json()).to.have.property(
        'requestId',
        res.headers['request-id'],
      );
      expect(server.jobs).to.have.length(0);
      expect(server.open, 'requests in flight').to.equal(0);
    });
  }

  const waits: readonly (readonly [string | undefined, number])[] = [
    [undefined, 30_000],
    ['wait=0', 0],
    ['respond-async, wait=2', 2_000],
    ['wait=2.5; foo', 2_500],
    ['wait=99999', 30_000],
    ['await=5', 30_000],
    ['wait=-1', 30_000],
  ];
  for (const [prefer, waitMs] of waits) {
    it(`waits neither for ever nor short with Prefer: ${prefer}`, async () => {
      const server = new TestServer();
      const headers = {
        'idempotency-key': 'k',
        ...(prefer === undefined ? {} : {prefer}),
      };
      const res = await post(server, body, headers);
      expect(res.statusCode).to.equal(202);
      expect(res.headers.location).to.equal(`/v1/jobs/${JOB_ID}`);
      expect(server.jobs[0]).to.include({waitMs, idempotencyKey: 'k'});
    });
  }

  const full = problem('queue-full', '', {retryAfterSeconds: 3});
  const unknown = problem('owner-unknown', '');
  const view = {
    jobId: JOB_ID,
    team: 'coop',
    kind: 'posting',
    idempotencyKey: 'k',
    recordKeptUntilMs: 0,
  };
  const failed = problem('cancelled', '', {outcome: 'not-run'});
  const replies: readonly {
    readonly name: string;
    readonly reply: OwnerReply;
    readonly status: number;
    readonly outcome: string | undefined;
  }[] = [
    {
      name: 'complete',
      reply: {
        type: 'job',
        jobId: JOB_ID,
        view: {...view, state: 'complete', results: []},
      },
      status: 200,
      outcome: undefined,
    },
    {
      name: 'failed',
      reply: {
        type: 'job',
        jobId: JOB_ID,
        view: {...view, state: 'failed', problem: failed},
      },
      status: 410,
      outcome: 'not-run',
    },
    {
      name: 'refused',
      reply: {type: 'problem', jobId: JOB_ID, problem: full},
      status: 429,
      outcome: 'not-run',
    },
    {
      name: 'unknown',
      reply: {type: 'problem', jobId: JOB_ID, problem: unknown},
      status: 503,
      outcome: 'unknown',
    },
    {
      name: 'not-owner',
      reply: {type: 'not-owner', jobId: JOB_ID, owner: undefined},
      status: 503,
      outcome: 'unknown',
    },
  ];
  for (const {name, reply, status, outcome} of replies) {
    it(`does not distort the outcome of a ${name} reply on any route`, async () => {
      const server = new TestServer();
      server.reply = reply;
      const url = `/v1/jobs/${JOB_ID}`;
      const responses = [
        await post(server, body),
        await server.app.inject({method: 'GET', url}),
        await server.app.inject({method: 'DELETE', url}),
      ];
      for (const res of responses) {
        expect(res.statusCode).to.equal(status);
        if (outcome !== undefined) {
          const requestId = res.headers['request-id'];
          expect(res.json()).to.include({outcome, requestId});
        }
        const retryAfter = name === 'refused' ? '3' : undefined;
        expect(res.headers['retry-after']).to.equal(retryAfter);
      }
    });
  }

  const id = `${'d'.repeat(120)}.0.${'a'.repeat(22)}`;
  for (const suffix of ['', '/explain']) {
    it(`finds a job of a data centre with a long name: GET${suffix}`, async () => {
      const server = new TestServer();
      await server.app.inject(`/v1/jobs/${id}${suffix}`);
      expect(server.waits).to.deep.equal([0]);
    });
  }

  it('answers a malformed path with a problem', async () => {
    const server = new TestServer();
    const res = await server.app.inject('/v1/jobs/%E0%A4');
    expect(server.open, 'requests in flight').to.equal(0);
    expect(res.statusCode).to.equal(400);
    expect(res.json()).to.include({code: 'invalid-body', outcome: 'not-run'});
  });

  for (const refusal of ['not-ready', 'draining'] as const) {
    it(`takes no request while ${refusal}`, async () => {
      const server = new TestServer();
      server.refusal = refusal;
      const res = await post(server, body);
      expect(res.statusCode).to.equal(503);
      expect(res.json()).to.include({code: refusal, outcome: 'not-run'});
      expect(res.headers['retry-after']).to.equal('1');
      expect(server.jobs).to.have.length(0);
    });
  }

  it('takes no request with the token of another audience', async () => {
    const tokens = {...settings().tokens, clients: ['c'], operators: ['o']};
    const server = new TestServer({tokens});
    const refused = await post(server, body, {authorization: 'Bearer o'});
    expect(refused.statusCode).to.equal(401);
    const taken = await post(server, body, {authorization: 'Bearer c'});
    expect(taken.statusCode).to.equal(202);
  });
});
