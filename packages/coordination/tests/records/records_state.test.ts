import {expect} from 'chai';

import type {
  AdmitCommand,
  RecordsCommand,
  RecordsResult,
  StartItem,
} from '../../src/records/record_messages.js';
import {RecordsState} from '../../src/records/records_state.js';

const UPSTREAM = {address: '127.0.0.1:9000', incarnation: 1};

/** Builds an `admit` command; the next functions build other commands. */
function admit(change: Partial<AdmitCommand> = {}): AdmitCommand {
  return {
    type: 'admit',
    jobId: 'a.0.x',
    team: 'coop',
    kind: 'posting',
    idempotencyKey: 'x',
    digest: 'd1',
    repeatable: false,
    tasks: [
      {id: 't0', payload: {amount: 1}},
      {id: 't1', payload: null},
    ],
    atMs: 1_000,
    keepUntilMs: 61_000,
    ...change,
  };
}

function start(change: Partial<StartItem> = {}): RecordsCommand {
  const item = {jobId: 'a.0.x', taskIndex: 0, attempt: 1, atMs: 1_001};
  return {type: 'start', starts: [{...item, upstream: UPSTREAM, ...change}]};
}

function seal(attempt: number, taskIndex = 0): RecordsCommand {
  return {type: 'seal', jobId: 'a.0.x', taskIndex, attempt};
}

function finish(
  outcome: 'complete' | 'not-run' | 'failed',
  ids: readonly string[] = ['t0', 't1'],
): RecordsCommand {
  const jobId = 'a.0.x';
  const results = ids.map(id => ({id, value: 1}));
  return {
    type: 'finish',
    jobId,
    atMs: 2_000,
    answer:
      outcome === 'complete'
        ? {outcome, jobId, results}
        : {outcome, jobId, code: 'c', detail: ''},
  };
}

/** Returns the reason of a refusal or the outcome, which the tests compare. */
function getOutcome(result: RecordsResult): unknown {
  if (result.type === 'start') {
    return result.results.map(each =>
      each.outcome === 'refused' ? each.reason : each.outcome,
    )[0];
  }
  if (result.type === 'finish' && result.outcome === 'refused') {
    return result.reason;
  }
  return 'outcome' in result ? result.outcome : result;
}

/** Applies commands and checks that a copy restored after each one is equal. */
function applyCommands(commands: readonly RecordsCommand[]): {
  state: RecordsState;
  last: unknown;
} {
  let state = new RecordsState();
  let last: unknown;
  for (const command of commands) {
    last = getOutcome(state.apply(command));
    const copy = new RecordsState();
    copy.restore(state.snapshot());
    expect(copy.snapshot()).to.deep.equal(state.snapshot());
    expect(copy.estimateBytes()).to.equal(state.estimateBytes());
    state = copy;
  }
  return {state, last};
}

const MARK_GENERATION: RecordsCommand = {
  type: 'mark-generation',
  generation: 2,
  grantedAtMs: 5_000,
  unknownUntilMs: 65_000,
};

/** Builds an `import-durable` command with the records that commands create. */
function createImport(commands: readonly RecordsCommand[]): RecordsCommand {
  return {
    type: 'import-durable',
    records: applyCommands(commands).state.records(),
  };
}

const REPEATABLE = admit({repeatable: true});

const CASES: readonly [string, readonly RecordsCommand[], unknown][] = [
  ['a second job for a resubmission', [admit(), admit()], 'joined'],
  [
    'a resubmission with another body from joining the job',
    [admit(), admit({digest: 'd2', atMs: 2_000})],
    'conflict',
  ],
  [
    'a lost answer after the job ended',
    [admit(), finish('complete'), admit()],
    'joined',
  ],
  [
    'a second start',
    [admit(), start(), start({attempt: 2})],
    'already-started',
  ],
  ['a repeated start proposal', [admit(), start(), start()], 'already-started'],
  [
    'a task that stays blocked after its attempt was sealed',
    [admit(), start(), seal(1), start({attempt: 2})],
    'started',
  ],
  [
    'a sealed attempt that starts again',
    [admit(), start(), seal(1), start()],
    'stale-attempt',
  ],
  [
    'a seal of one task from allowing a second start of another',
    [admit(), start(), start({taskIndex: 1}), seal(1), start({taskIndex: 1})],
    'already-started',
  ],
  ['a seal without a start', [admit(), seal(1)], 'unknown-start'],
  [
    'a blocked retry of a repeatable task',
    [REPEATABLE, start(), start({attempt: 2})],
    'started',
  ],
  [
    'a start after the answer',
    [admit(), finish('failed'), start()],
    'finished',
  ],
  ['a start without a record', [start()], 'unknown-job'],
  ['a start beyond the job', [admit(), start({taskIndex: 2})], 'unknown-task'],
  [
    'a partial answer',
    [admit(), finish('complete', ['t0'])],
    'answer-mismatch',
  ],
  [
    'results in another order',
    [admit(), finish('complete', ['t1', 't0'])],
    'answer-mismatch',
  ],
  [
    'the answer not-run after a start',
    [admit(), start(), finish('not-run')],
    'task-started',
  ],
  [
    'the refusal of not-run after the start was sealed',
    [admit(), start(), seal(1), finish('not-run')],
    'finished',
  ],
  [
    'a second answer',
    [admit(), finish('failed'), finish('complete')],
    'already-finished',
  ],
  [
    'a new admission after a lost generation',
    [MARK_GENERATION, admit()],
    'unknown',
  ],
  [
    'the refusal of an admission after the retention time',
    [MARK_GENERATION, admit({atMs: 65_000})],
    'admitted',
  ],
  [
    'the refusal of a key generated after the grant',
    [MARK_GENERATION, admit({atMs: 6_000, keyGeneratedAtMs: 5_001})],
    'admitted',
  ],
  [
    'a second admission of a key generated before the grant',
    [MARK_GENERATION, admit({atMs: 6_000, keyGeneratedAtMs: 5_000})],
    'unknown',
  ],
  [
    'a late mark of an earlier generation from shortening the time',
    [
      MARK_GENERATION,
      {...MARK_GENERATION, generation: 1, unknownUntilMs: 1},
      admit(),
    ],
    'unknown',
  ],
  [
    'a start whose earlier start record was lost',
    [MARK_GENERATION, createImport([admit()]), start()],
    'earlier-generation',
  ],
  [
    'a repeatable task that never runs again after a lost generation',
    [MARK_GENERATION, createImport([REPEATABLE]), start()],
    'started',
  ],
  [
    'the answer not-run for a job of an earlier generation',
    [MARK_GENERATION, createImport([admit()]), finish('not-run')],
    'task-started',
  ],
  [
    'an imported answer that a later import replaces',
    [
      MARK_GENERATION,
      createImport([admit(), finish('failed')]),
      createImport([admit(), start()]),
      finish('complete'),
    ],
    'already-finished',
  ],
  [
    'more records than the maximum',
    [
      {type: 'configure', maxRecords: 1},
      admit(),
      admit({jobId: 'a.0.y', idempotencyKey: 'y'}),
    ],
    'full',
  ],
  [
    'the refusal of a resubmission when the group is full',
    [{type: 'configure', maxRecords: 1}, admit(), admit()],
    'joined',
  ],
  [
    'expiry of a record before the end of its retention time',
    [admit(), finish('failed'), {type: 'expire', beforeMs: 61_000}, admit()],
    'joined',
  ],
  [
    'records that never expire',
    [admit(), finish('failed'), {type: 'expire', beforeMs: 61_001}, admit()],
    'admitted',
  ],
  [
    'expiry of a running job, which a resubmission would start again',
    [admit(), {type: 'expire', beforeMs: 99_000}, admit()],
    'joined',
  ],
];

describe('RecordsState', () => {
  for (const [failure, commands, expected] of CASES) {
    it(`prevents ${failure}`, () => {
      expect(applyCommands(commands).last).to.deep.equal(expected);
    });
  }

  it('frees the memory of expired records, so that use stays bounded', () => {
    const {state} = applyCommands([
      admit(),
      start(),
      finish('complete'),
      {type: 'expire', beforeMs: 62_000},
    ]);
    expect(state.estimateBytes()).to.equal(0);
    expect(state.getCounts()).to.include({total: 0, unfinished: 0});
  });

  it('lists unfinished jobs in order, so that a new leader misses none', () => {
    const {state} = applyCommands([
      admit(),
      admit({jobId: 'a.0.y'}),
      admit({jobId: 'a.0.z'}),
      finish('failed'),
    ]);
    const ids = state.unfinished().map(record => record.jobId);
    expect(ids).to.deep.equal(['a.0.y', 'a.0.z']);
    expect(state.get('a.0.x')?.answer?.outcome).to.equal('failed');
  });

  it('does not report an id of a lost generation as never admitted', () => {
    const {state} = applyCommands([MARK_GENERATION]);
    expect(state.lookUpRecord('a.0.x', 64_999).state).to.equal('unknown');
    expect(state.lookUpRecord('a.0.x', 65_000).state).to.equal(
      'never-admitted',
    );
  });
});
