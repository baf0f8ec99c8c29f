/**
 * Jobs that must be kept, some of whose tasks always fail, while the leader is
 * killed: does a task start again after its last attempt has failed?
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {URL} from 'node:url';

import {Deployment, HOST} from '../kit-3/deployment.mjs';
import {send} from '../kit-3/http.mjs';
import {Record} from '../kit-3/record.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const KILLS = 8;
const MAX_ATTEMPTS = 2;
const PREFIX = '/plan/';
/** Every twentieth job can never be done, for 3 s around each kill. */
const POISON_EVERY = 20;
const POISON_MS = 3_000;
const KILL_AFTER_MS = 2_500;
const JOBS_PER_S = 80;
const TASKS = 2;
const RUN_MS = 150;
const KILL_EVERY_MS = 6_000;

const record = new Record(new URL('record.txt', import.meta.url).pathname);
/** By task: runs that ended `failed`, and starts after the last of them. */
const failedEnds = new Map();
const lateStarts = [];

const observer = {
  began(worker, task, run) {
    record.add(`start ${task} run ${run} on ${worker.id}`);
    const failed = failedEnds.get(task) ?? [];
    if (failed.length < MAX_ATTEMPTS) return;
    const ends = failed.map(({row}) => `run ${row[2]}`).join(', ');
    lateStarts.push({task, run, worker: worker.id, failed: [...failed]});
    record.add(`  after ${failed.length} failed ends (${ends})`);
  },
  ended(worker, end) {
    const [, task, run, how] = end.row;
    record.add(`end ${task} run ${run} ${how} on ${worker.id}`);
    if (how !== 'failed') return;
    failedEnds.set(task, [...(failedEnds.get(task) ?? []), end]);
  },
  noted(worker, end) {
    end.noted = true;
    const [n, task, run, how] = end.row;
    record.add(`taken note of ${n} on ${worker.id}: ${task} run ${run} ${how}`);
  },
};

const deployment = new Deployment({
  record,
  observer,
  behave: (_task, specification) => ({
    runMs: RUN_MS,
    how: specification === 'poison' ? 'failed' : 'done',
  }),
});

let nextJob = 0;
let poisonUntil = 0;
let stopped = false;

/** Submits one job, again where the page says so; asks for its end. */
async function runJob() {
  const number = ++nextJob;
  const id = number.toString(16).padStart(16, '0');
  const isPoison = number % POISON_EVERY === 0 && record.nowMs < poisonUntil;
  const specification = isPoison ? 'poison' : 'sound';
  const step = {count: TASKS, cpu: 1_000, memoryRequestMb: 64};
  const body = {specification, steps: [{...step, estimatedMs: RUN_MS}]};
  for (let attempt = 0; attempt < 10; attempt++) {
    const turn = (number + attempt) % deployment.gateways.length;
    const {status, cause} = await send({
      address: deployment.jobsAddress(deployment.gateways[turn]),
      method: 'POST',
      path: `${PREFIX}${id}`,
      headers: {host: HOST, 'mustardferry-deadline-ms': '1500'},
      body,
      timeoutMs: 2_000,
    });
    record.add(`POST ${id} ${specification}: ${status} ${cause ?? ''}`);
    if (status !== 0 && status !== 502 && status !== 504) return;
    await sleep(300);
  }
}

async function submitJobs() {
  while (!stopped) {
    void runJob();
    await sleep(1_000 / JOBS_PER_S);
  }
}

async function main() {
  await deployment.open([{pathPrefix: PREFIX, maxAttempts: MAX_ATTEMPTS}]);
  const traffic = submitJobs();
  await sleep(3_000);
  for (let n = 0; n < KILLS; n++) {
    const leader = await deployment.untilLeader();
    poisonUntil = record.nowMs + POISON_MS;
    await sleep(KILL_AFTER_MS);
    if (TROUBLE) await deployment.killAll([leader]);
    await sleep(KILL_EVERY_MS);
  }
  stopped = true;
  await traffic;
  await sleep(6_000);
}

try {
  await main();
  const broken = lateStarts.filter(({failed}) =>
    failed.every(({noted, lapsedBeforeNote}) => noted && !lapsedBeforeNote),
  );
  for (const {task, run, worker} of broken) {
    record.add(`BUDGET broken: ${task} run ${run} on ${worker}`);
  }
  record.add(`${nextJob} jobs, ${broken.length} starts beyond maxAttempts`);
  console.log(record.lines.at(-1));
  process.exitCode = broken.length > 0 ? 1 : 0;
} catch (err) {
  record.add(`could not run: ${err.stack}`);
  console.log(record.lines.at(-1));
  process.exitCode = 2;
} finally {
  await deployment.close();
  record.write();
  process.exit();
}
