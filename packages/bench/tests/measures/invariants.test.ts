import {expect} from 'chai';

import type {Exchange, LaterQuery} from '../../src/load/outcomes.js';
import {judge} from '../../src/measures/invariants.js';
import type {StartEvent} from '../../src/workers/worker_record.js';
import {
  exchange,
  outcomeOf,
  recordsOf,
  startEvent,
  traceJob,
} from '../fixtures.js';

const NEVER = 'payment-posting';
const REPEATABLE = 'coverage-check';

const answer = (...values: readonly unknown[]) =>
  exchange({
    result: 'complete',
    final: true,
    results: values.map((value, i) => ({
      id: `t${i}`,
      value: {value, worker: 'w1'},
    })),
  });
const refused = (overrides: Partial<Exchange> = {}) =>
  exchange({result: 'not-run', status: 429, final: true, ...overrides});
const second = (overrides: Partial<StartEvent> = {}) =>
  startEvent({worker: 'w2', startMs: 160, ...overrides});

interface Case {
  readonly title: string;
  readonly kind: string;
  readonly exchanges: readonly Exchange[];
  readonly starts: readonly StartEvent[];
  readonly later?: LaterQuery;
  readonly want: readonly string[];
}

const CASES: readonly Case[] = [
  {
    title: 'accepts one start and a complete answer',
    kind: NEVER,
    exchanges: [answer('v0')],
    starts: [startEvent()],
    later: {
      status: 200,
      state: 'complete',
      results: answer('v0').results ?? [],
    },
    want: [],
  },
  {
    title: 'reports a second start of a task that must never repeat',
    kind: NEVER,
    exchanges: [answer('v0')],
    starts: [startEvent(), second({attempt: 2})],
    want: ['doubled-start'],
  },
  {
    title: 'allows a second attempt of a repeatable task',
    kind: REPEATABLE,
    exchanges: [answer('v0'), answer('v0')],
    starts: [startEvent(), second({attempt: 2})],
    want: [],
  },
  {
    title: 'reports a repeated attempt after a resubmission',
    kind: REPEATABLE,
    exchanges: [answer('v0'), answer('v0')],
    starts: [startEvent(), second()],
    want: ['second-start-by-resubmission'],
  },
  {
    title: 'reports a start under another job id after a resubmission',
    kind: REPEATABLE,
    exchanges: [answer('v0'), answer('v0')],
    starts: [startEvent(), second({taskId: 'dc2.0.abc/0', attempt: 2})],
    want: ['second-start-by-resubmission'],
  },
  {
    title: 'does not blame resubmission where none was made',
    kind: REPEATABLE,
    exchanges: [answer('v0')],
    starts: [startEvent(), second()],
    want: [],
  },
  {
    title: 'reports a missing result',
    kind: NEVER,
    exchanges: [answer()],
    starts: [startEvent()],
    want: ['partial-answer'],
  },
  {
    title: 'reports an empty result in place of a value',
    kind: NEVER,
    exchanges: [answer(undefined)],
    starts: [startEvent()],
    want: ['partial-answer'],
  },
  {
    title: "reports another caller's value",
    kind: NEVER,
    exchanges: [answer('other')],
    starts: [startEvent()],
    want: ['wrong-caller'],
  },
  {
    title: 'reports not-run for a task that had started before',
    kind: NEVER,
    exchanges: [answer('v0'), refused({sentMs: 400, doneMs: 410})],
    starts: [startEvent()],
    want: ['false-not-run'],
  },
  {
    title: 'reports not-run for a task that starts later',
    kind: NEVER,
    exchanges: [refused()],
    starts: [startEvent({startMs: 900})],
    want: ['false-not-run'],
  },
  {
    title: 'allows a start after a later submission that was admitted',
    kind: NEVER,
    exchanges: [refused(), answer('v0')],
    starts: [startEvent({startMs: 900})],
    want: [],
  },
  {
    title: 'reports a complete answer that a later query denies',
    kind: NEVER,
    exchanges: [answer('v0')],
    starts: [startEvent()],
    later: {status: 404, state: 'denied'},
    want: ['lost-answer'],
  },
  {
    title: 'reports an accepted job that its home no longer knows',
    kind: NEVER,
    exchanges: [exchange({status: 202})],
    starts: [],
    later: {status: 404, state: 'denied'},
    want: ['lost-submission'],
  },
  {
    title: 'does not take an unreachable home for a denial',
    kind: NEVER,
    exchanges: [answer('v0')],
    starts: [startEvent()],
    later: {status: 503, state: 'unreachable'},
    want: [],
  },
];

describe('judge', () => {
  for (const {title, kind, exchanges, starts, later, want} of CASES) {
    it(title, () => {
      const rest = later === undefined ? {} : {laterQuery: later};
      const outcome = outcomeOf(exchanges, rest);
      const jobs = [traceJob(kind, ['v0'])];
      const found = judge(jobs, [outcome], recordsOf(starts));
      expect(found.map(each => each.invariant)).to.deep.equal(want);
    });
  }

  it('reports results out of order', () => {
    const jobs = [traceJob(NEVER, ['v0', 'v1'])];
    const outcome = outcomeOf([answer('v1', 'v0')]);
    const found = judge(jobs, [outcome], recordsOf([]));
    expect(found.map(each => each.invariant)).to.deep.equal(['partial-answer']);
  });
});
