/** The leader is frozen while a worker is restarted under its id. */
import {setTimeout as sleep} from 'node:timers/promises';

import {runCase, TROUBLE} from '../stand_ins/case.mjs';
import {findIdleJobs} from '../stand_ins/rules.mjs';

const FREEZE_AFTER_MS = 1_500;
const FREEZE_MS = 6_000;
const RESTART_AFTER_MS = 500;
const CALM_MS = 4_000;
const JOBS = 10;
const GAP_MS = 300;
const RUN_MS = 200;
const CPU = 1_000;
const FINISH_MS = 14_000;
const WATCH_MS = 3_200;

const WORKERS = [1, 2, 3, 4].map(n => ({
  id: `w-${n}`,
  labels: [n === 4 ? 'b' : 'a', `r1-${n}`],
  cpu: 4_000,
}));

async function play({deployment, clients, workers, record}) {
  const [restarted] = workers.slice(-1);
  const leader = await deployment.leader();
  const restart = async () => {
    await restarted.leave();
    await sleep(RESTART_AFTER_MS);
    await restarted.restart();
  };
  const restarting = restart();
  await sleep(FREEZE_AFTER_MS);
  if (TROUBLE) deployment.signal(leader, 'SIGSTOP');
  await sleep(FREEZE_MS);
  if (TROUBLE) deployment.signal(leader, 'SIGCONT');
  await restarting;
  await sleep(CALM_MS);
  const steps = [{count: 1, cpu: CPU, estimatedMs: RUN_MS, requirements: 'b'}];
  for (let n = 0; n < JOBS; n++) {
    await clients.submit(`run ${RUN_MS} cpu ${CPU}`, steps);
    await sleep(GAP_MS);
  }
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
