import {CreditLedger, WeightedFairSharing} from '@mustardferry/decisions';
import {upstreamKey} from '@mustardferry/model';
import {expect} from 'chai';
import fc from 'fast-check';

import {AttemptLedger} from '../../src/dispatch/attempt_ledger.js';
import {JobProgress} from '../../src/dispatch/job_progress.js';
import type {RunningAttempt} from '../../src/dispatch/task_entry.js';
import {TaskTable} from '../../src/dispatch/task_table.js';
import {UpstreamPool} from '../../src/upstreams/upstream_pool.js';
import {FakeOwnership, POLICY, runningJob, upstream} from '../fixtures.js';

const UPSTREAMS = [1, 2].map(port => upstream({address: `127.0.0.1:${port}`}));
const KEYS = UPSTREAMS.map(announcement => upstreamKey(announcement));
const TASKS = 6;

function setUp() {
  const pool = new UpstreamPool({
    token: undefined,
    dataCentre: 'dc1',
    instancesInDataCentre: 1,
  });
  const ledger = new CreditLedger();
  const sharing = new WeightedFairSharing();
  const progress = new JobProgress();
  sharing.setPolicy(POLICY);
  for (const announcement of UPSTREAMS) {
    pool.add(announcement);
    ledger.granted(upstreamKey(announcement), TASKS);
  }
  const book = new AttemptLedger({pool, sharing, credits: ledger, progress});
  const table = new TaskTable();
  const job = runningJob({tasks: TASKS});
  const owner = new FakeOwnership();
  const entries = job.record.tasks.map((_task, index) =>
    table.add({job, owner, index, nextAttempt: 1}, 0),
  );
  return {pool, ledger, sharing, book, entries};
}

describe('AttemptLedger', () => {
  it('leaks no credit or charge for any order of attempts', () => {
    const steps = fc.array(
      fc.record({
        task: fc.nat(TASKS - 1),
        on: fc.nat(KEYS.length - 1),
        leaves: fc.boolean(),
      }),
      {maxLength: 60},
    );
    fc.assert(
      fc.property(steps, list => {
        const {pool, ledger, sharing, book, entries} = setUp();
        let now = 0;
        for (const {task, on, leaves} of list) {
          const entry = entries[task];
          const key = KEYS[on] ?? '';
          if (entry === undefined) continue;
          const [running] = entry.running.values();
          const announced = pool.announcement(key);
          if (running !== undefined) book.releaseAttempt(entry, running, ++now);
          else if (announced !== undefined && !pool.isLeaving(key)) {
            const number = entry.nextAttempt++;
            const attempt: RunningAttempt = {
              attempt: number,
              upstream: key,
              startedAtMs: ++now,
              expectedRunMs: 100,
              chargeId: `${entry.queued.taskId}#${number}`,
            };
            book.chargeAttempt(entry, attempt);
          }
          if (leaves && announced !== undefined) pool.stopNewWork(announced);
          const open = entries.reduce((sum, {running: r}) => sum + r.size, 0);
          ledger.checkInvariants();
          expect(ledger.totals.inUse).to.equal(open);
          const [usage] = sharing.usage();
          expect(usage?.running.slots ?? 0).to.equal(open);
          const counted = KEYS.map(
            name => pool.candidates.get(name)?.running ?? 0,
          );
          expect(counted.reduce((a, b) => a + b)).to.equal(open);
        }
      }),
      {seed: 7, numRuns: 200},
    );
  });
});
