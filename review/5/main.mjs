/** The only worker with a label sheds half of its starts for some seconds. */
import {setTimeout as sleep} from 'node:timers/promises';

import {runCase, TROUBLE} from '../stand_ins/case.mjs';
import {findIdleJobs} from '../stand_ins/rules.mjs';

const RUN_MS = 200;
const CPU = 1_000;
const SHED_SHARE = 0.5;
const SHED_MS = 6_500;
const JOBS = 20;
const GAP_MS = 300;
const FINISH_MS = 14_000;
const WATCH_MS = 3_200;

const WORKERS = [1, 2, 3, 4, 5, 6, 7, 8].map(n => ({
  id: `w-${n}`,
  labels: [n === 8 ? 'b' : 'a', `r1-${n}`],
  cpu: 4_000,
}));

async function play({clients, workers, record}) {
  const [labelled] = workers.slice(-1);
  if (TROUBLE) labelled.shedShare = SHED_SHARE;
  const until = record.now + SHED_MS;
  const steps = [{count: 1, cpu: CPU, estimatedMs: RUN_MS, requirements: 'b'}];
  for (let n = 0; n < JOBS; n++) {
    await clients.submit(`run ${RUN_MS} cpu ${CPU}`, steps);
    await sleep(GAP_MS);
  }
  await sleep(Math.max(0, until - record.now));
  labelled.shedShare = 0;
  record.add('shedding-over');
  await sleep(FINISH_MS);
  const from = record.now;
  await sleep(WATCH_MS);
  const to = record.now;
  const jobs = clients.accepted.map(id => ({
    id,
    tasks: 1,
    cpu: CPU,
    label: 'b',
  }));
  const idle = findIdleJobs({record, workers, jobs, from, to});
  for (const id of clients.accepted) await clients.state(id);
  return idle.map(id => `${id} has nothing running from ${from} to ${to} ms`);
}

await runCase(import.meta.url, {workers: WORKERS, play});
