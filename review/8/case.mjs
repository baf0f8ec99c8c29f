/** The leader freezes while jobs that must be stored come in. */
import {clearTimeout, setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath, URL} from 'node:url';

import {HAS_TROUBLE, newLeader, play} from '../kit-2/play.mjs';

const ROUNDS = 8;

/** Groups of jobs a second, and jobs in each. */
const RATE = 8;
const GROUP_SIZE = 12;

const FREEZE_MS = 3_500;

/** Jobs in progress of being stored when the leader freezes. */
const BUSY_JOBS = 5;
const BUSY_WITHIN_MS = 3_000;

/** Pause in ms before each freeze. */
const CALM_MS = 7_000;

/** One task that ends soon, and one that takes 0.9 s, of a stored job. */
function createJob() {
  return {
    ms: [30, 900],
    steps: [
      {count: 1, cpu: 1_000, memoryRequestMb: 64, estimatedMs: 30},
      {count: 1, cpu: 1_000, memoryRequestMb: 64, estimatedMs: 900},
    ],
  };
}

/** Waits until tasks of several jobs have begun that are not answered yet. */
function untilBusy({ledger}) {
  return new Promise(resolve => {
    const timer = setTimeout(resolve, BUSY_WITHIN_MS);
    const begun = new Set();
    ledger.onStarted = (_worker, task) => {
      begun.add(ledger.jobOf(task));
      for (const job of begun) if (job.outcome !== 'open') begun.delete(job);
      if (begun.size < BUSY_JOBS) return;
      ledger.onStarted = null;
      clearTimeout(timer);
      resolve();
    };
  });
}

const folder = fileURLToPath(new URL('.', import.meta.url));

await play(folder, {workers: 16}, async setting => {
  const {callers} = setting;
  let goesOn = true;
  const traffic = callers.run(RATE, createJob, () => goesOn, GROUP_SIZE);
  for (let round = 0; round < ROUNDS; round++) {
    await sleep(CALM_MS);
    const leader = await newLeader(setting, null, 3_000);
    if (!leader) throw new Error('no leader is known');
    if (HAS_TROUBLE) {
      await untilBusy(setting);
      leader.signal('SIGSTOP');
    }
    await sleep(FREEZE_MS);
    if (HAS_TROUBLE) leader.signal('SIGCONT');
    if (setting.ledger.broken.length > 0) break;
  }
  goesOn = false;
  await traffic;
  await sleep(4_000);
});
