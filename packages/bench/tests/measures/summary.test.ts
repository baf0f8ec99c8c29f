import {expect} from 'chai';

import {
  idealResponse,
  omniscientResponses,
} from '../../src/measures/omniscient.js';
import {
  distributionOf,
  summarizeRun,
  wasteOf,
} from '../../src/measures/summary.js';
import {htmlReport} from '../../src/report/html_report.js';
import {summaryTable} from '../../src/report/table.js';
import {
  exchange,
  outcomeOf,
  recordsOf,
  startEvent,
  traceJob,
} from '../fixtures.js';

const worker = (name: string, speed: number, slots: number) => ({
  worker: name,
  dataCentre: 'dc1',
  rack: 'r1',
  speed,
  slots,
});

const summary = summarizeRun({
  scenario: 's',
  policy: 'p<1>',
  seed: 1,
  roundTripMs: 6,
  durationMs: 1_000,
  jobs: [traceJob('payment-posting', ['v0'])],
  workers: [worker('w1', 2, 1)],
  outcomes: [
    outcomeOf([exchange({result: 'complete', final: true})], {
      answeredMs: 212,
    }),
  ],
  records: recordsOf([startEvent()]),
  violations: [],
});

describe('omniscientResponses', () => {
  const jobs = [
    traceJob('payment-posting', ['a', 'b']),
    {...traceJob('payment-posting', ['c']), index: 1, atMs: 10},
  ];

  it('puts each task where it ends first, and queues without a free slot', () => {
    const workers = [worker('fast', 2, 1), worker('slow', 1, 1)];
    // Fast: 0-50, 50-100, 100-150; the slow worker would end at 110 at best.
    const responses = omniscientResponses(jobs, workers, 6);
    expect(responses).to.deep.equal([106, 106]);
  });

  it('takes the fastest worker, idle, as the ideal', () => {
    const workers = [worker('fast', 2, 1), worker('slow', 1, 1)];
    const [job] = jobs;
    expect(job && idealResponse(job, workers, 6)).to.equal(56);
  });
});

describe('wasteOf', () => {
  it('names each cause, so that no wasted message goes uncounted', () => {
    const records = recordsOf(
      [
        startEvent({value: 'a', startMs: 0, endMs: 100, delivered: false}),
        startEvent({value: 'a', startMs: 50, attempt: 2}),
        startEvent({value: 'b', startMs: 0, endMs: 100, end: 'error'}),
        startEvent({value: 'b', startMs: 100, attempt: 2}),
        startEvent({value: 'c', startMs: 0}),
        startEvent({value: 'c', startMs: 0}),
      ],
      {
        refusals: [
          {
            worker: 'w1',
            taskId: 'x',
            attempt: 1,
            refusal: 'no-slot',
            value: 'd',
            atMs: 0,
          },
        ],
        queriesWhileRunning: 2,
      },
    );
    expect(wasteOf(records)).to.deep.equal({
      byCause: {
        'refused-no-slot': 1 / 6,
        hedge: 1 / 6,
        retry: 1 / 6,
        duplicate: 1 / 6,
        'unneeded-probe': 2 / 6,
        'discarded-answer': 1 / 6,
      },
      total: 7 / 6,
    });
  });
});

describe('summarizeRun', () => {
  it('divides by the ideal and by the omniscient scheduler', () => {
    expect(summary.urgent.slowdown.mean).to.equal(2);
    expect(summary.urgent.omniscientRatio).to.equal(2);
    expect(summary.goodputPart).to.equal(1);
  });

  it('reports an empty distribution as zero, not as infinity', () => {
    const empty = {count: 0, mean: 0, p50: 0, p99: 0};
    expect(distributionOf([])).to.deep.equal(empty);
  });

  it('keeps cancelled jobs out of the measures', () => {
    const cancelled = outcomeOf([], {cancelledMs: 1});
    const run = summarizeRun({
      scenario: 's',
      policy: 'p',
      seed: 1,
      roundTripMs: 6,
      durationMs: 1_000,
      jobs: [traceJob('payment-posting', ['v0'])],
      workers: [worker('w1', 2, 1)],
      outcomes: [cancelled],
      records: recordsOf([]),
      violations: [],
    });
    expect(run.urgent.jobs).to.equal(0);
    expect(run.results).to.deep.equal({});
  });
});

describe('reports', () => {
  it('prints ratios to the first policy', () => {
    const slower = {
      ...summary,
      policy: 'q',
      urgent: {...summary.urgent, omniscientRatio: 3},
    };
    expect(summaryTable([summary, slower])).to.match(
      /urgent mean\/omniscient +2 +3 \(x1\.50\)/,
    );
  });

  it('renders plots and escapes names', async () => {
    const html = await htmlReport('a & b', [summary]);
    expect(html).to.include('<svg').and.to.include('a &amp; b');
    expect(html).not.to.include('<pre>p<1>');
  });
});
