import {expect} from 'chai';

import {problem, type Reaction, run, StandIn} from './stand_in.js';

const JOB = {
  jobId: 'east.0.abc',
  team: 'payments',
  kind: 'payment-posting',
  idempotencyKey: 'k',
  state: 'complete',
  results: [{id: 't1', value: 1}],
  recordKeptUntilMs: 0,
};
const COMPLETE: Reaction = {status: 200, body: JOB};

describe('ApiClient', () => {
  const cases: readonly {
    title: string;
    reactions: readonly Reaction[];
    code: number;
    requests: number;
  }[] = [
    {
      title: 'resends once after a lost reply and reports the answer',
      reactions: ['lose-reply', COMPLETE],
      code: 0,
      requests: 2,
    },
    {
      title: 'reports an unknown outcome when every reply is lost',
      reactions: ['lose-reply', 'lose-reply'],
      code: 4,
      requests: 2,
    },
    {
      title: 'does not take a refusal for the fate of an earlier lost request',
      reactions: ['lose-reply', problem(503, 'draining', 'not-run')],
      code: 4,
      requests: 2,
    },
    {
      title: 'does not resend after a refusal',
      reactions: [problem(429, 'queue-full', 'not-run')],
      code: 1,
      requests: 1,
    },
    {
      title: 'reports an unknown outcome given by the instance',
      reactions: [problem(503, 'home-unreachable', 'unknown')],
      code: 4,
      requests: 1,
    },
    {
      title: 'treats a 502 of a balancer as a lost reply',
      reactions: [{status: 502, body: 'bad gateway'}, COMPLETE],
      code: 0,
      requests: 2,
    },
    {
      title: 'rejects a reply that is not a job',
      reactions: [{status: 200, body: {}}],
      code: 1,
      requests: 1,
    },
    {
      title: 'reports a failed job',
      reactions: [
        {
          status: 200,
          body: {
            ...JOB,
            state: 'failed',
            results: undefined,
            problem: {code: 'task-failed', detail: 'd', outcome: 'failed'},
          },
        },
      ],
      code: 1,
      requests: 1,
    },
  ];
  for (const {title, reactions, code, requests} of cases) {
    it(title, async () => {
      const server = await new StandIn(
        (_request, count) => reactions[count - 1] ?? 'lose-reply',
      ).start();
      const args = ['job', 'submit', '-', '--url', server.url];
      const result = await run(args, {stdin: '{}'});
      await server.stop();
      expect(result.code, result.err).to.equal(code);
      const keys = server.received.map(item => item.headers['idempotency-key']);
      expect(keys).to.have.length(requests);
      expect(new Set(keys).size, 'one key for all attempts').to.equal(1);
    });
  }

  it('tries the next URL when an instance is down or draining', async () => {
    const draining = await new StandIn(() =>
      problem(503, 'draining', 'not-run'),
    ).start();
    const healthy = await new StandIn(() => COMPLETE).start();
    const down = await new StandIn(() => COMPLETE).start();
    await down.stop();
    const urls = [down, draining, healthy].flatMap(item => ['--url', item.url]);
    const {code} = await run(['job', 'submit', '-', ...urls], {stdin: '{}'});
    await Promise.all([draining.stop(), healthy.stop()]);
    expect([
      code,
      draining.received.length,
      healthy.received.length,
    ]).to.deep.equal([0, 1, 1]);
  });

  it('reports that nothing was sent when no instance is up', async () => {
    const down = await new StandIn(() => COMPLETE).start();
    await down.stop();
    const {code} = await run(['job', 'submit', '-', '--url', down.url], {
      stdin: '{}',
    });
    expect(code).to.equal(3);
  });

  it('gives up on silent connections and reports an unknown outcome', async () => {
    const server = await new StandIn(() => 'stay-silent').start();
    const {code} = await run([
      'drain',
      '--timeout-ms',
      '100',
      '--url',
      server.url,
    ]);
    await server.stop();
    expect([code, server.received.length]).to.deep.equal([4, 2]);
  });

  it('sends the bearer token of the token file', async () => {
    const server = await new StandIn(() => ({
      status: 200,
      body: {upstreams: []},
    })).start();
    await run(['upstreams', '--url', server.url, '--token-file', '-'], {
      stdin: 's3cret\n',
    });
    await server.stop();
    expect(server.received[0]?.headers.authorization).to.equal('Bearer s3cret');
  });
});
