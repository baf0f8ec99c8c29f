/** Many short tasks of jobs that come at once end together on one worker. */
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';

import {runCase, TROUBLE} from '../stand_ins/case.mjs';
import {findStartsAfterDone} from '../stand_ins/rules.mjs';

const TASKS = 20;
const CPU = 10;

/** Usual rate of jobs, and its multiple while many users come. */
const JOBS_PER_S = 12;
const BURST = 1.8;

/** Length of a round of jobs, and when after its begin all its tasks end. */
const ROUND_MS = 2_000;
const ROUND_END_MS = 2_600;
const ROUNDS = 5;
const PAUSE_MS = 4_000;
const SETTLE_MS = 3_000;

const WORKERS = [
  {id: 'w-1', labels: ['a', 'r1-1'], cpu: 16_000},
  {id: 'w-2', labels: ['a', 'r1-2'], cpu: 2_000},
  {id: 'w-3', labels: ['a', 'r1-3'], cpu: 2_000},
];

async function play({clients, record}) {
  const gapMs = 1_000 / (JOBS_PER_S * (TROUBLE ? BURST : 1));
  for (let round = 0; round < ROUNDS; round++) {
    const startedAt = performance.now();
    for (let n = 0; n * gapMs < ROUND_MS; n++) {
      const runMs = Math.round(ROUND_END_MS - n * gapMs);
      const steps = [{count: TASKS, cpu: CPU, estimatedMs: runMs}];
      void clients.submit(`run ${runMs} cpu ${CPU}`, steps);
      const nextAt = startedAt + (n + 1) * gapMs;
      await sleep(Math.max(0, nextAt - performance.now()));
    }
    await sleep(PAUSE_MS);
  }
  await sleep(SETTLE_MS);
  return findStartsAfterDone(record);
}

await runCase(import.meta.url, {workers: WORKERS, play});
