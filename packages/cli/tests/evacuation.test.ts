import {expect} from 'chai';

import {problem, type Reaction, runAgainst} from './stand_in.js';

const LIST: Reaction = {
  status: 200,
  body: {
    current: true,
    evacuations: [
      {
        dataCentre: 'east',
        evacuated: true,
        revision: 7,
        changedAtMs: 1_000,
        operator: 'ann',
      },
      {dataCentre: 'west', evacuated: false, revision: 0},
    ],
  },
};

function accepted(evacuated: boolean, repeated = false): Reaction {
  const body = {
    dataCentre: 'east',
    evacuated,
    revision: 9,
    requestId: 'r',
    repeated,
  };
  return {status: 200, body};
}

describe('evacuation commands', () => {
  it('resend an order with the same Request-Id and revision after a lost reply', async () => {
    const result = await runAgainst(
      ['evacuation', 'end', 'east', '--operator', 'kim'],
      ({method}, count) => {
        if (method === 'GET') return LIST;
        return count === 2 ? 'lose-reply' : accepted(false, true);
      },
    );
    const [first, second, ...more] = result.received.slice(1);
    expect(more).to.have.length(0);
    expect([first?.method, first?.url]).to.deep.equal([
      'DELETE',
      '/v1/evacuations/east',
    ]);
    expect(first?.headers).to.include({operator: 'kim', 'if-match': '"7"'});
    expect(first?.headers['request-id']).to.match(/^[\w-]{36}$/);
    for (const name of ['request-id', 'if-match', 'operator']) {
      expect(second?.headers[name]).to.equal(first?.headers[name]);
    }
    expect(result.out).to.match(/east readmitted, revision 9 \(stored reply/);
  });

  it('repeat an order of unknown outcome unchanged, without a new base revision', async () => {
    const id = ['--request-id', 'r5', '--revision', '0'];
    const result = await runAgainst(
      ['evacuation', 'start', 'we st', ...id],
      () => accepted(true),
    );
    expect(result.received).to.have.length(1);
    expect(result.received[0]).to.include({
      method: 'POST',
      url: '/v1/evacuations/we%20st',
    });
    expect(result.received[0]?.headers).to.include({
      'request-id': 'r5',
      'if-match': '"0"',
    });
    expect(result.code).to.equal(0);
  });

  it('exit with 4 and tell how to repeat an order when all replies are lost', async () => {
    const result = await runAgainst(
      ['evacuation', 'start', 'west'],
      ({method}) => (method === 'GET' ? LIST : 'lose-reply'),
    );
    expect(result.code).to.equal(4);
    expect(result.err).to.match(/--request-id \S+ --revision 0/);
  });

  for (const [status, code] of [
    [412, 'revision-conflict'],
    [404, 'unknown-data-centre'],
  ] as const) {
    it(`report a refused order as failed: ${code}`, async () => {
      const result = await runAgainst(
        ['evacuation', 'start', 'east'],
        ({method}) =>
          method === 'GET' ? LIST : problem(status, code, 'not-run'),
      );
      expect([result.code, result.out]).to.deep.equal([1, '']);
    });
  }

  it('are told apart in the audit trail, refused ones, too', async () => {
    const entry = {
      index: 1,
      atMs: 1,
      operator: 'ann',
      requestId: 'r1',
      action: 'evacuation',
      team: '',
      fromRevision: 0,
      toRevision: 7,
      before: 'east evacuated=false',
      after: 'east evacuated=true',
      detail: '',
      hash: '',
    };
    const refused = {...entry, index: 2, detail: 'conflict: revision 7'};
    const body = {entries: [entry, refused], previousHash: '', lastIndex: 2};
    const {out} = await runAgainst(['audit', 'list'], () => ({
      status: 200,
      body,
    }));
    expect(out).to.match(/r1 +east evacuated=true\n/);
    expect(out).to.include('east evacuated=true; conflict: revision 7\n');
  });

  it('show who evacuated a data centre since when, and that it is not confirmed', async () => {
    const {body} = LIST as {readonly body: object};
    const result = await runAgainst(['evacuation', 'show'], () => ({
      status: 200,
      body: {...body, current: false},
    }));
    expect(result.out).to.match(/east +true +7 +1970-01-01T00:00:01.000Z +ann/);
    expect(result.out).to.match(/west +false +0 +- +-/);
    expect(result.err).to.include('may be older');
    const json = await runAgainst(['evacuation', 'show', '--json'], () => LIST);
    expect(JSON.parse(json.out)).to.deep.equal(body);
  });
});
