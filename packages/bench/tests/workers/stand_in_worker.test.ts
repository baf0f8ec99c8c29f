import {expect} from 'chai';
import fastify, {type FastifyInstance} from 'fastify';
import {Agent, request} from 'undici';

import {Fleet} from '../../src/workers/fleet.js';
import {startRequest} from '../fixtures.js';

interface Seen {
  readonly instance: number;
  readonly incarnation: number;
}

describe('StandInWorker', () => {
  const fleet = new Fleet();
  const instances: FastifyInstance[] = [];
  const homes: string[] = [];
  const seen: Seen[] = [];
  let arrived: () => void = () => undefined;
  let address = '';

  const nextAnnouncement = () =>
    new Promise<void>(resolve => (arrived = resolve));

  before(async () => {
    for (const instance of [0, 1]) {
      const app = fastify({forceCloseConnections: true});
      app.post<{Body: Seen}>('/v1/upstreams/announce', async (req, res) => {
        seen.push({instance, incarnation: req.body.incarnation});
        arrived();
        if (instance === 0) return res.code(503).send({});
        return {accepted: true, renewAfterMs: 20};
      });
      homes.push((await app.listen({host: '127.0.0.1', port: 0})).slice(7));
      instances.push(app);
    }
    const first = nextAnnouncement();
    const addresses = await fleet.start([
      {
        worker: 'w1',
        dataCentre: 'dc1',
        rack: 'r1',
        speed: 1,
        capacity: {slots: 2, processors: 4, memoryMb: 4_096, accelerators: 0},
        maxConnections: 60,
        kinds: ['payment-posting'],
        renewals: {homes, first: 0, token: '', periodMs: 20, usageLagMs: 5},
      },
    ]);
    address = addresses['w1'] ?? '';
    await first;
  });

  after(async () => {
    await fleet.close();
    await Promise.all(instances.map(app => app.close()));
  });

  const post = async (path: string, body: unknown, dispatcher?: Agent) => {
    const res = await request(`http://${address}${path}`, {
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(body),
      ...(dispatcher === undefined ? {} : {dispatcher}),
    });
    return (await res.body.json()) as Record<string, unknown>;
  };

  const incarnation = () => seen.at(-1)?.incarnation ?? 0;

  it('moves on to an instance that replies, or it would be lost', async () => {
    while (seen.at(-1)?.instance !== 1) await nextAnnouncement();
    await nextAnnouncement();
    expect(seen.at(-1)?.instance).to.equal(1);
  });

  it('holds the reply to a start until the task ends', async () => {
    const req = startRequest({
      incarnation: incarnation(),
      payload: {runMs: 1, value: 'x'},
    });
    const reply = await post('/v1/tasks', req);
    expect(reply).to.deep.include({
      state: 'done',
      value: {value: 'x', worker: 'w1'},
    });
    expect(fleet.records().starts.at(-1)).to.include({
      value: 'x',
      delivered: true,
    });
  });

  it('answers on new connections only after it freezes', async () => {
    const old = new Agent({connections: 1, pipelining: 1});
    const id = encodeURIComponent('dc1.0.f/0');
    await post(`/v1/tasks/${id}/stop`, {attempt: 1}, old);
    await fleet.inject('w1', {fault: 'freeze'});
    let answered = false;
    const silent = post(`/v1/tasks/${id}/stop`, {attempt: 2}, old).then(
      () => (answered = true),
      () => undefined,
    );
    const fresh = new Agent();
    const reply = await post(`/v1/tasks/${id}/stop`, {attempt: 3}, fresh);
    expect(reply).to.include({state: 'never-started'});
    expect(answered).to.equal(false);
    await Promise.all([old.destroy(), fresh.destroy()]);
    await silent;
  });

  it('returns under a higher incarnation at the same address', async () => {
    const before = incarnation();
    await fleet.inject('w1', {fault: 'restart'});
    while (incarnation() === before) await nextAnnouncement();
    expect(incarnation()).to.be.greaterThan(before);
    const agent = new Agent();
    const req = startRequest({incarnation: before});
    const reply = await post('/v1/tasks', req, agent);
    await agent.destroy();
    expect(reply).to.include({refusal: 'wrong-incarnation'});
  });
});
