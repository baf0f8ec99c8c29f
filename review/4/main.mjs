/** The only worker with a label is lost for good while jobs wait for it. */
import {setTimeout as sleep} from 'node:timers/promises';

import {runCase, TROUBLE} from '../stand_ins/case.mjs';
import {findIdleJobs} from '../stand_ins/rules.mjs';

const RUN_MS = 200;
const CPU = 1_000;

/** Jobs for the worker with the label. */
const LABELLED_JOBS = 30;
const LABELLED_GAP_MS = 100;

/** Jobs for the other workers: as many users as in a burst of the sites. */
const OTHER_JOBS = 500;
const OTHER_GAP_MS = 8;
const FINISH_MS = 14_000;
const WATCH_MS = 3_200;

const WORKERS = [1, 2, 3, 4, 5, 6, 7, 8].map(n => ({
  id: `w-${n}`,
  labels: [n === 8 ? 'b' : 'a', `r1-${n}`],
  cpu: 2_000,
}));

async function play({clients, workers, record}) {
  const [labelled] = workers.slice(-1);
  if (TROUBLE) labelled.crash();
  const labels = new Map();
  const submit = async label => {
    const step = {count: 1, cpu: CPU, estimatedMs: RUN_MS, requirements: label};
    const id = await clients.submit(`run ${RUN_MS} cpu ${CPU}`, [step]);
    labels.set(id, label);
  };
  for (let n = 0; n < LABELLED_JOBS; n++) {
    await submit('b');
    await sleep(LABELLED_GAP_MS);
  }
  for (let n = 0; n < OTHER_JOBS; n++) {
    void submit('a');
    await sleep(OTHER_GAP_MS);
  }
  await sleep(FINISH_MS);
  const from = record.now;
  await sleep(WATCH_MS);
  const to = record.now;
  const jobs = clients.accepted.map(id => ({
    id,
    tasks: 1,
    cpu: CPU,
    label: labels.get(id),
  }));
  const idle = findIdleJobs({record, workers, jobs, from, to});
  for (const id of idle.slice(0, 10)) await clients.state(id);
  return idle.map(id => `${id} has nothing running from ${from} to ${to} ms`);
}

await runCase(import.meta.url, {workers: WORKERS, play});
