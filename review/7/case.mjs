/** The leader is stopped as planned while it stores jobs of callers. */
import {clearTimeout, setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath, URL} from 'node:url';

import {HAS_TROUBLE, newLeader, play} from '../kit-2/play.mjs';

const ROUNDS = 11;

/** Groups of jobs a second, and jobs in each. */
const RATE = 8;
const GROUP_SIZE = 12;

/** `gracePeriodS`, and the time until the platform starts a process again. */
const GRACE_MS = 6_000;
const RESTART_MS = 500;

/** Jobs in progress of being stored when the leader is stopped. */
const BUSY_JOBS = 5;
const BUSY_WITHIN_MS = 3_000;

/** Pause in ms before each stop. */
const CALM_MS = 5_000;

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

/** Stops a process as the platform does. */
async function stop(instance) {
  const {child} = instance;
  const timer = setTimeout(() => instance.signal('SIGKILL'), GRACE_MS);
  const ended = new Promise(resolve => child.once('exit', resolve));
  instance.signal('SIGTERM');
  await ended;
  clearTimeout(timer);
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
      await stop(leader);
    }
    await sleep(RESTART_MS);
    if (HAS_TROUBLE) await leader.start();
    await sleep(RESTART_MS);
    if (setting.ledger.broken.length > 0) break;
  }
  goesOn = false;
  await traffic;
  await sleep(4_000);
});
