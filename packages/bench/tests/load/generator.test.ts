import {expect} from 'chai';
import fastify, {type FastifyInstance} from 'fastify';

import {LoadClient} from '../../src/load/client.js';
import {LoadGenerator} from '../../src/load/generator.js';
import type {TraceJob} from '../../src/load/trace.js';
import {judge} from '../../src/measures/invariants.js';
import {Fleet} from '../../src/workers/fleet.js';
import {startRequest, traceJob} from '../fixtures.js';

interface Submitted {
  readonly kind: string;
  readonly tasks: readonly {readonly id: string; readonly payload: unknown}[];
}

/** A stand-in for an entry instance that runs tasks on one worker. */
function stubEntry(worker: () => string, faulty: Set<string>): FastifyInstance {
  const app = fastify({forceCloseConnections: true});
  const answers = new Map<string, Promise<unknown>>();
  const run = async (key: string, job: Submitted) => {
    const results = [];
    const probe = await fetch(`http://${worker()}/v1/tasks/probe`);
    const {incarnation} = (await probe.json()) as {incarnation: number};
    for (const [index, task] of job.tasks.entries()) {
      const res = await fetch(`http://${worker()}/v1/tasks`, {
        method: 'POST',
        headers: {'content-type': 'application/json'},
        body: JSON.stringify(
          startRequest({
            taskId: `${key}/${index}`,
            incarnation,
            payload: task.payload,
          }),
        ),
      });
      const reply = (await res.json()) as Record<string, unknown>;
      const crossed = faulty.has('crossed') ? {value: 'other'} : undefined;
      results.push({id: task.id, value: crossed ?? reply['value']});
    }
    return {jobId: key, state: 'complete', results};
  };
  app.post<{Body: Submitted}>('/v1/jobs', async (req, res) => {
    const key = String(req.headers['idempotency-key']);
    if (faulty.delete('lost')) return req.raw.socket.destroy();
    if (faulty.has('full')) {
      return res.code(429).send({outcome: 'not-run', code: 'queue-full'});
    }
    const running = answers.get(key) ?? run(key, req.body);
    answers.set(key, running);
    if (req.headers['prefer'] !== 'wait=0') return running;
    return res.code(202).send({jobId: key, state: 'queued'});
  });
  app.get<{Params: {id: string}}>('/v1/jobs/:id', (req, res) => {
    const known = answers.get(req.params.id);
    return known ?? res.code(404).send({outcome: 'unknown'});
  });
  app.delete<{Params: {id: string}}>('/v1/jobs/:id', (_req, res) =>
    res.code(200).send({}),
  );
  return app;
}

describe('LoadGenerator', () => {
  const fleet = new Fleet();
  const faulty = new Set<string>();
  const options = {settleMs: 30_000, maxRetries: 3, retryDelayMs: 1};
  let entry: FastifyInstance;
  let client: LoadClient;
  let address = '';

  before(async () => {
    const workers = await fleet.start([
      {
        worker: 'w1',
        dataCentre: 'dc1',
        rack: 'r1',
        speed: 1,
        capacity: {slots: 9, processors: 9, memoryMb: 9_216, accelerators: 0},
        maxConnections: 60,
        kinds: ['payment-posting'],
      },
    ]);
    entry = stubEntry(() => workers['w1'] ?? '', faulty);
    address = (await entry.listen({host: '127.0.0.1', port: 0})).slice(7);
    client = new LoadClient({instances: [address], token: '', waitS: 20});
  });

  afterEach(() => faulty.clear());

  after(async () => {
    await client.destroy();
    await entry.close();
    await fleet.close();
  });

  const run = async (job: TraceJob) => {
    const generator = new LoadGenerator(client, options);
    return generator.queryAll(await generator.run([job]));
  };
  const again = {afterMs: 0, breakFirst: false, instanceOffset: 1};

  it('resubmits under the same key and keeps every exchange', async () => {
    const job = {
      ...traceJob('payment-posting', ['v0', 'v1']),
      resubmissions: [again],
    };
    const [outcome] = await run(job);
    expect(outcome?.exchanges.map(each => each.cause)).to.have.members([
      'first',
      'resubmission',
    ]);
    expect(outcome).to.include({result: 'complete'});
    expect(outcome?.laterQuery).to.include({state: 'complete'});
  });

  it('submits again when the connection breaks', async () => {
    faulty.add('lost');
    const [outcome] = await run({
      ...traceJob('payment-posting', ['v2']),
      key: 'k2',
    });
    expect(outcome?.exchanges.map(each => each.result)).to.deep.equal([
      'unknown',
      'complete',
    ]);
  });

  it('takes a refusal as final and reports its code', async () => {
    faulty.add('full');
    const [outcome] = await run({
      ...traceJob('payment-posting', ['v3']),
      key: 'k3',
    });
    expect(outcome).to.include({result: 'not-run', code: 'queue-full'});
    expect(outcome?.exchanges).to.have.length(1);
  });

  for (const [what, fault, want] of [
    ['right', '', []],
    ['crossed', 'crossed', ['wrong-caller', 'wrong-caller']],
  ] as const) {
    it(`judges ${what} answers from end to end`, async () => {
      faulty.add(fault);
      const job = {...traceJob('payment-posting', [`v-${what}`]), key: what};
      const outcomes = await run(job);
      const found = judge([job], outcomes, fleet.records());
      expect(found.map(each => each.invariant)).to.deep.equal(want);
    });
  }

  it('asks for the job id before it cancels', async () => {
    const job = {
      ...traceJob('payment-posting', ['v5']),
      key: 'k5',
      cancelAfterMs: 0,
    };
    const [outcome] = await run(job);
    expect(outcome?.exchanges[0]).to.include({jobId: 'k5'});
  });
});
