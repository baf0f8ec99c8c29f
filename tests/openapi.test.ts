import diagnostics from 'node:diagnostics_channel';
import {mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {parseSettings} from '@mustardferry/config';
import {EntryInstance} from '@mustardferry/entry';
import {createLogger} from '@mustardferry/runtime';
import {expect} from 'chai';
import type {FastifyInstance} from 'fastify';
import {request} from 'undici';

import {Fleet} from '../packages/bench/src/workers/fleet.js';
import {ROOT} from './emitted_names.js';
import {API, validatorOf} from './openapi_schema.js';

const SETTINGS = (folder: string): string => `
[instance]
name = solo
data_centre = dc1
listen = 127.0.0.1:0
data_folder = ${folder}

[instances]
solo = "127.0.0.1:1, dc1, disk"

[control]
voters = solo
`;

const CAPACITY = {slots: 8, processors: 16, memoryMb: 65_536, accelerators: 0};

interface Exchange {
  readonly path: string;
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** Path with its parameters filled in; the same as `path` by default. */
  readonly at?: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  readonly status: number;
}

describe('openapi.json and a running instance', () => {
  const folder = mkdtempSync(join(tmpdir(), 'mustardferry-openapi-'));
  const routes: string[] = [];
  const fleet = new Fleet();
  let instance: EntryInstance;

  // Published by fastify for each server, before its routes are added.
  const onServer = (message: unknown): void => {
    const {fastify} = message as {readonly fastify: FastifyInstance};
    fastify.addHook('onRoute', ({method, url}) => {
      for (const each of [method].flat()) routes.push(`${each} ${url}`);
    });
  };

  before(async () => {
    diagnostics.subscribe('fastify.initialization', onServer);
    try {
      const settings = parseSettings(SETTINGS(folder), 'solo.ini');
      const logger = createLogger('silent');
      instance = await EntryInstance.start({settings, logger});
    } finally {
      diagnostics.unsubscribe('fastify.initialization', onServer);
    }
  });

  after(async () => {
    await instance.close();
    await fleet.close();
    rmSync(folder, {recursive: true});
  });

  async function exchange(call: Exchange): Promise<unknown> {
    const {path, method, at = path, body, headers, status} = call;
    const json = typeof body === 'object';
    const type = json ? 'application/json' : 'text/plain';
    const res = await request(`http://${instance.address}${at}`, {
      method,
      headers: {
        ...(body === undefined ? {} : {'content-type': type}),
        ...headers,
      },
      ...(body === undefined
        ? {}
        : {body: json ? JSON.stringify(body) : String(body)}),
    });
    const reply = await res.body.json();
    const seen = `${method} ${at}: ${JSON.stringify(reply)}`;
    expect(res.statusCode, seen).to.equal(status);
    const validate = validatorOf(path, method.toLowerCase(), status);
    validate(reply);
    expect(validate.errors ?? [], seen).to.deep.equal([]);
    return reply;
  }

  it('describes each route that an instance registers, and no others', () => {
    const described = Object.entries(API.paths).flatMap(([path, methods]) =>
      Object.entries(methods)
        .filter(([, {tags}]) => !tags.includes('Instance to upstream'))
        .map(([method]) => `${method.toUpperCase()} ${path}`),
    );
    const registered = routes
      .filter(route => !route.startsWith('HEAD '))
      .map(route => route.replace(/:(\w+)/g, '{$1}'));
    expect(registered.sort()).to.deep.equal(described.sort());
  });

  const answers = readFileSync(
    join(ROOT, 'examples/coop/undertakers.ini'),
    'utf8',
  );
  const put: Exchange = {
    path: '/v1/answers/{team}',
    method: 'PUT',
    at: '/v1/answers/undertakers',
    body: answers,
    headers: {'if-match': '"0"', 'request-id': 'change-1'},
    status: 200,
  };

  it('describes the replies to operators', async () => {
    await exchange(put);
    const again = {'if-match': '"0"', 'request-id': 'change-2'};
    await exchange({...put, headers: again, status: 412});
    const invalid = '[team]\nname = x\n';
    await exchange({...put, headers: again, body: invalid, status: 422});
    const {path, at = path} = put;
    await exchange({path, at, method: 'GET', status: 200});
    // A team without answers has revision 0, the base of its first change.
    const none = '/v1/answers/nobody';
    const reply = await exchange({path, at: none, method: 'GET', status: 200});
    expect(reply).to.include({revision: 0, text: ''});
    for (const report of [
      '/v1/config',
      '/v1/audit',
      '/v1/shares',
      '/v1/upstreams',
      '/v1/instances',
      '/healthz',
    ]) {
      await exchange({path: report, method: 'GET', status: 200});
    }
  });

  it('describes the replies to upstreams', async () => {
    const id = {address: '127.0.0.1:1', incarnation: 1};
    const announcement = {
      ...id,
      worker: 'w0',
      dataCentre: 'dc1',
      rack: 'r1',
      capacity: CAPACITY,
      maxConnections: 60,
      kinds: ['other'],
    };
    const path = '/v1/upstreams/announce';
    await exchange({path, method: 'POST', body: announcement, status: 200});
    await exchange({path, method: 'POST', body: {}, status: 400});
    const leave = '/v1/upstreams/leave';
    await exchange({path: leave, method: 'POST', body: id, status: 200});
  });

  it('describes the replies to clients, once the instance is ready', async () => {
    const ready = `http://${instance.address}/readyz`;
    for (let turn = 0; turn < 200; turn++) {
      const res = await request(ready);
      await res.body.dump();
      if (res.statusCode === 200) break;
      await new Promise(resolve => setTimeout(resolve, 50));
    }
    await exchange({path: '/readyz', method: 'GET', status: 200});
    await fleet.start([
      {
        worker: 'w1',
        dataCentre: 'dc1',
        rack: 'r1',
        speed: 1,
        capacity: CAPACITY,
        maxConnections: 60,
        kinds: ['coverage-check'],
        renewals: {
          homes: [instance.address],
          first: 0,
          token: '',
          periodMs: 100,
          usageLagMs: 100,
        },
      },
    ]);
    const job = {
      team: 'undertakers',
      kind: 'coverage-check',
      tasks: [{id: 't1', payload: {runMs: 1, value: 'v'}}],
    };
    const submit: Exchange = {
      path: '/v1/jobs',
      method: 'POST',
      body: job,
      headers: {'idempotency-key': 'k1', prefer: 'wait=20'},
      status: 200,
    };
    const {jobId} = (await exchange(submit)) as {readonly jobId: string};
    const at = `/v1/jobs/${jobId}`;
    await exchange({path: '/v1/jobs/{id}', method: 'GET', at, status: 200});
    await exchange({path: '/v1/jobs/{id}', method: 'DELETE', at, status: 200});
    const explain = {path: '/v1/jobs/{id}/explain', at: `${at}/explain`};
    await exchange({...explain, method: 'GET', status: 200});
    const other = {...job, tasks: [{id: 't2', payload: null}]};
    await exchange({...submit, body: other, status: 409});
    await exchange({...submit, body: {...job, team: 'nobody'}, status: 422});
    await exchange({...submit, body: {}, status: 400});
  });

  // Follows the test that waits for the instance to be ready, as its data
  // centre is in the control log only then.
  it('describes the replies to orders to evacuate a data centre', async () => {
    const path = '/v1/evacuations/{dataCentre}';
    const at = '/v1/evacuations/dc1';
    const headers = (id: string) => ({'request-id': id, operator: 'ann'});
    const start: Exchange = {path, method: 'POST', at, status: 200};
    const started = {...start, headers: headers('start-1')};
    expect(await exchange(started)).to.include({repeated: false});
    expect(await exchange(started)).to.include({repeated: true});
    const job = {
      team: 'undertakers',
      kind: 'coverage-check',
      tasks: [{id: 't1', payload: {runMs: 1, value: 'v'}}],
    };
    const submit = (key: string, status: number): Promise<unknown> =>
      exchange({
        path: '/v1/jobs',
        method: 'POST',
        body: job,
        headers: {'idempotency-key': key, prefer: 'wait=20'},
        status,
      });
    // A running instance must act on the order, not only record it.
    const refused = await submit('k2', 503);
    expect(refused).to.include({code: 'data-centre-evacuated'});
    const {jobId} = refused as {readonly jobId: string};
    const steps = await exchange({
      path: '/v1/jobs/{id}/explain',
      at: `/v1/jobs/${jobId}/explain`,
      method: 'GET',
      status: 200,
    });
    expect(steps).to.have.nested.include({
      'steps[0].reason': 'data-centre-evacuated',
      'steps[0].detail': 'data centre dc1 is evacuated.',
    });
    await exchange({path: '/v1/upstreams', method: 'GET', status: 200});
    const list = {path: '/v1/evacuations', method: 'GET', status: 200} as const;
    expect(await exchange(list)).to.have.nested.include({
      'evacuations[0].dataCentre': 'dc1',
      'evacuations[0].evacuated': true,
      'evacuations[0].operator': 'ann',
    });
    const stale = {...headers('end-1'), 'if-match': '"0"'};
    const end: Exchange = {...start, method: 'DELETE'};
    await exchange({...end, headers: stale, status: 412});
    await exchange({...end, headers: headers('end-2')});
    await submit('k2', 200);
    const other = '/v1/evacuations/dc9';
    await exchange({...started, at: other, status: 404});
  });
});
