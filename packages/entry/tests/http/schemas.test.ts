import {expect} from 'chai';

import {ProblemError} from '../../src/http/problems.js';
import {parseBody} from '../../src/http/schemas.js';
import {upstream} from '../fixtures.js';

const TASK = {id: 't', payload: 1};
const JOB = {team: 'a', kind: 'b', tasks: [TASK]};
const LONG = 'x'.repeat(129);
const {address, incarnation, capacity} = upstream();
const USAGE = {address, incarnation, lagMs: 1, used: capacity, runningTasks: 0};

function problemOf(run: () => unknown) {
  try {
    run();
  } catch (err) {
    if (err instanceof ProblemError) return err.problem;
    throw err;
  }
  return undefined;
}

describe('parseBody', () => {
  const jobs: readonly (readonly [string, unknown, string])[] = [
    ['no body', undefined, ''],
    ['null', null, ''],
    ['an array', [], ''],
    ['a text', 'job', ''],
    ['no team', {...JOB, team: undefined}, 'team'],
    ['an empty kind', {...JOB, kind: ''}, 'kind'],
    ['a long team', {...JOB, team: LONG}, 'team'],
    ['no tasks', {...JOB, tasks: []}, 'tasks'],
    ['tasks of a wrong type', {...JOB, tasks: 'x'}, 'tasks'],
    ['a task without id', {...JOB, tasks: [{payload: 1}]}, 'tasks.0.id'],
    ['a numeric id', {...JOB, tasks: [{...TASK, id: 1}]}, 'tasks.0.id'],
    ['a task without payload', {...JOB, tasks: [{id: 't'}]}, 'tasks.0.payload'],
    ['an unknown member', {...JOB, retries: 1}, ''],
    ['a deadline of zero', {...JOB, deadlineMs: 0}, 'deadlineMs'],
    ['a deadline over a day', {...JOB, deadlineMs: 86_400_001}, 'deadlineMs'],
    ['a fractional deadline', {...JOB, deadlineMs: 0.5}, 'deadlineMs'],
    [
      'negative resources',
      {...JOB, tasks: [{...TASK, resources: {...capacity, slots: -1}}]},
      'tasks.0.resources.slots',
    ],
    [
      'a run time of a wrong type',
      {...JOB, tasks: [{...TASK, expectedRunMs: '5'}]},
      'tasks.0.expectedRunMs',
    ],
  ];
  for (const [name, body, path] of jobs) {
    it(`refuses a job with ${name} and names the member`, () => {
      const refused = problemOf(() => parseBody('job', body));
      expect(refused).to.include({code: 'invalid-body', outcome: 'not-run'});
      expect(refused?.errors?.map(error => error.path)).to.include(path);
    });
  }

  it('answers a body of many faults with a bounded list', () => {
    const tasks = Array<number>(10_000).fill(0);
    const refused = problemOf(() => parseBody('job', {...JOB, tasks}));
    expect(refused?.errors).to.have.length.within(1, 100);
  });

  const addresses = [
    '',
    'worker:80',
    '127.0.0.1',
    '999.0.0.1:80',
    '127.0.0.1:99999',
    '127.0.0.1:0',
    '[::::]:80',
    '127.0.0.1:80/x',
  ];
  for (const bad of addresses) {
    it(`admits no upstream at the address "${bad}"`, () => {
      const body = upstream({address: bad});
      const refused = problemOf(() => parseBody('announce', body));
      expect(refused?.errors?.[0]?.path).to.equal('address');
    });
  }

  const upstreams: readonly (readonly [
    'announce' | 'leave' | 'usage',
    unknown,
  ])[] = [
    ['announce', {...upstream(), incarnation: -1}],
    ['announce', {...upstream(), maxConnections: 0}],
    ['announce', {...upstream(), kinds: 'posting'}],
    ['announce', {...upstream(), capacity: {slots: 1}}],
    ['leave', {address}],
    ['leave', {address, incarnation: 1.5}],
    ['usage', {...USAGE, lagMs: -1}],
    ['usage', {...USAGE, runningTasks: '1'}],
  ];
  upstreams.forEach(([schema, body], number) => {
    it(`refuses bad ${schema} body ${number}`, () => {
      const refused = problemOf(() => parseBody(schema, body));
      expect(refused).to.include({code: 'invalid-body'});
    });
  });

  it('refuses no valid body', () => {
    const ipv6 = upstream({address: '[::1]:80'});
    expect(parseBody('job', JOB)).to.deep.equal(JOB);
    expect(parseBody('announce', ipv6)).to.deep.equal(ipv6);
    expect(parseBody('leave', {address, incarnation})).to.be.an('object');
    expect(parseBody('usage', USAGE)).to.deep.equal(USAGE);
  });
});
