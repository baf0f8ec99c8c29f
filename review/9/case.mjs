/** A member that relays orders freezes, and workers restart meanwhile. */
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath, URL} from 'node:url';

import {HAS_TROUBLE, newLeader, play} from '../kit-2/play.mjs';

const ROUNDS = 9;
const WORKERS = 24;

/** Jobs a second. */
const RATE = 100;

const FREEZE_MS = 3_500;

/** Time in ms from the freeze to the crash of workers, and their time down. */
const CRASH_AFTER_MS = 1_500;
const DOWN_MS = 500;

/** Workers that crash: 0.14 of all. */
const CRASHING = 3;

/** Pause in ms before each round. */
const CALM_MS = 5_000;

function createJob() {
  return {
    ms: [60, 200],
    steps: [
      {count: 1, cpu: 1_000, memoryRequestMb: 64, estimatedMs: 60},
      {count: 1, cpu: 1_000, memoryRequestMb: 64, estimatedMs: 200},
    ],
  };
}

async function restart(worker) {
  worker.crash();
  await sleep(DOWN_MS);
  await worker.start();
}

const folder = fileURLToPath(new URL('.', import.meta.url));

await play(folder, {workers: WORKERS}, async setting => {
  const {callers, deployment, ledger, workers} = setting;
  let goesOn = true;
  const traffic = callers.run(RATE, createJob, () => goesOn);
  for (let round = 0; round < ROUNDS; round++) {
    await sleep(CALM_MS);
    const leader = await newLeader(setting, null, 3_000);
    if (!leader) throw new Error('no leader is known');
    const others = deployment.members.filter(each => each !== leader);
    const member = others[round % others.length];
    if (HAS_TROUBLE) member.signal('SIGSTOP');
    await sleep(CRASH_AFTER_MS);
    const drawn = [...workers].sort(() => Math.random() - 0.5);
    const crashing = HAS_TROUBLE ? drawn.slice(0, CRASHING) : [];
    await Promise.all(crashing.map(restart));
    await sleep(FREEZE_MS - CRASH_AFTER_MS - DOWN_MS);
    if (HAS_TROUBLE) member.signal('SIGCONT');
    await sleep(1_000);
    if (ledger.broken.length > 0 || ledger.lateStarts.length > 0) break;
  }
  await sleep(2_000);
  goesOn = false;
  await traffic;
  await sleep(3_000);
});
