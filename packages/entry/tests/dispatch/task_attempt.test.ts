import {
  UpstreamExchangeError,
  type UpstreamLink,
  UpstreamNotReachedError,
  UpstreamProtocolError,
} from '@mustardferry/links';
import type {StartTaskRequest, TaskReply} from '@mustardferry/model';
import {type Clock, install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import type {AttemptOutcome} from '../../src/dispatch/attempt_outcome.js';
import {TaskAttempt} from '../../src/dispatch/task_attempt.js';

const REQ: StartTaskRequest = {
  taskId: 'j/0',
  attempt: 1,
  incarnation: 1,
  owner: {group: 'dc1.0', generation: 1, term: 1},
  instance: 'e1',
  team: 'coop',
  kind: 'posting',
  resources: {slots: 1, processors: 0, memoryMb: 0, accelerators: 0},
  leaseMs: 3_000,
  payload: 0,
};

type Answer = TaskReply | Error | 'silent';

function reply(state: object, incarnation = 1): TaskReply {
  return {taskId: 'j/0', attempt: 1, incarnation, ...state} as TaskReply;
}

const DONE = reply({state: 'done', value: 7, runMs: 5});
const RUNNING = reply({state: 'running'});
const UNSEEN = reply({state: 'never-started'});
const BROKEN = new UpstreamExchangeError('broken');

/** Link with scripted replies; the last one of each list repeats. */
class FakeLink {
  readonly calls: string[] = [];
  constructor(
    private readonly answers: {
      readonly start?: readonly Answer[];
      readonly query?: readonly Answer[];
      readonly stop?: readonly Answer[];
    },
  ) {}

  start = () => this.answer('start');
  query = () => this.answer('query');
  stop = () => this.answer('stop');

  private answer(call: 'start' | 'query' | 'stop'): Promise<TaskReply> {
    const list = this.answers[call] ?? [];
    const earlier = this.calls.filter(name => name === call).length;
    this.calls.push(call);
    const answer = list[Math.min(earlier, list.length - 1)] ?? 'silent';
    if (answer === 'silent') return new Promise(() => undefined);
    return answer instanceof Error
      ? Promise.reject(answer)
      : Promise.resolve(answer);
  }
}

function attemptOver(link: FakeLink): TaskAttempt {
  return new TaskAttempt({
    link: link as unknown as UpstreamLink,
    req: REQ,
    resolveTimeoutMs: 5_000,
    onProbe: () => undefined,
    onSilentConnection: () => link.calls.push('replace'),
  });
}

describe('TaskAttempt', () => {
  let clock: Clock;
  beforeEach(() => (clock = install({now: 0})));
  afterEach(() => clock.uninstall());

  const outcome = async (
    run: Promise<AttemptOutcome>,
    ms = 60_000,
  ): Promise<AttemptOutcome | undefined> => {
    let known: AttemptOutcome | undefined;
    void run.then(value => (known = value));
    await clock.tickAsync(ms);
    return known;
  };

  const cases: readonly {
    readonly name: string;
    readonly answers: ConstructorParameters<typeof FakeLink>[0];
    readonly calls: readonly string[];
    readonly outcome: Partial<AttemptOutcome> & {readonly type: string};
  }[] = [
    {
      name: 'sends no query when the answer comes in time',
      answers: {start: [DONE]},
      calls: ['start'],
      outcome: {type: 'done', value: 7},
    },
    {
      name: 'does not lose a result whose reply was lost',
      answers: {start: [BROKEN], query: [DONE]},
      calls: ['start', 'query'],
      outcome: {type: 'done', value: 7},
    },
    {
      name: 'does not wait on a silent connection',
      answers: {query: [DONE]},
      calls: ['start', 'query', 'replace'],
      outcome: {type: 'done', value: 7},
    },
    {
      name: 'polls a task that still runs after its reply was lost',
      answers: {start: [BROKEN], query: [RUNNING, RUNNING, DONE]},
      calls: ['start', 'query', 'query', 'query'],
      outcome: {type: 'done', value: 7},
    },
    {
      name: 'does not accept the reply of another task',
      answers: {start: [new UpstreamProtocolError('crossed')], query: [DONE]},
      calls: ['start', 'query'],
      outcome: {type: 'done', value: 7},
    },
    {
      name: 'seals an attempt before it reports it as never started',
      answers: {start: [BROKEN], query: [UNSEEN], stop: [UNSEEN]},
      calls: ['start', 'query', 'stop'],
      outcome: {type: 'not-started', reason: 'sealed'},
    },
    {
      name: 'takes the result when the start overtakes the seal',
      answers: {start: [BROKEN], query: [UNSEEN], stop: [DONE]},
      calls: ['start', 'query', 'stop'],
      outcome: {type: 'done', value: 7},
    },
    {
      name: 'queries again when the reply to the seal was lost',
      answers: {start: [BROKEN], query: [UNSEEN], stop: [BROKEN, UNSEEN]},
      calls: ['start', 'query', 'stop', 'query', 'stop'],
      outcome: {type: 'not-started', reason: 'sealed'},
    },
    {
      name: 'does not take a duplicate refusal for a task that never ran',
      answers: {
        start: [reply({state: 'refused', refusal: 'duplicate'})],
        query: [DONE],
      },
      calls: ['start', 'query'],
      outcome: {type: 'done', value: 7},
    },
    {
      name: 'reports an attempt of a restarted upstream as unresolved',
      answers: {start: [BROKEN], query: [reply({state: 'never-started'}, 2)]},
      calls: ['start', 'query'],
      outcome: {type: 'unresolved', reason: 'upstream-restarted'},
    },
    {
      name: 'reports unresolved when the upstream restarts before the seal',
      answers: {
        start: [BROKEN],
        query: [UNSEEN],
        stop: [reply({state: 'never-started'}, 2)],
      },
      calls: ['start', 'query', 'stop'],
      outcome: {type: 'unresolved', reason: 'upstream-restarted'},
    },
    {
      name: 'reports unresolved when the upstream lost its record',
      answers: {
        start: [BROKEN],
        query: [reply({state: 'unknown'})],
        stop: [reply({state: 'unknown'})],
      },
      calls: ['start', 'query', 'stop'],
      outcome: {type: 'unresolved', reason: 'upstream-lost-record'},
    },
    {
      name: 'sends no query when nothing was sent',
      answers: {start: [new UpstreamNotReachedError('refused')]},
      calls: ['start'],
      outcome: {type: 'not-started', reason: 'upstream-not-reached'},
    },
    {
      name: 'keeps the reason of a refused start',
      answers: {start: [reply({state: 'refused', refusal: 'no-slot'})]},
      calls: ['start'],
      outcome: {type: 'refused', refusal: 'no-slot'},
    },
  ];
  for (const {name, answers, calls, outcome: expected} of cases) {
    it(name, async () => {
      const link = new FakeLink(answers);
      const attempt = attemptOver(link);
      // A lease renewal that finds the task ended requests a query.
      const renewal = setTimeout(() => attempt.queryNow(), 1_000);
      const known = await outcome(attempt.run());
      clearTimeout(renewal);
      expect(known).to.include(expected);
      expect(link.calls).to.deep.equal(calls);
      expect(clock.countTimers()).to.equal(0);
    });
  }

  it('gives up an unreachable upstream only after the timeout', async () => {
    const attempt = attemptOver(
      new FakeLink({start: [BROKEN], query: [BROKEN]}),
    );
    const run = attempt.run();
    expect(await outcome(run, 4_900)).to.equal(undefined);
    expect(await outcome(run, 2_000)).to.include({type: 'unresolved'});
  });

  it('starts nothing when it resumes the attempt of an earlier owner', async () => {
    const link = new FakeLink({query: [UNSEEN], stop: [UNSEEN]});
    const known = await outcome(attemptOver(link).resumeAttempt());
    expect(known).to.include({type: 'not-started', reason: 'sealed'});
    expect(link.calls).to.deep.equal(['query', 'stop']);
  });

  it('sends one stop and awaits the outcome', async () => {
    const link = new FakeLink({query: [RUNNING], stop: [RUNNING]});
    const attempt = attemptOver(link);
    const run = attempt.run();
    attempt.stop();
    attempt.stop();
    expect(await outcome(run, 100)).to.equal(undefined);
    expect(link.calls.filter(call => call === 'stop')).to.have.length(1);
  });

  it('waits exactly the grace period for a reply before it queries', async () => {
    const link = new FakeLink({query: [DONE]});
    const attempt = attemptOver(link);
    const run = attempt.run();
    attempt.queryNow();
    expect(await outcome(run, 49)).to.equal(undefined);
    expect(await outcome(run, 1)).to.include({type: 'done'});
    attempt.stop();
    expect(link.calls).to.deep.equal(['start', 'query', 'replace']);
  });
});
