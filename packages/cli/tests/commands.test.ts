import {readFileSync} from 'node:fs';

import {expect} from 'chai';

import {problem, type Reaction, run, runAgainst, StandIn} from './stand_in.js';

const ANSWERS = new URL('../../../examples/coop/payments.ini', import.meta.url)
  .pathname;

/** Reply of an instance for a team without answers. */
const NO_ANSWERS: Reaction = {
  status: 200,
  body: {team: 'payments', revision: 0, text: ''},
};

describe('answers apply', () => {
  const text = readFileSync(ANSWERS, 'utf8');
  const accepted: Reaction = {
    status: 200,
    body: {team: 'payments', revision: 8, requestId: 'r', repeated: false},
  };

  it('resends with the same Request-Id and base revision after a lost reply', async () => {
    const old = text.replace('share_percent = 45', 'share_percent = 40');
    const result = await runAgainst(
      ['answers', 'apply', ANSWERS],
      ({method}, count) => {
        if (method === 'GET')
          return {
            status: 200,
            body: {team: 'payments', revision: 7, text: old},
          };
        return count === 2 ? 'lose-reply' : accepted;
      },
    );
    const puts = result.received.filter(item => item.method === 'PUT');
    expect(puts).to.have.length(2);
    expect(puts[0]?.headers['request-id']).to.equal(
      puts[1]?.headers['request-id'],
    );
    expect(puts.map(item => item.headers['if-match'])).to.deep.equal([
      '"7"',
      '"7"',
    ]);
    expect(puts[1]?.body).to.equal(text);
    expect(result.out).to.include(
      'revision 8\npayments.team.share_percent: 40 -> 45\n',
    );
  });

  it('reports success when only the earlier answers can not be compared', async () => {
    const current = {team: 'payments', revision: 7, text: 'no longer valid'};
    const result = await runAgainst(
      ['answers', 'apply', ANSWERS],
      ({method}) =>
        method === 'GET' ? {status: 200, body: current} : accepted,
    );
    expect([result.code, result.out.includes('revision 8')]).to.deep.equal([
      0,
      true,
    ]);
    expect(result.err).to.match(/--request-id \S+ --revision 7/);
  });

  it('bases a new team on revision 0', async () => {
    const result = await runAgainst(
      ['answers', 'apply', ANSWERS],
      ({method}) => (method === 'GET' ? NO_ANSWERS : accepted),
    );
    expect(result.code).to.equal(0);
    expect(result.received[1]?.headers['if-match']).to.equal('"0"');
  });

  it('reports a change by another operator', async () => {
    const result = await runAgainst(
      ['answers', 'apply', ANSWERS, '--revision', '3', '--operator', 'kim'],
      ({method}) =>
        method === 'GET'
          ? NO_ANSWERS
          : problem(412, 'revision-conflict', 'not-run'),
    );
    const headers = result.received[1]?.headers;
    expect([
      result.code,
      headers?.['if-match'],
      headers?.operator,
    ]).to.deep.equal([1, '"3"', 'kim']);
  });
});

describe('other commands', () => {
  it('asks every instance of config show, also after one that is down', async () => {
    const body = {
      instance: 'e1',
      policy: {revision: 9, teams: []},
      current: false,
      confirmedMsAgo: 70_000,
    };
    const down = await new StandIn(() => ({status: 200, body})).start();
    await down.stop();
    const up = await new StandIn(() => ({status: 200, body})).start();
    const result = await run([
      'config',
      'show',
      '--instance',
      down.url,
      '--instance',
      up.url,
    ]);
    await up.stop();
    expect(result.code).to.equal(3);
    expect(result.out).to.match(/e1 +9 +false +confirmed 70000 ms ago/);
  });

  it('refuses an answer about another job', async () => {
    const body = {
      jobId: 'east.0.other',
      state: 'complete',
      recordKeptUntilMs: 0,
    };
    const {code, err} = await runAgainst(
      ['job', 'watch', 'east.0.mine'],
      () => ({status: 200, body}),
    );
    expect(code).to.equal(1);
    expect(err).to.include('about job east.0.other');
  });

  it('reports a team without answers as a failure, not as an empty file', async () => {
    const result = await runAgainst(['answers', 'show', 'x'], () => NO_ANSWERS);
    expect([result.code, result.out]).to.deep.equal([1, '']);
  });

  it('takes the error of a cancelled job for success of the cancellation', async () => {
    const cancelled = problem(410, 'cancelled', 'not-run');
    const result = await runAgainst(['job', 'cancel', 'j'], () => cancelled);
    expect([result.code, result.out]).to.deep.equal([0, 'job j cancelled\n']);
  });

  it('keeps watching while the owner is being elected', async () => {
    const result = await runAgainst(['job', 'watch', 'j'], (_request, count) =>
      count < 3
        ? problem(503, 'owner-unknown', 'unknown')
        : {
            status: 200,
            body: {jobId: 'j', state: 'complete', recordKeptUntilMs: 0},
          },
    );
    expect([result.code, result.received.length]).to.deep.equal([0, 3]);
  });

  it('polls a running job until it fails with an unknown outcome', async () => {
    const job = {jobId: 'j', state: 'running', recordKeptUntilMs: 0};
    const failed = {
      ...job,
      state: 'failed',
      problem: {code: 'task-outcome-unknown', detail: 'd', outcome: 'unknown'},
    };
    const result = await runAgainst(
      ['job', 'watch', 'j'],
      (_request, count) => ({status: 200, body: count < 3 ? job : failed}),
    );
    expect([result.code, result.received.length]).to.deep.equal([4, 3]);
  });

  it('refuses answers files that contradict each other', async () => {
    const {code, err} = await run(['questionnaire', 'check', ANSWERS, ANSWERS]);
    expect([code, err]).to.deep.equal([
      1,
      'payments: [team] name: the team "payments" is declared twice\n',
    ]);
  });

  const tables: readonly {args: string; body: unknown; expected: RegExp}[] = [
    {
      args: 'shares',
      body: {
        dataCentre: 'east',
        windowMs: 10_000,
        teams: [
          {
            team: 'a',
            promisedPercent: 30,
            receivedPercent: 29.96,
            backloggedFraction: 1,
            running: {slots: 3},
            queuedTasks: 4,
            refusedJobs: 0,
          },
        ],
      },
      expected: /a +30\.0 +30\.0 +100 +3 +4 +0/,
    },
    {
      args: 'explain j',
      body: {
        jobId: 'j',
        steps: [
          {
            atMs: 0,
            taskId: '',
            step: 'waited',
            reason: 'share-exhausted',
            detail: 'd',
            answer: 'a.team.share_percent',
          },
        ],
      },
      expected:
        /1970-01-01T00:00:00.000Z +- +waited +share-exhausted +a\.team\.share_percent +d/,
    },
    {
      args: 'instances',
      body: {
        instances: [
          {
            name: 'e1',
            dataCentre: 'east',
            address: 'x',
            reachable: true,
            draining: false,
            policyRevision: 3,
            controlRole: 'leader',
            ownedGroups: ['east.0'],
          },
        ],
      },
      expected: /e1 +east +x +true +false +3 +leader +east\.0/,
    },
    {
      args: 'upstreams',
      body: {
        upstreams: [
          {
            announcement: {
              worker: 'w1',
              address: 'y',
              rack: 'r',
              capacity: {slots: 8},
            },
            state: 'available',
            holder: 'e1',
            lastRenewalMsAgo: 5,
            creditsHere: 2,
            runningHere: 1,
          },
        ],
      },
      expected: /w1 +y +r +available +8 +2 +1 +5 +e1/,
    },
  ];
  for (const {args, body, expected} of tables) {
    it(`prints the fields of the reply in "${args}"`, async () => {
      const result = await runAgainst(args.split(' '), () => ({
        status: 200,
        body,
      }));
      expect(result.out).to.match(expected);
      const json = await runAgainst([...args.split(' '), '--json'], () => ({
        status: 200,
        body,
      }));
      expect(JSON.parse(json.out)).to.deep.equal(body);
    });
  }
});
